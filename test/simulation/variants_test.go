package simulation

import (
	"testing"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
)

// variant is a site with one wrong rule, and the requirement whose violation the checker
// must find under some schedule of these failures.
type variant struct {
	name   string
	point  string
	change func(*plan)
	faults []faultKind
	// tries bounds the number of schedules; the seeds are fixed.
	tries int
}

func variants() []variant {
	return []variant{
		{
			name: "unrepeatable calls run again after a lost attempt", point: pointUnrepeatable,
			change: func(p *plan) {
				p.hooks.MayRetry = func(identity.CallID, bool) bool { return true }
			},
			faults: []faultKind{applicationLosesAnswers, killNode}, tries: 30,
		},
		{
			name: "no reservation", point: pointBudget,
			change: func(p *plan) {
				p.hooks.Reserve = func(int64, int64) int64 { return 0 }
				p.budget = 150
			},
			faults: []faultKind{engineLosesAnswers, engineRestart}, tries: 30,
		},
		{
			name: "lost streams are not cancelled", point: pointOrder,
			change: func(p *plan) {
				p.hooks.Fence = func(identity.StreamID) error { return nil }
				p.hooks.CheckLease = func(journal.Shard) error { return nil }
				p.zoneLatency, p.pause, p.calls = 40*time.Millisecond, 200*time.Millisecond, 30
			},
			faults: []faultKind{freezeNode, engineFrozen, engineDown}, tries: 60,
		},
		{
			name: "the release outbox is not worked off", point: pointMemory,
			change: func(p *plan) {
				p.hooks.Release = func(identity.ProgramID) bool { return false }
				p.auditInterval = time.Hour
			},
			faults: []faultKind{killNode}, tries: 5,
		},
		{
			name: "the oldest turn is forgotten", point: pointHistory,
			change: func(p *plan) { p.wrapDirectory = wrongly(&wrongDirectory{forget: true}) },
			faults: []faultKind{killNode}, tries: 3,
		},
		{
			name: "answers are mixed up", point: pointAnswer,
			change: func(p *plan) { p.wrapDirectory = wrongly(&wrongDirectory{mixUp: true}) },
			faults: []faultKind{killNode}, tries: 3,
		},
		{
			name: "lost answers count as not delivered", point: pointNotRun,
			change: func(p *plan) {
				p.wrapDirectory = wrongly(&wrongDirectory{certain: true})
				p.applications = 1
			},
			faults: []faultKind{applicationLosesAnswers}, tries: 30,
		},
		{
			name: "lost answers count as not delivered, with a second replica", point: pointUnrepeatable,
			change: func(p *plan) { p.wrapDirectory = wrongly(&wrongDirectory{certain: true}) },
			faults: []faultKind{applicationLosesAnswers}, tries: 30,
		},
	}
}

// wrongly gives every node back-end clients with the fault of prototype.
func wrongly(prototype *wrongDirectory) func(backend.Directory) backend.Directory {
	return func(inner backend.Directory) backend.Directory {
		return &wrongDirectory{Directory: inner, forget: prototype.forget, mixUp: prototype.mixUp, certain: prototype.certain}
	}
}

// TestCheckerFindsWrongVariants verifies that the checker detects each wrong variant.
func TestCheckerFindsWrongVariants(t *testing.T) {
	t.Parallel()
	for _, wrong := range variants() {
		t.Run(wrong.name, func(t *testing.T) {
			t.Parallel()
			generator := schedules(wrong.faults...)
			for seed := range wrong.tries {
				site := quito(uint64(seed) + 1)
				wrong.change(&site)
				for _, found := range runSchedule(t, site, generator.Example(seed)) {
					if found.point == wrong.point {
						t.Logf("seed %d: %s", seed+1, found)
						return
					}
				}
			}
			t.Errorf("none of %d schedules violated %q", wrong.tries, wrong.point)
		})
	}
}
