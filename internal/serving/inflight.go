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

// inFlightTracker counts the attempts of this node that are in flight at back ends.
type inFlightTracker struct {
	mutex sync.Mutex
	// mutex guards the rest.
	backends map[string]map[*inFlightAttempt]struct{}
	classes  map[string]int
	tenants  map[tenantKey]int
	// waiting are the calls that are held because their class is at its limit.
	waiting map[string]map[identity.CallID]scheduling.Call
	scratch []scheduling.Backend
	// decisions counts the decisions, for policies that rotate through the back ends.
	decisions uint64
	changed   chan struct{}
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

// countMoreUrgent counts the waiting calls of the class that are more urgent than call.
// The caller holds the mutex.
func (f *inFlightTracker) countMoreUrgent(now time.Time, call *scheduling.Call) int {
	count := 0
	for id, other := range f.waiting[call.Class] {
		if id != call.ID && scheduling.Score(now, &other) > scheduling.Score(now, call) {
			count++
		}
	}
	return count
}

// addWaiting adds a call that waits for capacity of its class. The caller holds the
// mutex.
func (f *inFlightTracker) addWaiting(call scheduling.Call) {
	if f.waiting[call.Class] == nil {
		f.waiting[call.Class] = map[identity.CallID]scheduling.Call{}
	}
	f.waiting[call.Class][call.ID] = call
}

// stopWaiting removes a waiting call and notifies the held calls.
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
	f.notifyChange()
}

// notifyChange wakes all held calls for another decision. The caller holds the mutex.
func (f *inFlightTracker) notifyChange() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// add registers an attempt. The caller holds the mutex.
func (f *inFlightTracker) add(now time.Time, query schedulingQuery, backend string, cached int) *inFlightAttempt {
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

// remove deregisters an attempt and wakes the held calls.
func (f *inFlightTracker) remove(left *inFlightAttempt) {
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
	f.notifyChange()
}

// awaitChange returns a channel that is closed when an attempt ends or a waiting call is
// removed. The caller holds the mutex.
func (f *inFlightTracker) awaitChange() <-chan struct{} {
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// snapshot converts the back ends to the input of the policy. The result is valid only
// until the next call. The caller holds the tracker's mutex.
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
		seen.OwnInFlight, seen.OwnPrefillTokens = f.unreportedLoad(b)
		seen.CachedTokens = o.expectedCachedTokens(b.Name, &query)
		f.scratch = append(f.scratch, seen)
	}
	return f.scratch
}

// unreportedLoad returns the attempts at a back end, and their prefill tokens, that its
// last report cannot include. For a back end that is not healthy it counts all attempts,
// since such a back end gets one probe at a time.
func (f *inFlightTracker) unreportedLoad(b *blackboard.Backend) (count, prefill int) {
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

// candidateTTL bounds the age of the copied back ends.
const candidateTTL = 20 * time.Millisecond

// candidates caches a copy of the blackboard's back ends, so that not every decision has
// to copy all of them.
type candidates struct {
	board *blackboard.Board
	// mutex guards the rest. The slices are never modified, only replaced.
	mutex  sync.Mutex
	copied time.Time
	byRole map[siteservices.MachineRole][]blackboard.Backend
}

func newCandidates(board *blackboard.Board) *candidates { return &candidates{board: board} }

// withRole returns the back ends of a role in order of name, which makes ties between
// equal costs deterministic.
func (c *candidates) withRole(role siteservices.MachineRole, now time.Time) []blackboard.Backend {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byRole == nil || now.Sub(c.copied) > candidateTTL || now.Before(c.copied) {
		all := lo.Values(c.board.Backends.Clone())
		slices.SortFunc(all, func(a, b blackboard.Backend) int { return cmp.Compare(a.Name, b.Name) })
		c.byRole = lo.GroupBy(all, func(b blackboard.Backend) siteservices.MachineRole { return b.Role })
		c.copied = now
	}
	return c.byRole[role]
}

// invalidate makes the next decision read the blackboard.
func (c *candidates) invalidate() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.byRole = nil
}

// durations tracks the moving average of program durations by class.
type durations struct {
	mutex sync.Mutex
	means map[string]time.Duration
}

// durationWeight is the weight of a new sample in the moving average.
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

func (d *durations) mean(class string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.means[class]
}
