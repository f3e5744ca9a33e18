package limits

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"stepseam.example/stepseam/internal/quota"
)

// servedRequest is a request that was served, with the allocator that granted its token.
type servedRequest struct {
	at          time.Duration
	allocatorID quota.AllocatorID
}

// event is an event that affects which node grants tokens, on the site's clock.
type event struct {
	at   time.Duration
	what string
}

// logEvent logs an event. It requires the mutex.
func (s *site) logEvent(format string, arguments ...any) {
	s.events = append(s.events, event{at: s.now(), what: fmt.Sprintf(format, arguments...)})
}

// worstWindow returns the requests of the window in which most were served.
func (s *site) worstWindow() []servedRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var worst []servedRequest
	first := 0
	for last := range s.served {
		for s.served[last].at-s.served[first].at >= sitePolicy.Window {
			first++
		}
		if window := s.served[first : last+1]; len(window) > len(worst) {
			worst = window
		}
	}
	return worst
}

// traceBefore is how long before a window its trace begins.
const traceBefore = 8 * time.Second

// trace describes the worst window: who granted its tokens in each half second, and the
// events before and in it.
func (s *site) trace() string {
	worst := s.worstWindow()
	if len(worst) == 0 {
		return "no requests served"
	}
	from, to := worst[0].at, worst[len(worst)-1].at
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var text strings.Builder
	fmt.Fprintf(&text, "%d requests served from %v to %v\n", len(worst), from, to)
	for _, e := range s.events {
		if e.at >= from-traceBefore && e.at <= to {
			fmt.Fprintf(&text, "%v %s\n", e.at, e.what)
		}
	}
	const step = 500 * time.Millisecond
	for ; from <= to; from += step {
		counts := map[string]int{}
		for _, e := range worst {
			if e.at >= from && e.at < from+step {
				counts[s.allocators[e.allocatorID]]++
			}
		}
		fmt.Fprintf(&text, "tokens used from %v on:", from)
		for _, grantedBy := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(&text, " %s %d", grantedBy, counts[grantedBy])
		}
		text.WriteString("\n")
	}
	return text.String()
}
