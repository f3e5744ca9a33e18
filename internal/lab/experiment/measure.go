package experiment

import (
	"slices"
	"time"
)

const (
	// A call is good if it took at most goodFactor times its lower bound, and
	// stalled if it took more than stallFactor times the bound and exceeded it by
	// more than stallFloor.
	goodFactor  = 2.5
	stallFactor = 5
	stallFloor  = 2 * time.Second
	// minTenantTurns is the number of turns below which a tenant's slowdown is
	// ignored.
	minTenantTurns = 20
)

// Result has the measurements of one run. Its JSON encoding is the output of
// `stepseam-lab compare --json`.
type Result struct {
	Site                 string  `json:"site"`
	Policy               string  `json:"policy"`
	Load                 float64 `json:"load"`
	Seed                 uint64  `json:"seed"`
	LatencyP50           float64 `json:"latency_p50_s"`
	LatencyP95           float64 `json:"latency_p95_s"`
	LatencyP99           float64 `json:"latency_p99_s"`
	LowerBoundP95        float64 `json:"lower_bound_p95_s"`
	WastedCacheShare     float64 `json:"wasted_cache_share"`
	WastedEvictedShare   float64 `json:"wasted_evicted_share"`
	WastedDuplicateShare float64 `json:"wasted_duplicate_share"`
	WastedAfterEndShare  float64 `json:"wasted_gone_share"`
	RecomputedTokens     int64   `json:"recomputed_tokens"`
	Refused              int     `json:"refused"`
	Completed            int     `json:"completed"`
	WorstTenantSlowdown  float64 `json:"worst_tenant_slowdown"`

	// Classes and the fields below are printed in tables but not in JSON.
	Classes []ClassResult `json:"-"`
	// AbandonedPrograms counts programs that their callers abandoned after refusals.
	AbandonedPrograms int `json:"-"`
	// Unfinished counts calls in flight and tool pauses within turns at the end of
	// the run.
	Unfinished int `json:"-"`
	// StalledShare is the fraction of turns with several calls in which the first
	// call was good and a later one stalled.
	StalledShare float64 `json:"-"`
	// AdmittedP95 is the latency from the admission of the first call.
	AdmittedP95 float64 `json:"-"`
	// LowerBoundP50 is the median of the turns' lower bounds.
	LowerBoundP50 float64 `json:"-"`
	// MeanCacheUse is the mean cache in use as a fraction of the capacity.
	MeanCacheUse float64 `json:"-"`
}

// ClassResult has the latencies of one class, in seconds.
type ClassResult struct {
	Class                        string
	Turns                        int
	P50, P95, P99, LowerBoundP95 float64
}

// sample has the latencies of one finished turn, in seconds.
type sample struct {
	latency, admitted, bound float64
}

// measures collects the measurements of a run. Turns count if they start in the
// measured window.
type measures struct {
	classes    map[string][]sample
	tenants    map[string][]float64
	recomputed int64
	refusals   int
	lost       int
	several    int
	stalls     int
}

func (m *measures) inWindow(r *run, at time.Duration) bool {
	return at >= r.site.Warmup && at < r.site.Duration
}

// prefilled records the admission of a call and counts the tokens of its branch's
// history that have to be prefilled again.
func (m *measures) prefilled(r *run, s *stream, request *request) {
	current := &request.execution.turns[request.call.Turn]
	if current.admittedAt == 0 {
		current.admittedAt = r.clock.now
	}
	if m.inWindow(r, r.clock.now) {
		m.recomputed += int64(max(s.lease.PromptTokens-s.lease.Cached-request.call.NewTokens, 0))
	}
}

func (m *measures) refusal(r *run) {
	if m.inWindow(r, r.clock.now) {
		m.refusals++
	}
}

func (m *measures) abandoned() { m.lost++ }

// call compares the latency of a call with its lower bound.
func (m *measures) call(r *run, request *request) {
	current := &request.execution.turns[request.call.Turn]
	took := r.clock.now - request.arrived
	bound := callBound(r.site, request.call, request.tokens-request.call.NewTokens)
	current.calls++
	if current.calls == 1 {
		current.firstGood = float64(took) <= goodFactor*float64(bound)
	} else if float64(took) > stallFactor*float64(bound) && took > bound+stallFloor {
		current.stalled = true
	}
}

