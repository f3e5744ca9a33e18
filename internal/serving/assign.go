package serving

import (
	"fmt"
	"slices"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/program"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// assignment is the back end that was chosen for one attempt.
type assignment struct {
	backend  blackboard.Backend
	tracker  *inFlightTracker
	attempt  *inFlightAttempt
	priority int
	// request and prompt are what to send, set by load.
	request program.Request
	prompt  []backend.Message
}

func (a *assignment) leave() { a.tracker.leave(a.attempt) }

// load takes what the back end is to get; the caller holds the shard's mutex.
func (a *assignment) load(state *program.Program, request program.Request) {
	a.request = request
	if request.Kind != api.CallModel {
		return
	}
	messages := state.Prompt(request)
	a.prompt = make([]backend.Message, len(messages))
	for i, message := range messages {
		a.prompt[i] = backend.Message(message)
	}
}

// schedulingQuery is one call as the scheduler sees it.
type schedulingQuery struct {
	call  scheduling.Call
	class table.Class
	role  siteservices.MachineRole
	// adapter is what the model is to run with, empty for none.
	adapter string
	// holder is the back end of the branch's last call, which counted settled
	// tokens. answeredHere is true if this owner saw that call's answer.
	holder       string
	settled      int
	answeredHere bool
}

// cachedAt returns how many tokens of the call's prompt the back end is expected
// to hold. Beliefs begin with the calls that went through this node: for a call
// that another node answered, the journal's word goes before no belief.
func (o *Owner) cachedAt(backend string, query *schedulingQuery) int {
	believed := 0
	if o.config.CachedTokens != nil && query.call.Model != "" {
		believed = o.config.CachedTokens(backend, query.call.ID.Program, query.call.ID.Branch)
	}
	if backend != query.holder || believed > 0 || (query.answeredHere && o.config.CachedTokens != nil) {
		return min(believed, query.call.PromptTokens)
	}
	return query.settled
}

// assign chooses a back end, holding the call while the policy says so. An
// outcome is a refusal.
func (d *driver) assign() (*assignment, *outcome) {
	waiting := ""
	defer func() {
		if waiting != "" {
			d.owner().inFlight.stopWaiting(waiting, d.run.id)
		}
	}()
	for {
		query, result := d.query()
		if result != nil {
			return nil, result
		}
		chosen, decision, changed := d.owner().choose(query)
		if chosen == nil && decision.Action == scheduling.Refuse && len(query.call.Excluded) > 0 && d.lost > 0 {
			// A back end that lost the call is better than none.
			query.call.Excluded = d.refusedBy
			chosen, decision, changed = d.owner().choose(query)
		}
		d.owner().explained.add(Explanation{Call: d.run.id, At: time.Now(), Decision: decision, Attempt: query.call.Attempt})
		switch {
		case chosen != nil:
			d.reason = decision.Reason
			return chosen, nil
		case decision.Action == scheduling.Refuse:
			return nil, failed(d.shard.certain(d.refusal(query, decision)))
		}
		waiting = query.call.Class
		if result := d.hold(decision, changed); result != nil {
			return nil, result
		}
	}
}

// hold waits until the decision is to be looked at again.
func (d *driver) hold(decision scheduling.Decision, changed <-chan struct{}) *outcome {
	left := time.Until(d.deadline())
	if left <= 0 {
		return failed(api.NewProblem(api.CodeDeadline, "call %s found no place by its deadline: %s", d.run.id, decision.Reason).
			WithNotRun(!d.mayHaveRun()).WithRetryAfter(deadlineRetry))
	}
	pause := left
	if decision.RetryAfter > 0 {
		pause = min(pause, decision.RetryAfter)
	}
	return d.sleep(pause, changed)
}

func (d *driver) deadline() time.Time {
	d.shard.machine.mutex.Lock()
	defer d.shard.machine.mutex.Unlock()
	return d.run.deadline
}

func (d *driver) refusal(query schedulingQuery, decision scheduling.Decision) *api.Problem {
	code := api.CodeOverloaded
	if !d.owner().anyEligible(query) {
		code = api.CodeNoBackend
	}
	reason, retryAfter := decision.Reason, decision.RetryAfter
	if wait, loads := d.owner().modelWait(query); loads {
		reason, retryAfter = fmt.Sprintf("%s; model %s is expected on an engine in %s", reason, query.call.Model, wait.Round(time.Second)), wait
	}
	return api.NewProblem(code, "call %s: %s", d.run.id, reason).
		WithNotRun(!d.mayHaveRun()).WithRetryAfter(retryAfter)
}

// modelWait returns how long it takes until an engine has the query's model.
func (o *Owner) modelWait(query schedulingQuery) (time.Duration, bool) {
	if o.config.ModelWait == nil || query.call.Model == "" {
		return 0, false
	}
	return o.config.ModelWait(query.call.Model, query.adapter)
}

// query describes the call to the scheduler.
func (d *driver) query() (schedulingQuery, *outcome) {
	published := d.owner().config.Board.Table.Load()
	s := d.shard
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	p := s.machine.set.Get(d.run.id.Program)
	if p == nil || d.run.context.Err() != nil {
		return schedulingQuery{}, d.ended()
	}
	request := d.run.request
	query := schedulingQuery{role: siteservices.RoleApplication}
	if published != nil {
		query.class = published.Classes[p.Class()]
	}
	query.call = scheduling.Call{
		ID:             d.run.id,
		Tenant:         p.Tenant(),
		Class:          p.Class(),
		Service:        request.Application,
		Arrived:        d.run.arrived,
		Deadline:       d.run.deadline,
		ProgramStarted: p.Created(),
		ServiceSoFar:   p.ServiceTime(),
		CallsSoFar:     p.Calls(),
		Weight:         query.class.Weight,
		Priority:       query.class.Priority,
		Attempt:        d.lost,
		Excluded:       d.excluded,
		LastBackend:    p.LastBackend(d.run.id.Branch),
	}
	if request.Kind == api.CallModel {
		d.queryModel(&query, p, published)
	}
	return query, nil
}

// queryModel fills in what only model calls have.
func (d *driver) queryModel(query *schedulingQuery, p *program.Program, published *table.Table) {
	request := d.run.request
	if !d.open {
		request, _ = p.Normalize(request)
	}
	size := p.PromptSize(request)
	query.role = siteservices.RoleEngine
	query.holder = query.call.LastBackend
	query.settled = int(size.Counted)
	query.answeredHere = !p.LastAnswered(d.run.id.Branch).Before(d.shard.opened)
	query.call.Service = ""
	query.call.Model = request.Model
	query.adapter = request.Adapter
	query.call.PromptTokens = int(size.Expected)
	query.call.MaxTokens = request.MaxTokens
	if published != nil {
		query.call.Service = published.Models[request.Model].Service
	}
}

// choose asks the policy and, if it says run, enters the attempt in the same
// step, so that no two calls take one back end's trial.
func (o *Owner) choose(query schedulingQuery) (*assignment, scheduling.Decision, <-chan struct{}) {
	now := time.Now()
	backends := o.candidates.of(query.role, now)
	limit := o.classLimit(query.class.MaxConcurrent)
	o.inFlight.mutex.Lock()
	defer o.inFlight.mutex.Unlock()
	if decision := o.admit(now, query, limit); decision.Action != scheduling.Run {
		return nil, decision, o.inFlight.awaitChange()
	}
	o.inFlight.turn++
	query.call.DecisionNumber = o.inFlight.turn
	snapshot := o.snapshot(now, query, backends)
	decision := o.config.Policy.Choose(now, query.call, snapshot)
	if decision.Action != scheduling.Run {
		return nil, decision, o.inFlight.awaitChange()
	}
	at := slices.IndexFunc(backends, func(b blackboard.Backend) bool { return b.Name == decision.Backend })
	if at < 0 {
		decision.Action = scheduling.Hold
		return nil, decision, o.inFlight.awaitChange()
	}
	chosen := &assignment{backend: backends[at], tracker: o.inFlight, priority: decision.Priority}
	chosen.attempt = o.inFlight.enter(now, query, backends[at].Name, snapshot[at].CachedTokens)
	return chosen, decision, nil
}

// admit applies the class's limits: a new program's first call is refused at
// once, a later call waits for a place in order of urgency: it runs once there is
// one beyond those of the calls ahead of it. The caller holds the tracker's mutex.
func (o *Owner) admit(now time.Time, query schedulingQuery, limit int) scheduling.Decision {
	running := o.inFlight.classes[query.call.Class]
	if limit > 0 {
		running += o.inFlight.ahead(now, &query.call)
	}
	decision := scheduling.Admit(now, scheduling.Admission{
		Call:            query.call,
		MaxConcurrent:   limit,
		TenantShare:     query.class.TenantShare,
		ClassRunning:    running,
		TenantRunning:   o.inFlight.tenants[tenantKey{query.call.Class, query.call.Tenant}],
		ProgramDuration: o.durations.of(query.call.Class),
	})
	if decision.Action != scheduling.Run || limit == 0 || running < limit {
		return decision
	}
	o.inFlight.await(query.call)
	return scheduling.Decision{Action: scheduling.Hold, RetryAfter: holdRetry, Reason: "class at its limit of calls"}
}

// holdRetry is when a call that waits for a place of its class looks again, if
// no place was announced before.
const holdRetry = time.Second

// classLimit is this node's part of a limit that holds for the site: an equal
// part for each live node, at least one. With fewer places than nodes the site
// can run more than the limit.
func (o *Owner) classLimit(limit int) int {
	if limit <= 0 {
		return 0
	}
	view := o.config.Board.Members.Load()
	rank, alive := 0, 0
	for _, member := range view.Members {
		if member.Status != membership.Alive {
			continue
		}
		if member.Node.Name < o.config.Self {
			rank++
		}
		alive++
	}
	alive = max(alive, 1)
	part := limit / alive
	if rank < limit%alive {
		part++
	}
	return max(part, 1)
}

// anyEligible tells that some back end serves the query's model or service.
func (o *Owner) anyEligible(query schedulingQuery) bool {
	for _, b := range o.candidates.of(query.role, time.Now()) {
		if !b.Leaving && b.Health != scheduling.Ejected && serves(&b, query) &&
			!slices.Contains(query.call.Excluded, b.Name) {
			return true
		}
	}
	return false
}

// serves tells that the back end is of the call's service and has its model and
// adapter loaded.
func serves(b *blackboard.Backend, query schedulingQuery) bool {
	if query.call.Service != "" && b.Service != query.call.Service {
		return false
	}
	if query.role != siteservices.RoleEngine {
		return true
	}
	adapted := query.adapter == "" || slices.Contains(b.Report.Adapters, query.adapter)
	return adapted && slices.Contains(b.Report.Models, query.call.Model)
}

// tenantKey counts the calls of one tenant in one class.
type tenantKey struct{ class, tenant string }

// Explanation is one decision on a call, kept for operators.
type Explanation struct {
	Call     identity.CallID
	At       time.Time
	Attempt  int
	Decision scheduling.Decision
}
