package limits

import (
	"errors"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
)

// A lessor that has just started does not know who leases its share. It must not hide the
// allocator that another lessor names, which can hand over or be asked instead.
func TestStartedLessorDoesNotHideAllocator(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	service := newService("a", unreachablePeers{}, func() time.Duration { return now })
	service.SetView(membership.View{Members: []membership.Member{{Node: identity.Node{Name: "b", Incarnation: 1}, Status: membership.Alive}}})
	present := quota.Lessee{Node: identity.Reference{Name: "b", Incarnation: 1}, ID: 7}
	p := quota.PartitionOf(siteTenant.Name)
	apply := func(lessee quota.Lessee) {
		service.applyLeasesLocked("c", quota.LeaseRequest{}, quota.LeaseResponse{Conflicts: []quota.Conflict{{
			Partitions: quota.PartitionSet(0).With(p), Lessee: lessee, Remaining: quota.LeaseTTL,
		}}}, now, now)
	}
	apply(present)
	apply(quota.Lessee{})
	var redirected *redirectError
	is.True(errors.As(service.heldElsewhere(p), &redirected))
	is.Equal(redirected.allocator.Name, identity.NodeName("b"))
}

// A process whose replacement of the same name is a member must get no further leases. It
// would keep its tenants from the others, which cannot reach it under its name.
func TestReplacedAllocatorGetsNoFurtherLeases(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	service := newService("a", unreachablePeers{}, func() time.Duration { return now })
	now = quota.LeaseTTL // the lessor has waited for leases of its predecessor
	granted := func(incarnation identity.Incarnation) quota.PartitionSet {
		response, err := service.handleLeaseRequest(t.Context(), &leaseRequest{Request: quota.LeaseRequest{
			Lessee: quota.Lessee{Node: identity.Reference{Name: "c", Incarnation: incarnation}, ID: quota.AllocatorID(incarnation)}, Wanted: 1,
		}}, nil)
		is.NoErr(err)
		return response.(*leaseResponse).Response.Granted
	}
	is.Equal(granted(1), quota.PartitionSet(1))
	service.SetView(membership.View{Members: []membership.Member{{Node: identity.Node{Name: "c", Incarnation: 2}, Status: membership.Alive}}})
	is.Equal(granted(1), quota.PartitionSet(0))
	now += quota.LeaseTTL
	is.Equal(granted(2), quota.PartitionSet(1))
}

// After its machine was suspended, a node must find its own leases ended, but must not give
// its share to another allocator before the lease of the first one ends there.
func TestSuspendedNodeEndsItsLeasesAndKeepsThoseItGave(t *testing.T) {
	is := is.New(t)
	monotonic, suspended := time.Duration(0), time.Duration(0)
	service := New(Config{
		Self: "a", Incarnation: 1, Policy: sitePolicy, Strategy: StrategyAllocator, Peers: unreachablePeers{}, Shares: fixedShare(1),
		Now: func() time.Duration { return monotonic + suspended }, LessorNow: func() time.Duration { return monotonic }, Logger: slog.New(slog.DiscardHandler),
	})
	service.SetLimits(limitOfSite, func() bool { return true })
	monotonic = quota.LeaseTTL
	service.leaseOwnShare(1, nil)
	is.Equal(service.fraction(0), 1.0)
	request := func(lessee identity.NodeName, id quota.AllocatorID) quota.PartitionSet {
		response, err := service.handleLeaseRequest(t.Context(), &leaseRequest{Request: quota.LeaseRequest{
			Lessee: quota.Lessee{Node: identity.Reference{Name: lessee, Incarnation: 1}, ID: id}, Wanted: 2,
		}}, nil)
		is.NoErr(err)
		return response.(*leaseResponse).Response.Granted
	}
	is.Equal(request("b", 7), quota.PartitionSet(2))
	suspended = time.Minute
	monotonic += quota.LeaseTTL - time.Millisecond
	is.Equal(service.fraction(0), 0.0)
	is.Equal(request("c", 8), quota.PartitionSet(0))
	monotonic += time.Millisecond
	is.Equal(request("c", 8), quota.PartitionSet(2))
}

// Lessors become free before the end of the leases that they have named. A node must ask them
// again soon instead of rejecting requests until then.
func TestLessorsAreAskedAgainSoonAfterConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		startedAt, free := time.Now(), false
		peers := &answeringPeer{}
		service := newService("a", peers, func() time.Duration { return time.Since(startedAt) })
		other := quota.Lessee{Node: identity.Reference{Name: "gone", Incarnation: 1}, ID: 7}
		peers.onCall = func(request peer.Message) peer.Message {
			wanted := request.(*leaseRequest).Request.Wanted
			if free {
				return &leaseResponse{Response: quota.LeaseResponse{Granted: wanted, Share: 0.5}}
			}
			return &leaseResponse{Response: quota.LeaseResponse{Conflicts: []quota.Conflict{{Partitions: wanted, Lessee: other, Remaining: quota.LeaseTTL}}}}
		}
		message := &tokenRequest{Tenant: siteTenant.Name}
		_, err := service.grant(t.Context(), message)
		var unleased *unleasedError
		is.True(errors.As(err, &unleased))
		free = true
		time.Sleep(conflictTTL)
		_, err = service.grant(t.Context(), message)
		is.NoErr(err)
		synctest.Wait()
	})
}

// Requests must not wait for an allocator that cannot grant: callers learn within 0.1 s that
// they are rejected, whatever the allocators are doing.
func TestRequestsThatNoAllocatorCanGrantAreRejectedAtOnce(t *testing.T) {
	const maximum = 100 * time.Millisecond
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var waited []time.Duration
			for seed := range uint64(6) {
				sim, _ := simulate(t, seed, 45*time.Second, constantDemand(aboveLimit), fault)
				waited = append(waited, sim.rejectedAfter...)
			}
			slices.Sort(waited)
			if count := len(waited); count > 0 && waited[count*99/100] > maximum {
				t.Errorf("the 99th percentile of %d rejections took %s", count, waited[count*99/100])
			}
		})
	}
}
