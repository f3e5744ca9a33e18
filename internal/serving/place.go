package serving

import (
	"slices"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/platform"
	"stepseam.example/stepseam/internal/program"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/table"
)

// place is the back end that was chosen for one attempt.
type place struct {
	backend  blackboard.Backend
	flights  *flights
	flight   *flight
	priority int
	// request and prompt are what to send, set by load.
	request program.Request
	prompt  []backend.Message
}

func (p *place) leave() { p.flights.leave(p.flight) }

// load takes what the back end is to get; the caller holds the shard's mutex.
func (p *place) load(state *program.Program, request program.Request) {
	p.request = request
	if request.Kind != api.CallModel {
		return
	}
	messages := state.Prompt(request)
	p.prompt = make([]backend.Message, len(messages))
	for i, message := range messages {
		p.prompt[i] = backend.Message(message)
	}
}

// asked is one call as the scheduler sees it.
type asked struct {
	call  scheduling.Call
	class table.Class
	role  platform.MachineRole
	// holder is the back end of the branch's last call, which counted settled
	// tokens. answeredHere is true if this owner saw that call's answer.
	holder       string
	settled      int
	answeredHere bool
}

// cachedAt returns how many tokens of the call's prompt the back end is expected
// to hold. Beliefs begin with the calls that went through this node: for a call
// that another node answered, the journal's word goes before no belief.
func (o *Owner) cachedAt(backend string, question *asked) int {
	believed := 0
	if o.config.CachedTokens != nil && question.call.Model != "" {
		believed = o.config.CachedTokens(backend, question.call.ID.Program, question.call.ID.Branch)
	}
	if backend != question.holder || believed > 0 || (question.answeredHere && o.config.CachedTokens != nil) {
		return min(believed, question.call.PromptTokens)
	}
	return question.settled
}

