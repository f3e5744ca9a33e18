package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Program is one program as its caller will drive it. No policy sees it.
type Program struct {
	ID     string        `json:"id"`
	Tenant string        `json:"tenant"`
	Class  string        `json:"class"`
	Arrive time.Duration `json:"arrive_ns"`
	// Silent programs are never ended by their caller.
	Silent bool   `json:"silent,omitempty"`
	Calls  []Call `json:"calls"`
}

// Call is one model call of a program.
type Call struct {
	Branch   string `json:"branch"`
	Sequence int    `json:"sequence"`
	// Turn numbers the person's question that the call belongs to.
	Turn int `json:"turn"`
	// After are the calls whose answers this one waits for; Pause comes after them.
	After []int         `json:"after,omitempty"`
	Pause time.Duration `json:"pause_ns,omitempty"`
	// NewTokens is what the prompt adds to the branch's history.
	NewTokens    int `json:"new_tokens"`
	AnswerTokens int `json:"answer_tokens"`
}

func (l lognormal) draw(random *rand.Rand) float64 {
	return min(max(l.Median*math.Exp(l.Sigma*random.NormFloat64()), l.Low), l.High)
}

func (l lognormal) tokens(random *rand.Rand) int { return int(l.draw(random)) }

func (l lognormal) seconds(random *rand.Rand) time.Duration {
	return time.Duration(l.draw(random) * float64(time.Second))
}

// geometric draws a count of at least 1 with the given mean.
func geometric(random *rand.Rand, mean float64) int {
	count := 1
	for mean > 1 && random.Float64() < 1-1/mean && count < maximumCount {
		count++
	}
	return count
}

// maximumCount bounds drawn counts of calls and turns, as a class's limits do.
const maximumCount = 40

// subAgentCalls is the mean count of calls of a sub-agent.
const subAgentCalls = 2

// drawProgram draws one program of class; its arrival, tenant and id are the caller's.
func drawProgram(random *rand.Rand, class *Class) Program {
	program := Program{Class: class.Name, Silent: random.Float64() < class.SilentShare}
	drawer := &programDrawer{random: random, class: class, program: &program}
	for turn := range geometric(random, class.Turns) {
		drawer.turn(turn)
	}
	return program
}

// programDrawer appends calls to one program.
type programDrawer struct {
	random   *rand.Rand
	class    *Class
	program  *Program
	sequence int
	branches int
	// last are the calls that the main branch's next one waits for.
	last []int
}

// turn appends the calls for one question of the person.
func (d *programDrawer) turn(number int) {
	for call := range geometric(d.random, d.class.CallsPerTurn) {
		pause := d.class.ToolPause.seconds(d.random)
		newTokens := d.class.NewTokens.tokens(d.random)
		if call == 0 && number == 0 {
			pause = 0
			newTokens = d.class.FirstPrompt.tokens(d.random)
		} else if call == 0 {
			pause = d.returnPause()
		}
		d.sequence++
		index := d.append(Call{
			Branch: mainBranch, Sequence: d.sequence, Turn: number, After: slices.Clone(d.last), Pause: pause,
			NewTokens: newTokens, AnswerTokens: d.class.Answer.tokens(d.random),
		})
		d.last = []int{index}
		if d.class.MaxBranches > 0 && d.random.Float64() < d.class.BranchShare {
			for range 1 + d.random.IntN(d.class.MaxBranches) {
				d.subAgent(number, index)
			}
		}
	}
	// A turn ends with an answer of the main branch.
	if len(d.last) > 1 {
		d.sequence++
		d.last = []int{d.append(Call{
			Branch: mainBranch, Sequence: d.sequence, Turn: number, After: slices.Clone(d.last),
			Pause:     d.class.ToolPause.seconds(d.random),
			NewTokens: d.class.NewTokens.tokens(d.random), AnswerTokens: d.class.Answer.tokens(d.random),
		})}
	}
}

func (d *programDrawer) returnPause() time.Duration {
	if d.random.Float64() < d.class.LongReturnShare {
		return d.class.LongReturn.seconds(d.random)
	}
	return d.class.Return.seconds(d.random)
}

