package serving

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/siteservices"
)

// inFlightTracker counts this node's attempts that are at back ends now.
type inFlightTracker struct {
	mutex sync.Mutex
	// The mutex guards the rest.
	backends map[string]map[*inFlightAttempt]struct{}
	classes  map[string]int
	tenants  map[tenantKey]int
	// waiting are the calls that are held because their class is at its limit.
	waiting map[string]map[identity.CallID]scheduling.Call
	scratch []scheduling.Backend
	// turn counts decisions, for policies that take back ends in turn.
	turn    uint64
	changed chan struct{}
}

// inFlightAttempt is one attempt at one back end.
type inFlightAttempt struct {
	backend string
	tenant  tenantKey
	started time.Time
	// prefill is the expected number of uncached prompt tokens.
	prefill int
}

func newInFlightTracker() *inFlightTracker {
	return &inFlightTracker{
		backends: map[string]map[*inFlightAttempt]struct{}{},
		classes:  map[string]int{},
		tenants:  map[tenantKey]int{},
		waiting:  map[string]map[identity.CallID]scheduling.Call{},
	}
}

// ahead counts the waiting calls of the class that are more urgent than call;
// the caller holds the mutex.
func (f *inFlightTracker) ahead(now time.Time, call *scheduling.Call) int {
	count := 0
	for id, other := range f.waiting[call.Class] {
		if id != call.ID && scheduling.Score(now, &other) > scheduling.Score(now, call) {
			count++
		}
	}
	return count
}

// await notes that call waits for a place of its class; the caller holds the mutex.
func (f *inFlightTracker) await(call scheduling.Call) {
	if f.waiting[call.Class] == nil {
		f.waiting[call.Class] = map[identity.CallID]scheduling.Call{}
	}
	f.waiting[call.Class][call.ID] = call
}

// stopWaiting takes a call out that waits no more, and lets those behind it look
// again.
func (f *inFlightTracker) stopWaiting(class string, id identity.CallID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, waits := f.waiting[class][id]; !waits {
		return
	}
	delete(f.waiting[class], id)
	if len(f.waiting[class]) == 0 {
		delete(f.waiting, class)
	}
	f.wake()
}

// wake lets all held calls look again; the caller holds the mutex.
func (f *inFlightTracker) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// enter adds an attempt; the caller holds the mutex.
func (f *inFlightTracker) enter(now time.Time, query schedulingQuery, backend string, cached int) *inFlightAttempt {
	entered := &inFlightAttempt{
		backend: backend,
		tenant:  tenantKey{query.call.Class, query.call.Tenant},
		started: now,
		prefill: max(query.call.PromptTokens-cached, 0),
	}
	if f.backends[backend] == nil {
		f.backends[backend] = map[*inFlightAttempt]struct{}{}
	}
	f.backends[backend][entered] = struct{}{}
	f.classes[entered.tenant.class]++
	f.tenants[entered.tenant]++
	return entered
}

// leave takes an attempt out and wakes the calls that are held.
func (f *inFlightTracker) leave(left *inFlightAttempt) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.backends[left.backend], left)
	if len(f.backends[left.backend]) == 0 {
		delete(f.backends, left.backend)
	}
	f.classes[left.tenant.class]--
	f.tenants[left.tenant]--
	if f.tenants[left.tenant] == 0 {
		delete(f.tenants, left.tenant)
	}
	f.wake()
}

// awaitChange returns a channel that is closed when an attempt leaves; the
// caller holds the mutex.
func (f *inFlightTracker) awaitChange() <-chan struct{} {
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// snapshot returns backends as the policy sees them. The result is used until
// the next call only; the caller holds the tracker's mutex.
func (o *Owner) snapshot(now time.Time, query schedulingQuery, backends []blackboard.Backend) []scheduling.Backend {
	f := o.inFlight
	f.scratch = f.scratch[:0]
	for i := range backends {
		b := &backends[i]
		seen := scheduling.Backend{
			Name:                b.Name,
			Zone:                b.Zone,
			Service:             b.Service,
			Health:              b.Health,
			Leaving:             b.Leaving || b.Report.Draining,
			ServesModel:         serves(b, query),
			ReportedRunning:     b.Report.Running,
			ReportedWaiting:     b.Report.Waiting,
			QueuedPrefillTokens: b.Report.QueuedPrefillTokens,
			CacheCapacityTokens: b.Report.CacheCapacityTokens,
			CacheUsedTokens:     b.Report.CacheUsedTokens,
			PrefillRate:         b.PrefillRate,
			DecodeRate:          b.DecodeRate,
			Latency:             b.Latency,
		}
		if !b.ReportedAt.IsZero() {
			seen.ReportAge = now.Sub(b.ReportedAt)
		}
		seen.OwnInFlight, seen.OwnPrefillTokens = f.unreported(b)
		seen.CachedTokens = o.cachedAt(b.Name, &query)
		f.scratch = append(f.scratch, seen)
	}
	return f.scratch
}

// unreported counts the attempts that the back end's report cannot know. A back
// end on probation counts all, since it takes one call at a time.
func (f *inFlightTracker) unreported(b *blackboard.Backend) (count, prefill int) {
	asOf := b.Report.AsOf
	if asOf.IsZero() {
		asOf = b.ReportedAt
	}
	for entered := range f.backends[b.Name] {
		if entered.started.After(asOf) || b.Health != scheduling.Healthy {
			count++
			prefill += entered.prefill
		}
	}
	return count, prefill
}

// candidateAge bounds how old the copy of the blackboard's back ends may be.
const candidateAge = 20 * time.Millisecond

// candidates keeps a copy of the blackboard's back ends for a moment, so that
// each choice does not copy all of them.
type candidates struct {
	board *blackboard.Board
	// mutex guards the rest; the slices are replaced whole.
	mutex  sync.Mutex
	copied time.Time
	byRole map[siteservices.MachineRole][]blackboard.Backend
}

func newCandidates(board *blackboard.Board) *candidates { return &candidates{board: board} }

// of returns the back ends of role by name, so that equal costs are decided the
// same way each time.
func (c *candidates) of(role siteservices.MachineRole, now time.Time) []blackboard.Backend {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byRole == nil || now.Sub(c.copied) > candidateAge || now.Before(c.copied) {
		all := lo.Values(c.board.Backends.Clone())
		slices.SortFunc(all, func(a, b blackboard.Backend) int { return cmp.Compare(a.Name, b.Name) })
		c.byRole = lo.GroupBy(all, func(b blackboard.Backend) siteservices.MachineRole { return b.Role })
		c.copied = now
	}
	return c.byRole[role]
}

// expire makes the next choice read the blackboard.
func (c *candidates) expire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.byRole = nil
}

// durations keeps how long the programs of each class take, as a moving average.
type durations struct {
	mutex sync.Mutex
	means map[string]time.Duration
}

// durationWeight is the weight of one more program in the moving average.
const durationWeight = 0.1

func newDurations() *durations { return &durations{means: map[string]time.Duration{}} }

func (d *durations) add(class string, duration time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	mean, known := d.means[class]
	if !known {
		d.means[class] = duration
		return
	}
	d.means[class] = mean + time.Duration(durationWeight*float64(duration-mean))
}

func (d *durations) of(class string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.means[class]
}
