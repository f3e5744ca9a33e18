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

// assignment is the back end selected for one attempt. It counts as in flight there until
// release.
type assignment struct {
	backend  blackboard.Backend
	tracker  *inFlightTracker
	attempt  *inFlightAttempt
	priority int
	// request and prompt are the content to send, set by prepare.
	request program.Request
	prompt  []backend.Message
}

func (a *assignment) release() { a.tracker.remove(a.attempt) }

// prepare sets the content to send. The caller holds the shard's mutex.
func (a *assignment) prepare(state *program.Program, request program.Request) {
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

// schedulingQuery is the input of a scheduling decision on one call.
type schedulingQuery struct {
	call  scheduling.Call
	class table.Class
	role  siteservices.MachineRole
	// adapter is the adapter that the model must run with, empty for none.
	adapter string
	// lastBackend served the last call of the branch, which counted countedTokens.
	// answeredByOwner is true if this owner received the answer of that call.
	lastBackend     string
	countedTokens   int
	answeredByOwner bool
}

// expectedCachedTokens returns how many tokens of the call's prompt the back end is
// expected to have cached. The estimate of Config.CachedTokens covers only calls that
// went through this node, so at the back end of a call that another owner answered, the
// count in the journal replaces an estimate of 0.
func (o *Owner) expectedCachedTokens(backend string, query *schedulingQuery) int {
	estimated := 0
	if o.config.CachedTokens != nil && query.call.Model != "" {
		estimated = o.config.CachedTokens(backend, query.call.ID.Program, query.call.ID.Branch)
	}
	if backend != query.lastBackend || estimated > 0 || (query.answeredByOwner && o.config.CachedTokens != nil) {
		return min(estimated, query.call.PromptTokens)
	}
	return query.countedTokens
}

// assign selects a back end and blocks while the policy holds the call. A non-nil outcome
// means that the call is refused.
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
		if chosen == nil && decision.Action == scheduling.Refuse && len(query.call.Excluded) > 0 && d.lostAttempts > 0 {
			// A back end that lost the call before is better than none.
			query.call.Excluded = d.rejectedBy
			chosen, decision, changed = d.owner().choose(query)
		}
		d.owner().explained.add(Explanation{Call: d.run.id, At: time.Now(), Decision: decision, Attempt: query.call.Attempt})
		switch {
		case chosen != nil:
			d.reason = decision.Reason
			return chosen, nil
		case decision.Action == scheduling.Refuse:
			return nil, failed(d.shard.ifStillOwner(d.refusal(query, decision)))
		}
		waiting = query.call.Class
		if result := d.waitForDecision(decision, changed); result != nil {
			return nil, result
		}
	}
}

// waitForDecision blocks until the decision is to be made again.
func (d *driver) waitForDecision(decision scheduling.Decision, changed <-chan struct{}) *outcome {
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

// modelWait returns the expected time until an engine has the query's model loaded.
func (o *Owner) modelWait(query schedulingQuery) (time.Duration, bool) {
	if o.config.ModelWait == nil || query.call.Model == "" {
		return 0, false
	}
	return o.config.ModelWait(query.call.Model, query.adapter)
}

// query builds the scheduling query of the call.
func (d *driver) query() (schedulingQuery, *outcome) {
	published := d.owner().config.Board.Table.Load()
	s := d.shard
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	p := s.machine.set.Get(d.run.id.Program)
	if p == nil || d.run.context.Err() != nil {
		return schedulingQuery{}, d.contextOutcome()
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
		Attempt:        d.lostAttempts,
		Excluded:       d.excluded,
		LastBackend:    p.LastBackend(d.run.id.Branch),
	}
	if request.Kind == api.CallModel {
		d.queryModel(&query, p, published)
	}
	return query, nil
}

// queryModel sets the fields that only model calls have.
func (d *driver) queryModel(query *schedulingQuery, p *program.Program, published *table.Table) {
	request := d.run.request
	if !d.open {
		request, _ = p.Normalize(request)
	}
	size := p.PromptSize(request)
	query.role = siteservices.RoleEngine
	query.lastBackend = query.call.LastBackend
	query.countedTokens = int(size.Counted)
	query.answeredByOwner = !p.LastAnswered(d.run.id.Branch).Before(d.shard.opened)
	query.call.Service = ""
	query.call.Model = request.Model
	query.adapter = request.Adapter
	query.call.PromptTokens = int(size.Expected)
	query.call.MaxTokens = request.MaxTokens
	if published != nil {
		query.call.Service = published.Models[request.Model].Service
	}
}

// choose runs the policy and, if it selects a back end, registers the attempt under the
// same lock, so that no two calls take the single probe of a back end on probation. The
// channel is closed when a held call should be decided again.
func (o *Owner) choose(query schedulingQuery) (*assignment, scheduling.Decision, <-chan struct{}) {
	now := time.Now()
	backends := o.candidates.withRole(query.role, now)
	limit := o.classLimit(query.class.MaxConcurrent)
	o.inFlight.mutex.Lock()
	defer o.inFlight.mutex.Unlock()
	if decision := o.admit(now, query, limit); decision.Action != scheduling.Run {
		return nil, decision, o.inFlight.awaitChange()
	}
	o.inFlight.decisions++
	query.call.DecisionNumber = o.inFlight.decisions
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
	chosen.attempt = o.inFlight.add(now, query, backends[at].Name, snapshot[at].CachedTokens)
	return chosen, decision, nil
}

// admit applies the limits of the class. The first call of a new program is refused at
// once; a later call waits in order of urgency and runs once there is capacity beyond
// that of the more urgent calls. The caller holds the tracker's mutex.
func (o *Owner) admit(now time.Time, query schedulingQuery, limit int) scheduling.Decision {
	running := o.inFlight.classes[query.call.Class]
	if limit > 0 {
		running += o.inFlight.countMoreUrgent(now, &query.call)
	}
	decision := scheduling.Admit(now, scheduling.Admission{
		Call:            query.call,
		MaxConcurrent:   limit,
		TenantShare:     query.class.TenantShare,
		ClassRunning:    running,
		TenantRunning:   o.inFlight.tenants[tenantKey{query.call.Class, query.call.Tenant}],
		ProgramDuration: o.durations.mean(query.call.Class),
	})
	if decision.Action != scheduling.Run || limit == 0 || running < limit {
		return decision
	}
	o.inFlight.addWaiting(query.call)
	return scheduling.Decision{Action: scheduling.Hold, RetryAfter: holdRetry, Reason: "class at its limit of calls"}
}

// holdRetry is the longest interval between decisions on a call that waits for capacity
// of its class.
const holdRetry = time.Second

// classLimit returns this node's quota of a limit that applies to the site: an equal
// quota for each live node, at least one. With a limit below the number of nodes, the
// site can exceed it.
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

// anyEligible reports whether some back end serves the query's model or service.
func (o *Owner) anyEligible(query schedulingQuery) bool {
	for _, b := range o.candidates.withRole(query.role, time.Now()) {
		if !b.Leaving && b.Health != scheduling.Ejected && serves(&b, query) &&
			!slices.Contains(query.call.Excluded, b.Name) {
			return true
		}
	}
	return false
}

// serves reports whether the back end belongs to the call's service and has its model and
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

// tenantKey identifies one tenant within one class.
type tenantKey struct{ class, tenant string }

// Explanation is one scheduling decision on a call, kept for operators.
type Explanation struct {
	Call     identity.CallID
	At       time.Time
	Attempt  int
	Decision scheduling.Decision
}
