package limits

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"stepseam.example/stepseam/internal/quota"
)

// used is one permit that a request ran with: who gave it, and when which node used it.
type used struct {
	at     time.Duration
	node   int
	source quota.AllocatorID
	// own tells that the node took it without an allocator.
	own bool
}

// event is something that decides who gives permits, on the site's clock.
type event struct {
	at   time.Duration
	what string
}

// note keeps an event for the record of a run; it needs the mutex.
func (s *site) note(format string, arguments ...any) {
	s.events = append(s.events, event{at: s.now(), what: fmt.Sprintf(format, arguments...)})
}

// worstWindow returns the permits of the window in which most ran.
func (s *site) worstWindow() []used {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var worst []used
	first := 0
	for last := range s.ran {
		for s.ran[last].at-s.ran[first].at >= sitePolicy.Window {
			first++
		}
		if window := s.ran[first : last+1]; len(window) > len(worst) {
			worst = window
		}
	}
	return worst
}

// beforeWindow is how much earlier than a window an event may be that its permits hang on.
const beforeWindow = 8 * time.Second

// record tells of the worst window who gave its permits in each half second, and what
// happened until its end.
func (s *site) record() string {
	worst := s.worstWindow()
	if len(worst) == 0 {
		return "nothing ran"
	}
	from, to := worst[0].at, worst[len(worst)-1].at
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var told strings.Builder
	fmt.Fprintf(&told, "%d ran from %v to %v\n", len(worst), from, to)
	for _, one := range s.events {
		if one.at >= from-beforeWindow && one.at <= to {
			fmt.Fprintf(&told, "%v %s\n", one.at, one.what)
		}
	}
	const step = 500 * time.Millisecond
	for ; from <= to; from += step {
		counts := map[string]int{}
		for _, one := range worst {
			if one.at >= from && one.at < from+step {
				counts[s.giver(one)]++
			}
		}
		fmt.Fprintf(&told, "permits used from %v on:", from)
		for _, giver := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(&told, " %s %d", giver, counts[giver])
		}
		told.WriteString("\n")
	}
	return told.String()
}

// giver names who gave a permit.
func (s *site) giver(one used) string {
	if one.own {
		return fmt.Sprintf("n%d itself", one.node)
	}
	return s.sources[one.source]
}