// place chooses a back end, holding the call while the policy says so. An
// outcome is a refusal.
func (d *driver) place() (*place, *outcome) {
	waiting := ""
	defer func() {
		if waiting != "" {
			d.owner().flights.stopWaiting(waiting, d.run.id)
		}
	}()
	for {
		question, result := d.ask()
		if result != nil {
			return nil, result
		}
		chosen, decision, changed := d.owner().choose(question)
		if chosen == nil && decision.Action == scheduling.Refuse && len(question.call.Excluded) > 0 && d.lost > 0 {
			// A back end that lost the call is better than none.
			question.call.Excluded = d.refusedBy
			chosen, decision, changed = d.owner().choose(question)
		}
		d.owner().explained.add(Explanation{Call: d.run.id, At: time.Now(), Decision: decision, Attempt: question.call.Attempt})
		switch {
		case chosen != nil:
			d.reason = decision.Reason
			return chosen, nil
		case decision.Action == scheduling.Refuse:
			return nil, failed(d.shard.certain(d.refusal(question, decision)))
		}
		waiting = question.call.Class
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

func (d *driver) refusal(question asked, decision scheduling.Decision) *api.Problem {
	code := api.CodeOverloaded
	if !d.owner().anyEligible(question) {
		code = api.CodeNoBackend
	}
	return api.NewProblem(code, "call %s: %s", d.run.id, decision.Reason).
		WithNotRun(!d.mayHaveRun()).WithRetryAfter(decision.RetryAfter)
}

// ask describes the call to the scheduler.
func (d *driver) ask() (asked, *outcome) {
	published := d.owner().config.Board.Table.Load()
	s := d.shard
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	p := s.machine.set.Get(d.run.id.Program)
	if p == nil || d.run.context.Err() != nil {
		return asked{}, d.ended()
	}
	request := d.run.request
	question := asked{role: platform.RoleApplication}
	if published != nil {
		question.class = published.Classes[p.Class()]
	}
	question.call = scheduling.Call{
		ID:             d.run.id,
		Tenant:         p.Tenant(),
		Class:          p.Class(),
		Service:        request.Application,
		Arrived:        d.run.arrived,
		Deadline:       d.run.deadline,
		ProgramStarted: p.Created(),
		ServiceSoFar:   p.Service(),
		CallsSoFar:     p.Calls(),
		Weight:         question.class.Weight,
		Priority:       question.class.Priority,
		Attempt:        d.lost,
		Excluded:       d.excluded,
		LastBackend:    p.LastBackend(d.run.id.Branch),
	}
	if request.Kind == api.CallModel {
		d.askModel(&question, p, published)
	}
	return question, nil
}

// askModel fills in what only model calls have.
func (d *driver) askModel(question *asked, p *program.Program, published *table.Table) {
	request := d.run.request
	if !d.open {
		request, _ = p.Resolve(request)
	}
	size := p.PromptSize(request)
	question.role = platform.RoleEngine
	question.holder = question.call.LastBackend
	question.settled = int(size.Settled)
	question.answeredHere = !p.LastAnswered(d.run.id.Branch).Before(d.shard.opened)
	question.call.Service = ""
	question.call.Model = request.Model
	question.call.PromptTokens = int(size.Expected)
	question.call.MaxTokens = request.MaxTokens
	if published != nil {
		question.call.Service = published.Models[request.Model].Service
	}
}

// choose asks the policy and, if it says run, enters the flight in the same
// step, so that no two calls take one back end's trial.
func (o *Owner) choose(question asked) (*place, scheduling.Decision, <-chan struct{}) {
	now := time.Now()
	backends := o.candidates.of(question.role, now)
	limit := o.classLimit(question.class.MaxConcurrent)
	o.flights.mutex.Lock()
	defer o.flights.mutex.Unlock()
	if decision := o.admit(now, question, limit); decision.Action != scheduling.Run {
		return nil, decision, o.flights.awaitChange()
	}
	o.flights.turn++
	question.call.Turn = o.flights.turn
	snapshot := o.snapshot(now, question, backends)
	decision := o.config.Policy.Choose(now, question.call, snapshot)
	if decision.Action != scheduling.Run {
		return nil, decision, o.flights.awaitChange()
	}
	at := slices.IndexFunc(backends, func(b blackboard.Backend) bool { return b.Name == decision.Backend })
	if at < 0 {
		decision.Action = scheduling.Hold
		return nil, decision, o.flights.awaitChange()
	}
	chosen := &place{backend: backends[at], flights: o.flights, priority: decision.Priority}
	chosen.flight = o.flights.enter(now, question, backends[at].Name, snapshot[at].CachedTokens)
	return chosen, decision, nil
}

// admit applies the class's limits: a new program's first call is refused at
// once, a later call waits for a place in order of urgency: it runs once there is
// one beyond those of the calls ahead of it. The caller holds the flights' mutex.
func (o *Owner) admit(now time.Time, question asked, limit int) scheduling.Decision {
	running := o.flights.classes[question.call.Class]
	if limit > 0 {
		running += o.flights.ahead(now, &question.call)
	}
	decision := scheduling.Admit(now, scheduling.Admission{
		Call:            question.call,
		MaxConcurrent:   limit,
		TenantShare:     question.class.TenantShare,
		ClassRunning:    running,
		TenantRunning:   o.flights.tenants[tenantKey{question.call.Class, question.call.Tenant}],
		ProgramDuration: o.durations.of(question.call.Class),
	})
	if decision.Action != scheduling.Run || limit == 0 || running < limit {
		return decision
	}
	o.flights.await(question.call)
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

// anyEligible tells that some back end serves the question's model or service.
func (o *Owner) anyEligible(question asked) bool {
	for _, b := range o.candidates.of(question.role, time.Now()) {
		if !b.Leaving && b.Health != scheduling.Ejected && serves(&b, question) &&
			!slices.Contains(question.call.Excluded, b.Name) {
			return true
		}
	}
	return false
}

// serves tells that the back end is of the call's service and has its model and
// adapter loaded.
func serves(b *blackboard.Backend, question asked) bool {
	if question.call.Service != "" && b.Service != question.call.Service {
		return false
	}
	if question.role != platform.RoleEngine {
		return true
	}
	return slices.Contains(b.Report.Models, question.call.Model)
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