// turn records a finished turn.
func (m *measures) turn(r *run, x *execution, number int) {
	current := &x.turns[number]
	if !m.inWindow(r, current.startsAt) {
		return
	}
	if m.classes == nil {
		m.classes = map[string][]sample{}
		m.tenants = map[string][]float64{}
	}
	bound := lowerBounds(r.site, x.program)[number].Seconds()
	latency := (current.endsAt - current.startsAt).Seconds()
	m.classes[x.class.Name] = append(m.classes[x.class.Name], sample{
		latency: latency, admitted: (current.endsAt - current.admittedAt).Seconds(), bound: bound,
	})
	m.tenants[x.program.Tenant] = append(m.tenants[x.program.Tenant], latency/bound)
	if current.calls > 1 {
		m.several++
		if current.firstGood && current.stalled {
			m.stalls++
		}
	}
}

// result computes the result from the measurements.
func (r *run) result(options Options) Result {
	m := &r.measures
	result := Result{
		Site: r.site.Name, Policy: r.strategy.Name, Load: options.Load, Seed: options.Seed,
		RecomputedTokens: m.recomputed, Refused: m.refusals, AbandonedPrograms: m.lost, Unfinished: r.inFlight,
	}
	var all []sample
	for i := range r.site.Classes {
		name := r.site.Classes[i].Name
		samples := m.classes[name]
		all = append(all, samples...)
		class := ClassResult{Class: name, Turns: len(samples)}
		class.P50, class.P95, class.P99 = latencies(samples)
		class.LowerBoundP95 = percentile(pick(samples, func(s sample) float64 { return s.bound }), 0.95)
		result.Classes = append(result.Classes, class)
	}
	result.Completed = len(all)
	result.LatencyP50, result.LatencyP95, result.LatencyP99 = latencies(all)
	bounds := pick(all, func(s sample) float64 { return s.bound })
	result.LowerBoundP50, result.LowerBoundP95 = percentile(bounds, 0.5), percentile(bounds, 0.95)
	result.AdmittedP95 = percentile(pick(all, func(s sample) float64 { return s.admitted }), 0.95)
	result.WorstTenantSlowdown = m.worstTenant()
	if m.several > 0 {
		result.StalledShare = float64(m.stalls) / float64(m.several)
	}
	r.waste(&result)
	return result
}

func (r *run) waste(result *Result) {
	l := r.ledger
	if l.held == 0 {
		return
	}
	result.WastedEvictedShare = l.evicted / l.held
	result.WastedDuplicateShare = l.duplicate / l.held
	result.WastedAfterEndShare = l.afterEnd / l.held
	result.WastedCacheShare = (l.evicted + l.duplicate + l.afterEnd) / l.held
	capacity := float64(r.site.Engines*r.site.Engine.CacheCapacityTokens) * (r.site.Duration - r.site.Warmup).Seconds()
	result.MeanCacheUse = l.held / capacity
}

// worstTenant returns the highest mean slowdown of a tenant's turns, relative to
// their lower bounds.
func (m *measures) worstTenant() float64 {
	worst := 0.0
	for _, slowdowns := range m.tenants {
		if len(slowdowns) < minTenantTurns {
			continue
		}
		sum := 0.0
		for _, slowdown := range slowdowns {
			sum += slowdown
		}
		worst = max(worst, sum/float64(len(slowdowns)))
	}
	return worst
}

func latencies(samples []sample) (p50, p95, p99 float64) {
	values := pick(samples, func(s sample) float64 { return s.latency })
	return percentile(values, 0.5), percentile(values, 0.95), percentile(values, 0.99)
}

// pick returns one value of each sample in ascending order.
func pick(samples []sample, value func(sample) float64) []float64 {
	values := make([]float64, len(samples))
	for i := range samples {
		values[i] = value(samples[i])
	}
	slices.Sort(values)
	return values
}

// percentile returns the quantile at fraction of the sorted values, 0 if there are
// none.
func percentile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}
