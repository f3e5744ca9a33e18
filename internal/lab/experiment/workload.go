package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Program is the sequence of calls that a caller will make. Policies don't see it.
type Program struct {
	ID     string        `json:"id"`
	Tenant string        `json:"tenant"`
	Class  string        `json:"class"`
	Arrive time.Duration `json:"arrive_ns"`
	// Silent programs are never ended by their callers.
	Silent bool   `json:"silent,omitempty"`
	Calls  []Call `json:"calls"`
}

// Call is one model call of a program.
type Call struct {
	Branch   string `json:"branch"`
	Sequence int    `json:"sequence"`
	// Turn is the index of the user turn that the call belongs to.
	Turn int `json:"turn"`
	// After has the indexes of the calls whose answers this one depends on. The call
	// is sent Pause after the last of them.
	After []int         `json:"after,omitempty"`
	Pause time.Duration `json:"pause_ns,omitempty"`
	// NewTokens is the number of tokens that the prompt adds to the branch's history.
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

// geometric draws a number from 1 to maximumCount from a geometric distribution with
// the given mean.
func geometric(random *rand.Rand, mean float64) int {
	count := 1
	for mean > 1 && random.Float64() < 1-1/mean && count < maximumCount {
		count++
	}
	return count
}

// maximumCount bounds the drawn numbers of calls and turns.
const maximumCount = 40

// subAgentCalls is the mean number of calls of a sub-agent.
const subAgentCalls = 2

// drawProgram draws a program of class without an arrival time, tenant and ID.
func drawProgram(random *rand.Rand, class *Class) Program {
	program := Program{Class: class.Name, Silent: random.Float64() < class.SilentShare}
	drawer := &programDrawer{random: random, class: class, program: &program}
	for turn := range geometric(random, class.Turns) {
		drawer.turn(turn)
	}
	return program
}

// programDrawer appends drawn calls to one program.
type programDrawer struct {
	random   *rand.Rand
	class    *Class
	program  *Program
	sequence int
	branches int
	// last has the calls that the next call of the main branch depends on.
	last []int
}

// turn appends the calls of one user turn.
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

// subAgent appends a branch that starts after the answer to the call parent. The next
// call of the main branch depends on its last answer.
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

// Workload draws the programs that arrive at a rate of load times the site's capacity,
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

// skipTo removes the turns that begin before start, assuming that calls take no time,
// and reports whether any turn remains. The tokens of the removed main-branch calls
// are added to the first remaining prompt.
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

// mainBranch is the name of the branch that every program has.
const mainBranch = "main"

// nextArrival draws the time to the next arrival of an inhomogeneous Poisson process
// by thinning.
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

// drawTenant draws a tenant from a skewed distribution: low numbers are more frequent.
func drawTenant(random *rand.Rand, site *Site) string {
	position := random.Float64()
	return fmt.Sprintf("tenant-%d", int(position*position*float64(site.Tenants)))
}
