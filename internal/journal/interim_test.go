package journal

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

// interimBound bounds how long a shard may be without an owner after a crash during
// an outage: the lease, its detection, and a claim.
const interimBound = 5 * time.Second

// modifyRequests applies change to each request to a replica before it is handled.
func modifyRequests(change func(node *testNode, request peer.Message)) func(*testNode, peer.HandlerFunc) peer.HandlerFunc {
	return func(node *testNode, next peer.HandlerFunc) peer.HandlerFunc {
		return func(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
			change(node, request)
			return next(ctx, request, sendPart)
		}
	}
}

// dropAuthorization drops the authorization from writes, so that replicas have no full state
// for an interim owner.
func dropAuthorization(_ *testNode, request peer.Message) {
	if write, fits := request.(*appendRequest); fits {
		write.Write.Authorization = 0
	}
}

// resetTerm resets the promised term, so that replicas accept records and renewals
// below it.
func resetTerm(node *testNode, request peer.Message) {
	if request.Kind() != kindAppend && request.Kind() != kindRenew {
		return
	}
	for i := range node.manager.replicas {
		slot := &node.manager.replicas[i]
		slot.mutex.Lock()
		slot.replica.term = 0
		slot.mutex.Unlock()
	}
}

// dropRevocation drops revocations, so that replicas confirm them without applying them.
func dropRevocation(_ *testNode, request peer.Message) {
	if renew, fits := request.(*renewRequest); fits {
		for i := range renew.Renewals {
			renew.Renewals[i].RevokedThrough = 0
		}
	}
}

// consentingClient treats a renewal without a response as granted.
type consentingClient struct{ peer.Client }

func assumeConsent(client peer.Client) peer.Client { return consentingClient{client} }

// Call grants renewals that fail.
func (c consentingClient) Call(ctx context.Context, address netip.AddrPort, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	answer, err := c.Client.Call(ctx, address, request, onPart)
	if err != nil && request.Kind() == kindRenew {
		return &renewResponse{}, nil
	}
	return answer, err
}

// takeover waits until a node other than former serves shard 0.
func (s *testSite) takeover(former *testNode) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < interimBound {
		if node := s.serving(0); node != nil && node != former {
			return time.Since(began), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, fmt.Errorf("shard 0 is not served %v after its owner's death in an outage", interimBound)
}

// killInOutage kills the owner while the log is unavailable, restarts it with empty
// memory, and kills the owner that replaced it.
func killInOutage(site *testSite) error {
	owners := site.watchOwners()
	load := site.load(0)
	site.log.SetDown(true)
	time.Sleep(10 * time.Second)
	claims := len(site.log.Records(StreamName(0)))
	for range 2 {
		owner := site.serving(0)
		owner.kill()
		time.Sleep(time.Second)
		site.refresh()
		if _, err := site.takeover(owner); err != nil {
			return err
		}
		time.Sleep(20 * time.Second)
		site.start(number(owner.node.Name))
		time.Sleep(20 * time.Second)
	}
	if after := len(site.log.Records(StreamName(0))); after != claims {
		return fmt.Errorf("the log went from %d to %d records while it was away", claims, after)
	}
	return errors.Join(site.settle(), load.check(), owners(), site.checkLog(0))
}

// pauseInOutage pauses the owner's process past its lease while the log is
// unavailable, between its lease check and the action that depends on it.
func pauseInOutage(site *testSite) error {
	owner := site.serving(0)
	open := owner.host.open(0)
	load := site.load(0)
	site.log.SetDown(true)
	time.Sleep(10 * time.Second)
	owner.endpoint.Freeze()
	time.Sleep(time.Second)
	site.refreshWith(map[identity.NodeName]membership.Status{owner.node.Name: membership.Dead})
	if _, err := site.takeover(owner); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	owner.endpoint.Thaw()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	const stale = 1 << 40
	if open.addUnchecked(ctx, stale, site.variant.noLeaseCheck) == nil {
		load.acknowledge(stale)
	}
	time.Sleep(5 * time.Second)
	return errors.Join(site.settle(), load.check(), site.checkLog(0))
}

// dieAfterOutage lets the owner survive an outage, acknowledge records that are in
// the log but not at the replicas, and die as the next outage begins. Full states
// from the first outage must not be used in the second.
func dieAfterOutage(site *testSite) error {
	owners := site.watchOwners()
	load := site.load(0)
	site.log.SetDown(true)
	time.Sleep(10 * time.Second)
	site.log.SetDown(false)
	time.Sleep(5 * time.Second)
	owner := site.serving(0)
	site.isolate(owner)
	time.Sleep(time.Second)
	site.log.SetDown(true)
	owner.kill()
	time.Sleep(time.Second)
	site.refresh()
	time.Sleep(30 * time.Second)
	return errors.Join(site.settle(), load.check(), owners(), site.checkLog(0))
}

// fullStateIndex returns the last record of the full state that the replicas have.
func (s *ownedShard) fullStateIndex() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tail.After
}

