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
		{"kill with a slow log", killWithSlowLog, variant{handle: omitTail}},
		{"restarted replicas never count", restartReplica, variant{handle: acceptAnyIncarnation}},
		{"freeze past the lease", pauseOwner, variant{handle: withoutFencing, noLeaseCheck: true}},
		{"owner cut off", partitionOwner, variant{handle: hideLeases}},
		{"claimant cut off", partitionClaimant, variant{client: skipPreVote}},
		{"lost answers", loseLogResponses, variant{log: withoutReadBack}},
		{"owners die in an outage", killInOutage, variant{handle: modifyRequests(dropAuthorization)}},
		{"freeze past the lease in an outage", pauseInOutage, variant{handle: modifyRequests(resetTerm), noLeaseCheck: true}},
		{"owner dies after an outage", dieAfterOutage, variant{handle: modifyRequests(dropRevocation)}},
		{"log back for the owner alone", logRecoversForOwner, variant{client: assumeConsent}},
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
