package serving_test

import (
	"testing"
	"testing/synctest"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/serving"
)

// scenario causes a failure and returns the violation that the back ends or callers
// observed, empty if none.
type scenario func(s *site, owner *serving.Owner) string

func losePaymentResponse(s *site, owner *serving.Owner) string {
	for _, portal := range s.portals {
		portal.SetFaults(application.Faults{LoseNext: 1})
	}
	_, _ = s.call(owner, p1, payment(1, "fee-1"))
	if s.ledger.Executions("pay_fee", "fee-1") > 1 {
		return "a payment ran more than once"
	}
	return ""
}

func payWhileLogUnavailable(s *site, owner *serving.Owner) string {
	s.log.durableDown = true
	_, _ = s.call(owner, p1, payment(1, "fee-1"))
	if s.ledger.Executions("pay_fee", "fee-1") > 0 {
		return "a payment ran without a durable intent"
	}
	return ""
}

func pauseOwnerBeforeSend(s *site, owner *serving.Owner) string {
	resume := s.pauseDispatch(callID(1))
	s.start(owner, p1, modelCall(1, "one"), 0)
	time.Sleep(10 * time.Millisecond)
	next, _ := s.open()
	for sequence, content := range []string{"one", "two"} {
		_, _ = s.call(next, p1, modelCall(uint64(sequence+1), content))
	}
	resume()
	time.Sleep(time.Minute)
	if len(s.arrivals(callID(1))) > 1 {
		return "a call ran after a later call of its branch"
	}
	return ""
}

func queryFormerOwner(s *site, owner *serving.Owner) string {
	_, _ = s.call(owner, p1, modelCall(1, "one"))
	next, _ := s.open()
	_, _ = next.Cancel(s.running, p1)
	if view, err := owner.Get(s.running, p1); err == nil && view.State == api.ProgramRunning {
		return "a former owner answered"
	}
	return ""
}

func endAProgram(s *site, owner *serving.Owner) string {
	_, _ = s.call(owner, p1, modelCall(1, "one"))
	_, _ = owner.End(s.running, p1)
	time.Sleep(10 * time.Second)
	if s.held(p1) != "" {
		return "the cache of an ended program was not released"
	}
	return ""
}

// TestIncorrectVariantsAreDetected verifies that the checks can fail: with one rule
// replaced by an incorrect one, the back ends or callers observe a violation.
func TestIncorrectVariantsAreDetected(t *testing.T) {
	wrong := map[string]struct {
		hooks serving.Hooks
		run   scenario
	}{
		"unrepeatable calls run again": {
			serving.Hooks{MayRetry: func(identity.CallID, bool) bool { return true }}, losePaymentResponse,
		},
		"intents are not durable": {
			serving.Hooks{RequiresDurableIntent: func(identity.CallID, bool) bool { return false }}, payWhileLogUnavailable,
		},
		"lost streams are not fenced": {
			serving.Hooks{Fence: func(identity.StreamID) error { return nil }}, pauseOwnerBeforeSend,
		},
		"lease is not checked": {
			serving.Hooks{CheckLease: func(journal.Shard) error { return nil }}, queryFormerOwner,
		},
		"no release": {
			serving.Hooks{Release: func(identity.ProgramID) bool { return false }}, endAProgram,
		},
	}
	for name, variant := range wrong {
		t.Run(name, func(t *testing.T) {
			if seen := runScenario(t, serving.Hooks{}, variant.run); seen != "" {
				t.Errorf("with the correct rule: %s", seen)
			}
			seen := runScenario(t, variant.hooks, variant.run)
			if seen == "" {
				t.Error("the incorrect variant was not detected")
			}
			t.Logf("detected: %s", seen)
		})
	}
}

func runScenario(t *testing.T, hooks serving.Hooks, run scenario) (seen string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1) // with two engines, the release at the other one would hide a missing fence
		defer s.close()
		s.hooks = hooks
		s.timing.AuditInterval = time.Hour // the audit would release the memory in place of the outbox
		owner, _ := s.open()
		s.create(owner, p1)
		seen = run(s, owner)
	})
	return seen
}
