package simulation

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/simulated"
	"stepseam.example/stepseam/internal/serving"
)

// attemptTimeout is how long a simulated caller waits for a node before it tries another
// one.
const attemptTimeout = 90 * time.Second

// errConnection is the caller's error if a node dies during its request.
var errConnection = errors.New("simulation: connection lost")

// outcome is the result of one call from its caller's view.
type outcome struct {
	id      identity.CallID
	request api.CallRequest
	// answer is set once the caller got one; streamed contains the tokens of the
	// successful attempt.
	answer   *api.Answer
	streamed string
	// problem is the final rejection; nil with an answer.
	problem *api.Problem
	// everAmbiguous is set if the outcome of some attempt was unknown.
	everAmbiguous bool
	attempts      int
	// took is the time from the start of the first attempt to the end of the last one.
	took time.Duration
	// refusals counts the rejections of the attempts by code.
	refusals map[api.Code]int
}

// programRecord is one program from its caller's view.
type programRecord struct {
	id       identity.ProgramID
	tenant   string
	outcomes []*outcome
	ended    bool
}

// caller runs one program against a site, like an agent whose connections may break and
// who retries through another node.
type caller struct {
	site   *site
	random *rand.Rand
	record *programRecord
	// patience bounds one call over all its attempts.
	patience time.Duration
}

// workload runs the plan's programs and returns their callers' records.
func (s *site) workload(ctx context.Context) []*programRecord {
	records := make([]*programRecord, s.plan.programs)
	var group sync.WaitGroup
	for index := range records {
		c := &caller{
			site:     s,
			random:   rand.New(rand.NewPCG(s.plan.seed, uint64(index))),
			record:   &programRecord{id: identity.ProgramID(fmt.Sprintf("program-%d", index)), tenant: fmt.Sprintf("tenant-%d", index%3)},
			patience: 30 * time.Minute,
		}
		records[index] = c.record
		group.Go(func() { c.run(ctx, s.plan.calls) })
	}
	group.Wait()
	return records
}

// run makes the program's calls one after the other, with pauses for tools, and one
// concurrent branch.
func (c *caller) run(ctx context.Context, calls int) {
	c.pause(2 * time.Second)
	if !c.create(ctx) {
		return
	}
	var branch sync.WaitGroup
	branchRandom := rand.New(rand.NewPCG(c.random.Uint64(), 1))
	helper := &caller{site: c.site, random: branchRandom, record: c.record, patience: c.patience}
	var branchOutcomes []*outcome
	branch.Go(func() { branchOutcomes = helper.chain(ctx, "sub-agent", calls/2) })
	main := c.chain(ctx, identity.MainBranch, calls)
	branch.Wait()
	c.record.outcomes = append(main, branchOutcomes...)
	c.end(ctx)
}

// chain makes one branch's calls. It stops at the first call without an answer.
func (c *caller) chain(ctx context.Context, branch identity.BranchID, calls int) []*outcome {
	var outcomes []*outcome
	for sequence := 1; sequence <= calls; sequence++ {
		request := c.nextCall(branch, uint64(sequence))
		result := c.call(ctx, request)
		outcomes = append(outcomes, result)
		if result.answer == nil && (result.problem == nil || result.problem.Code != api.CodeOutcomeUnknown) {
			break
		}
		c.pause(c.site.plan.pause)
	}
	return outcomes
}

func (c *caller) nextCall(branch identity.BranchID, sequence uint64) api.CallRequest {
	request := api.CallRequest{Sequence: sequence, Branch: string(branch)}
	kind := c.random.IntN(5)
	if kind == 0 && c.site.plan.mainRepeatable && branch == identity.MainBranch {
		kind = 1
	}
	switch kind {
	case 0:
		request.Kind, request.Application, request.Operation = api.CallApplication, portalService, "enrol"
		request.IdempotencyKey = fmt.Sprintf("%s/%s/%d", c.record.id, branch, sequence)
		request.Unrepeatable = true
		request.Input = []byte(`{"course":"algebra"}`)
	case 1:
		request.Kind, request.Application, request.Operation = api.CallApplication, portalService, "read_file"
		request.Input = []byte(`{"file":1}`)
	default:
		request.Kind, request.MaxTokens = api.CallModel, 8+c.random.IntN(24)
		request.Messages = []api.Message{{Role: "user", Content: fmt.Sprintf("%s on %s asks %d", c.record.id, branch, sequence)}}
	}
	return request
}

func (c *caller) pause(longest time.Duration) {
	time.Sleep(time.Duration(c.random.Int64N(int64(longest))))
}