// subAgent appends a branch that starts from the answer of call parent; the
// main branch waits for its last answer.
func (d *programDrawer) subAgent(turn, parent int) {
	d.branches++
	branch := fmt.Sprintf("agent-%d", d.branches)
	previous := parent
	for sequence := range geometric(d.random, subAgentCalls) {
		tokens := d.class.NewTokens.tokens(d.random)
		pause := d.class.ToolPause.seconds(d.random)
		if sequence == 0 {
			tokens = d.class.FirstPrompt.tokens(d.random) / 2
			pause = 0
		}
		previous = d.append(Call{
			Branch: branch, Sequence: sequence + 1, Turn: turn, After: []int{previous}, Pause: pause,
			NewTokens: max(tokens, 1), AnswerTokens: d.class.Answer.tokens(d.random),
		})
	}
	d.last = append(d.last, previous)
}

func (d *programDrawer) append(call Call) int {
	d.program.Calls = append(d.program.Calls, call)
	return len(d.program.Calls) - 1
}

// Workload draws the programs that arrive at site at load times its capacity,
// in order of arrival.
func Workload(site *Site, load float64, seed uint64) []Program {
	random := rand.New(rand.NewPCG(seed, 0x5eed))
	perSecond := load * Capacity(site)
	var programs []Program
	for i := range site.Classes {
		class := &site.Classes[i]
		rate := perSecond * class.Share
		at := -site.Prehistory
		for {
			at += nextArrival(random, site, class, rate, at)
			if at >= site.Duration {
				break
			}
			program := drawProgram(random, class)
			program.Arrive = at
			program.Tenant = drawTenant(random, site)
			if at >= 0 || program.skipTo(0) {
				programs = append(programs, program)
			}
		}
	}
	slices.SortStableFunc(programs, func(a, b Program) int { return int(a.Arrive - b.Arrive) })
	for i := range programs {
		programs[i].ID = fmt.Sprintf("%s-%06d", site.Name, i)
	}
	return programs
}

// skipTo drops the turns that begin before start, reckoned without the time that
// calls take, and tells whether any are left. What they said stays as history:
// it is part of the first prompt of its branch.
func (p *Program) skipTo(start time.Duration) bool {
	begins := p.Arrive
	first := -1
	for i, call := range p.Calls {
		begins += call.Pause
		if begins >= start && (i == 0 || call.Turn != p.Calls[i-1].Turn) {
			first = i
			break
		}
	}
	if first < 0 {
		return false
	}
	history := 0
	for _, call := range p.Calls[:first] {
		if call.Branch == mainBranch {
			history += call.NewTokens + call.AnswerTokens
		}
	}
	p.Calls = slices.Clone(p.Calls[first:])
	for i := range p.Calls {
		for j := range p.Calls[i].After {
			p.Calls[i].After[j] -= first
		}
	}
	p.Calls[0].After = nil
	p.Calls[0].Pause = 0
	p.Calls[0].NewTokens += history
	p.Arrive = begins
	return true
}

// mainBranch is the name of the chain that every program has.
const mainBranch = "main"

// nextArrival draws the time to the next arrival by thinning, so that the rate
// may change on the way.
func nextArrival(random *rand.Rand, site *Site, class *Class, rate float64, from time.Duration) time.Duration {
	peak := rate
	if class.Bursty {
		peak = rate * site.BurstFactor
	}
	at := from
	for {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if !class.Bursty || random.Float64()*site.BurstFactor < site.burst(at) || at >= site.Duration {
			return at - from
		}
	}
}

// burst returns the arrival rate at a time as a multiple of its mean.
func (s *Site) burst(at time.Duration) float64 {
	if (at+s.Prehistory)%s.BurstPeriod < s.BurstLength {
		return s.BurstFactor
	}
	inBurst := s.BurstLength.Seconds() * s.BurstFactor
	return (s.BurstPeriod.Seconds() - inBurst) / (s.BurstPeriod - s.BurstLength).Seconds()
}

// drawTenant draws a tenant; a few of them have most of the programs.
func drawTenant(random *rand.Rand, site *Site) string {
	position := random.Float64()
	return fmt.Sprintf("tenant-%d", int(position*position*float64(site.Tenants)))
}
