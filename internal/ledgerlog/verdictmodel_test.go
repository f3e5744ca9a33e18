package ledgerlog

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// verdictRun plays faults like boundRun, with turns that all end at last.
type verdictRun struct{ boundRun }

// settleAll heals the site, ends all turns and lets the nodes settle.
func (r *verdictRun) settleAll() {
	r.heal()
	for _, end := range r.open {
		end()
	}
	r.open = nil
	r.tick(2 * time.Second)
}

// verdict returns what a turn of a program is told within two seconds.
func (r *verdictRun) verdict(p *budgetProgram) (Grant, error) {
	var grant Grant
	var err error
	for began := time.Now(); time.Since(began) < 2*time.Second; {
		grant, err = beginTurn(within(r.t, time.Second), r.live[0].Ledger, p.id, p.budget, p.maxTokens, true)
		if err == nil || errors.As(err, new(*BudgetExhaustedError)) {
			break
		}
		r.tick(100 * time.Millisecond)
	}
	return grant, err
}

// lost returns what is reserved for a program by nodes that are gone.
func (r *verdictRun) lost(p *budgetProgram) uint32 {
	total := uint32(0)
	for _, one := range r.live[0].partitionOf(p.id).reader.openReservations(p.id) {
		if _, alive := r.alive.Load(one.Incarnation); !alive && !one.Assumed {
			total += one.Tokens
		}
	}
	return total
}

// checkVerdicts checks that each program gets a verdict soon, alone and beside a logged turn of its own, and a
// turn if it fits. What an unlogged turn leaves over of its assumed reservation may still be returned.
func (r *verdictRun) checkVerdicts() {
	for _, p := range r.programs {
		grant, err := r.verdict(p)
		if err == nil {
			p.used += p.maxTokens
			if !grant.Unlogged {
				var beside Grant
				if beside, err = r.verdict(p); err == nil {
					r.live[0].FinishTurn(p.id, beside.ID, 0)
				}
			}
			r.live[0].FinishTurn(p.id, grant.ID, p.maxTokens)
		}
		if err != nil && (!errors.As(err, new(*BudgetExhaustedError)) || p.used+r.lost(p)+p.maxTokens <= p.budget) {
			r.fail("%s has used %d of %d, %d are lost, and it gets %v, with the records%s", p.id, p.used, p.budget, r.lost(p), err, r.recordsOf(p.id))
		}
	}
}

// Programs were told for as long as they asked that the rest of their budget was reserved elsewhere, or that
// it was spent, though no other node had anything to return and the turn fitted.
func TestBudgetsAreDecidedSoonWhateverWasLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draws := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 20, 150).Draw(rt, "draws")
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			run := &verdictRun{boundRun{budgetRun: newBudgetRun(t), allEnd: true}}
			run.reckless = true
			run.start()
			for _, draw := range draws {
				if run.failure == "" {
					run.step(draw)
				}
			}
			run.settleAll()
			if run.failure == "" {
				run.checkVerdicts()
			}
			run.end()
			failure = run.failure
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
