package journal

import (
	"testing"
)

// TestProofs runs each scenario with the real protocol, which must pass, and with a
// faulty variant, which the same check must detect.
func TestProofs(t *testing.T) {
	for _, proof := range []struct {
		name  string
		body  func(site *testSite) error
		wrong variant
	}{
		{"kill with a slow log", killWithSlowLog, variant{handle: forgetful}},
		{"restarted replicas never count", restartReplica, variant{handle: anyLife}},
		{"freeze past the lease", freezeOwner, variant{handle: unfenced, noLeaseCheck: true}},
		{"owner cut off", cutOwner, variant{handle: impatient}},
		{"claimant cut off", cutClaimant, variant{client: skipPreVote}},
		{"lost answers", loseAnswers, variant{log: blind}},
		{"owners die in an outage", killInOutage, variant{handle: changing(unarmed)}},
		{"freeze past the lease in an outage", freezeInOutage, variant{handle: changing(termless), noLeaseCheck: true}},
		{"owner dies after an outage", dieAfterOutage, variant{handle: changing(deaf)}},
		{"log back for the owner alone", ownerSeesLog, variant{client: assumeConsent}},
	} {
		t.Run(proof.name, func(t *testing.T) {
			t.Parallel()
			if err := scenario(t, variant{}, 6, proof.body); err != nil {
				t.Errorf("the protocol fails: %v", err)
			}
			err := scenario(t, proof.wrong, 6, proof.body)
			if err == nil {
				t.Error("the wrong variant was not caught")
			}
			t.Logf("wrong variant: %v", err)
		})
	}
}
