package ledgerlog

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/store"
)

// boundRun plays programs that use whole turns without end, while appends are lost, late, repeated and
// fenced, and nodes release, return, are cut from the store and die at any point.
type boundRun struct {
	*budgetRun
	// open contains the ends of the turns that run.
	open []func()
	// allEnd is set if each turn ends at last.
	allEnd bool
}

// step plays one step that draw selects, at one of the nodes and programs.
func (r *boundRun) step(draw int) {
	kind, node, program := draw%16, draw/16%len(r.live), draw/64
	if len(r.programs) == 0 {
		r.add()
	}
	p := r.programs[program%len(r.programs)]
	switch kind {
	case 0:
		r.add()
		if len(r.open) > 0 {
			end := r.open[program%len(r.open)]
			end()
		}
	case 1, 2, 3, 4: // a turn at any node
		r.turnAt(r.live[node], p, draw/3)
	case 5:
		r.live[node].SettleIdle(func(int) bool { return false })
	case 6:
		r.live[node].SettleIdle(func(int) bool { return true })
	case 7:
		r.log.Fail([]store.Fault{{}, {Silent: true}, {LoseAnswers: true}, {LoseAnswers: true, LateAfter: 2 * time.Second}, {Busy: true}}[draw/16%5])
	case 8:
		r.log.Fail(store.Fault{})
	case 9:
		r.live[node].path.silent.Store(!r.live[node].path.silent.Load())
	case 10:
		r.live[node].path.fenced.Store(2)
	case 11: // a node dies
		r.kill(r.live[node : node+1])
		r.live = append(r.live[:node:node], r.live[node+1:]...)
		if len(r.live) == 0 {
			r.start()
		}
	case 12:
		if len(r.live) < 4 {
			r.start()
		}
	case 13:
		r.loseAll()
	case 14:
		time.Sleep(time.Duration(draw/16%40) * 10 * time.Millisecond)
	case 15:
		r.tick(time.Duration(draw/16%12) * time.Second)
	}
}

// add adds a program whose partition is that of all others.
func (r *boundRun) add() {
	r.begin("p")
	added := r.programs[len(r.programs)-1]
	for r.started[0].Partition(added.id) != 0 {
		added.id += "p"
	}
}

// turnAt runs a turn that uses all of its tokens or, seldom, some. draw selects whether its node learns of
// its end at once, later or never.
func (r *boundRun) turnAt(node *budgetNode, p *budgetProgram, draw int) {
	grant, err := beginTurn(within(r.t, 300*time.Millisecond), node.Ledger, p.id, p.budget, p.maxTokens, node == r.live[0])
	if err != nil {
		return
	}
	used := p.maxTokens
	if draw%5 == 0 {
		used /= 2
	}
	p.used += used
	if p.used > p.budget+p.maxTokens {
		r.fail("%s used %d of a budget of %d and one turn of %d, with the records%s", p.id, p.used, p.budget, p.maxTokens, r.recordsOf(p.id))
	}
	end := func() { node.FinishTurn(grant.Program, grant.ID, used) }
	switch kind := draw / 5 % 3; {
	case kind == 0:
		end()
	case kind == 1, r.allEnd:
		r.open = append(r.open, end)
	}
}

// Programs got more than their budget and one turn where a turn was granted ahead of the log and its
// record was lost, refused or behind a release.
func TestBudgetBoundHoldsWhateverBecomesOfAppends(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draws := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 20, 150).Draw(rt, "draws")
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			run := &boundRun{budgetRun: newBudgetRun(t)}
			run.reckless = true
			run.start()
			for _, draw := range draws {
				if run.failure == "" {
					run.step(draw)
				}
			}
			run.end()
			failure = run.failure
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