// logRecoversForOwner partitions the owner from its peers in an outage that ends for it
// alone. It must not append records to the log that an interim owner may not have.
func logRecoversForOwner(site *testSite) error {
	owners := site.watchOwners()
	load := site.load(0)
	owner := site.serving(0)
	away := logservice.Faults{Down: true}
	for _, node := range site.all() {
		site.log.ViewFor(string(node.node.Name)).SetFaults(away)
	}
	time.Sleep(10 * time.Second)
	whole := owner.manager.slots[0].load().fullStateIndex()
	site.isolate(owner)
	site.log.ViewFor(string(owner.node.Name)).SetFaults(logservice.Faults{})
	time.Sleep(time.Second)
	site.refreshWith(map[identity.NodeName]membership.Status{owner.node.Name: membership.Dead})
	_, err := site.takeover(owner)
	time.Sleep(20 * time.Second)
	ledger := NewStreamState(0, 0)
	for _, raw := range site.log.Records(StreamName(0)) {
		ledger.Apply(raw)
	}
	if ledger.Index() > whole {
		err = errors.Join(err, fmt.Errorf("the log holds record %d, the whole state at the replicas ends at %d", ledger.Index(), whole))
	}
	for _, node := range site.all() {
		site.log.ViewFor(string(node.node.Name)).SetFaults(logservice.Faults{})
	}
	return errors.Join(err, site.settle(), load.check(), owners(), site.checkLog(0))
}

// TestNoWholeStateNoOwner kills an owner before its replicas have a full state: the
// shard must not be served until the log is available.
func TestNoWholeStateNoOwner(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		load := site.load(0)
		time.Sleep(time.Second)
		site.log.SetDown(true)
		time.Sleep(100 * time.Millisecond)
		site.serving(0).kill()
		site.refresh()
		time.Sleep(5 * time.Minute)
		if site.serving(0) != nil {
			return errors.New("the shard is served without its state")
		}
		return errors.Join(site.settle(), load.check(), site.checkLog(0))
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestInterimTakeoverOnSmallSites kills the owner during an outage on sites where it
// is also a replica: two of three nodes may continue, one of two may not.
func TestInterimTakeoverOnSmallSites(t *testing.T) {
	t.Parallel()
	for nodes, served := range map[int]bool{3: true, 2: false} {
		err := scenario(t, variant{}, nodes, func(site *testSite) error {
			owners := site.watchOwners()
			load := site.load(0)
			site.log.SetDown(true)
			time.Sleep(10 * time.Second)
			owner := site.serving(0)
			owner.kill()
			site.refresh()
			time.Sleep(interimBound)
			if (site.serving(0) != nil) != served {
				return fmt.Errorf("served: %v, want %v", !served, served)
			}
			site.start(number(owner.node.Name))
			time.Sleep(10 * time.Second)
			return errors.Join(site.settle(), load.check(), owners(), site.checkLog(0))
		})
		if err != nil {
			t.Errorf("%d nodes: %v", nodes, err)
		}
	}
}

// TestReplicaKeepsInterimPromises sends random messages of an owner and of interim
// owners, some late or duplicated. After a term is promised, lower terms must be
// rejected, and no term may be promised from a revoked state.
func TestReplicaKeepsInterimPromises(t *testing.T) {
	owner := identity.Reference{Name: "n0", Incarnation: 1}
	terms := LeaseTerms{Duration: time.Second, Drift: time.Second / 10}
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		var replica Replica
		var promised, confirmed uint64
		var claimant identity.Reference
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			number := rapid.Uint64Range(1, 9).Draw(rt, "number")
			rival := identity.Reference{Name: rapid.SampledFrom([]identity.NodeName{"n1", "n2"}).Draw(rt, "rival"), Incarnation: 1}
			term := rapid.Uint64Range(1, 4).Draw(rt, "term")
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				answer := replica.Append(Write{
					Epoch: 1, TailFrom: 1, Owner: owner, Full: true, Authorization: number, Claim: Claim{Epoch: 1},
					Tail: Tail{After: number, Compacted: true, State: []byte{byte(number)}},
				})
				is.Equal(answer.Status == Fenced, promised > 0)
			case 1:
				refusal := replica.Renew(time.Time{}, owner, Renewal{Epoch: 1, RevokedThrough: number}, terms)
				is.Equal(refusal == Fenced, promised > 0)
				if refusal == Granted {
					confirmed = max(confirmed, number)
				}
			case 2:
				refusal := replica.Renew(time.Time{}, rival, Renewal{Epoch: 1, Term: term}, terms)
				if term < promised || (promised == term && rival != claimant) {
					is.Equal(refusal, Fenced)
				}
				if refusal == Granted {
					promised, claimant = term, rival
				}
			case 3:
				armed := replica.authorization
				answer := replica.PromiseInterim(time.Time{}, 1, term, rival)
				if answer.Status != Granted {
					continue
				}
				is.True(armed > confirmed)
				is.True(term > promised || (term == promised && rival == claimant))
				promised, claimant = term, rival
			}
		}
	})
}

// TestAuthorizationRevokedAfterOutage checks that replicas of an idle shard have an
// authorized full state during an outage and none after it.
func TestAuthorizationRevokedAfterOutage(t *testing.T) {
	t.Parallel()
	err := scenario(t, variant{}, 6, func(site *testSite) error {
		if err := site.serving(0).host.open(0).add(context.Background(), 1, false); err != nil {
			return err
		}
		time.Sleep(time.Second)
		armed := func() (count int) {
			for _, node := range site.all() {
				slot := &node.manager.replicas[0]
				slot.mutex.Lock()
				if slot.replica.authorizesInterim() {
					count++
				}
				slot.mutex.Unlock()
			}
			return count
		}
		owner := site.serving(0)
		site.log.SetDown(true)
		time.Sleep(10 * time.Second)
		during := armed()
		site.log.SetDown(false)
		time.Sleep(5 * time.Second)
		if after := armed(); during != 3 || after != 0 || site.serving(0) != owner {
			return fmt.Errorf("%d whole states in the outage and %d after it", during, after)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