// randomNode returns a random live node, which may be frozen.
func (c *caller) randomNode() *simulated.Incarnation {
	for {
		if found := c.site.incarnation(c.random.IntN(c.site.plan.nodes)); found != nil {
			return found
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// through sends one request through a random node. If the node dies or does not respond,
// the result is a lost connection.
func (c *caller) through(ctx context.Context, request func(context.Context, serving.Programs) error) error {
	at := c.randomNode()
	if at.Node.Board().Draining.Load() {
		return api.NewProblem(api.CodeDraining, "the node is stopping").WithRetryAfter(time.Second)
	}
	at.Requests.Add(1)
	defer at.Requests.Done()
	ctx, cancel := context.WithTimeout(ctx, c.attemptTime())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		err := request(ctx, at.Node.Programs())
		if gateErr := at.Endpoint.Gate(context.WithoutCancel(ctx)); gateErr != nil {
			err = errConnection
		}
		ended <- err
	}()
	select {
	case err := <-ended:
		return err
	case <-at.Endpoint.Done():
	case <-ctx.Done():
	}
	return errConnection
}

// attemptTime is how long the caller stays connected.
func (c *caller) attemptTime() time.Duration {
	if c.site.plan.vanishing && c.random.IntN(6) == 0 {
		return time.Duration(c.random.Int64N(int64(700 * time.Millisecond)))
	}
	return attemptTimeout
}

func (c *caller) create(ctx context.Context) bool {
	request := serving.CreateRequest{ID: c.record.id, Tenant: c.record.tenant, Class: className}
	return c.retryUntilSuccess(ctx, func(ctx context.Context, programs serving.Programs) error {
		_, err := programs.Create(ctx, request)
		return err
	}) == nil
}

func (c *caller) end(ctx context.Context) {
	c.record.ended = c.retryUntilSuccess(ctx, func(ctx context.Context, programs serving.Programs) error {
		_, err := programs.End(ctx, c.record.id)
		return err
	}) == nil
}

// retryUntilSuccess retries a repeatable request until it succeeds or the patience expires.
func (c *caller) retryUntilSuccess(ctx context.Context, request func(context.Context, serving.Programs) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.patience)
	defer cancel()
	for {
		err := c.through(ctx, request)
		if err == nil || ctx.Err() != nil {
			return err
		}
		c.pauseAfter(err)
	}
}

// pauseAfter waits for a rejection's retry delay, or a short default.
func (c *caller) pauseAfter(err error) {
	wait := 200 * time.Millisecond
	var problem *api.Problem
	if errors.As(err, &problem) && problem.RetryAfter > 0 {
		wait = problem.RetryAfter
	}
	time.Sleep(wait)
}

// call makes one call and retries it through other nodes until its outcome is final.
func (c *caller) call(ctx context.Context, request api.CallRequest) *outcome {
	result := &outcome{
		id:       identity.CallID{Program: c.record.id, Branch: identity.BranchID(request.Branch), Sequence: identity.Sequence(request.Sequence)},
		request:  request,
		refusals: map[api.Code]int{},
	}
	ctx, cancel := context.WithTimeout(ctx, c.patience)
	defer cancel()
	began := time.Now()
	defer func() { result.took = time.Since(began) }()
	givesUp := c.random.IntN(4) == 0 && c.site.plan.impatient
	for ctx.Err() == nil {
		result.attempts++
		err := c.attempt(ctx, result)
		if err == nil {
			result.problem = nil
			return result
		}
		var problem *api.Problem
		if !errors.As(err, &problem) {
			result.everAmbiguous = true
			c.pauseAfter(err)
			continue
		}
		result.problem = problem
		result.refusals[problem.Code]++
		result.everAmbiguous = result.everAmbiguous || !problem.NotRun
		if isFinal(problem) || (givesUp && problem.NotRun && !result.everAmbiguous) {
			return result
		}
		c.pauseAfter(err)
	}
	return result
}

// attempt makes the call through one node and stores its answer in result.
func (c *caller) attempt(ctx context.Context, result *outcome) error {
	var mutex sync.Mutex
	var streamed strings.Builder
	next, gap := 0, false
	var answer api.Answer
	err := c.through(ctx, func(ctx context.Context, programs serving.Programs) error {
		received, err := programs.Call(ctx, serving.CallRequest{Program: c.record.id, Call: result.request}, func(index int, text string) error {
			mutex.Lock()
			defer mutex.Unlock()
			gap = gap || index != next
			next++
			streamed.WriteString(text)
			return nil
		})
		mutex.Lock()
		defer mutex.Unlock()
		answer = received
		return err
	})
	mutex.Lock()
	defer mutex.Unlock()
	if err != nil {
		return err
	}
	result.answer, result.streamed = &answer, streamed.String()
	if gap {
		result.streamed = "tokens out of order: " + result.streamed
	}
	return nil
}

// summary counts the outcomes, so that logs show what a search covered.
func summary(records []*programRecord) string {
	calls, answered, attempts, ambiguous := 0, 0, 0, 0
	refusals := map[api.Code]int{}
	for _, record := range records {
		for _, outcome := range record.outcomes {
			calls++
			attempts += outcome.attempts
			if outcome.answer != nil {
				answered++
			}
			if outcome.everAmbiguous {
				ambiguous++
			}
			if outcome.problem != nil {
				refusals[outcome.problem.Code]++
			}
		}
	}
	return fmt.Sprintf("%d calls, %d answered, %d attempts, %d ambiguous, final refusals %v", calls, answered, attempts, ambiguous, refusals)
}

// isFinal reports that a retry cannot change the outcome.
func isFinal(problem *api.Problem) bool {
	switch problem.Code {
	case api.CodeOutcomeUnknown, api.CodeBudget, api.CodeProgramEnded, api.CodeConflict, api.CodeLimit, api.CodeInvalid, api.CodeHistoryMismatch:
		return true
	default:
		return false
	}
}
