package limits

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/routing"
	"stepseam.example/stepseam/internal/shares"
	"stepseam.example/stepseam/internal/wire"
)

const (
	belowLimit = 25.0  // requests per second, below the tenant's limit of 40
	aboveLimit = 190.0 // far above it
)

// constantDemand returns a constant rate.
func constantDemand(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// overloadFrom returns a rate that rises far above the limit at a given time.
func overloadFrom(overloadAt time.Duration, previous float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < overloadAt {
			return previous
		}
		return aboveLimit
	}
}

// checkWindows fails the test if more requests than allowed were served in a window.
func checkWindows(t *testing.T, sim *site, worst int) {
	t.Helper()
	if allowed := sitePolicy.Allowed(LimitOf(siteTenant)); float64(worst) > allowed {
		t.Fatalf("%d requests served in a window, %.0f allowed\n%s", worst, allowed, sim.trace())
	}
}

// simulate runs a site of eight nodes under a given demand while faults are injected.
func simulate(t *testing.T, seed uint64, span time.Duration, rate func(time.Duration) float64, fault func(ctx context.Context, s *site)) (*site, int) {
	return simulateNodes(t, seed, 8, span, rate, fault)
}

func simulateNodes(t *testing.T, seed uint64, count int, span time.Duration, rate func(time.Duration) float64, fault func(ctx context.Context, s *site)) (*site, int) {
	var sim *site
	worst := 0
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		sim = newSite(ctx, seed, count)
		sim.updateViews()
		time.Sleep(6 * time.Second)
		go sim.generateLoad(ctx, rate)
		if fault != nil {
			fault(ctx, sim)
		}
		<-ctx.Done()
		time.Sleep(5 * time.Second)
		worst = sim.worst()
	})
	return sim, worst
}

func TestDemandBelowLimitIsServed(t *testing.T) {
	is := is.New(t)
	sim, _ := simulate(t, 1, 30*time.Second, constantDemand(belowLimit), nil)
	is.Equal(sim.refused, 0)
}

func TestDemandAboveLimitUsesWholeLimit(t *testing.T) {
	is := is.New(t)
	sim, worst := simulate(t, 1, 36*time.Second, constantDemand(aboveLimit), nil)
	is.True(float64(worst) <= sitePolicy.Allowed(LimitOf(siteTenant)))
	is.True(float64(len(sim.served)) >= 0.97*30*siteTenant.RatePerSecond)
}

// pause sleeps for a random time between the given bounds.
func (s *site) pause(minimum, maximum time.Duration) {
	s.mutex.Lock()
	duration := minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)))
	s.mutex.Unlock()
	time.Sleep(duration)
}

// randomNode returns the number of a random node.
func (s *site) randomNode() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(len(s.nodes))
}

// faults are schedules of faults. Nodes learn of an unresponsive, paused or partitioned
// node after 1 to 3 s, and of a started one within half a second.
var faults = map[string]func(ctx context.Context, s *site){
	"planned roll": func(ctx context.Context, s *site) {
		for number := range s.nodes {
			s.mutex.Lock()
			s.nodes[number].leaving = true
			s.mutex.Unlock()
			s.pause(50*time.Millisecond, 300*time.Millisecond)
			s.updateViews()
			s.pause(500*time.Millisecond, time.Second)
			s.nodes[number].service.Close(ctx)
			s.nodes[number].end()
			s.set(number, killed)
			s.updateViews()
			s.pause(200*time.Millisecond, 500*time.Millisecond)
			s.start(ctx, number)
			s.pause(50*time.Millisecond, 300*time.Millisecond)
			s.updateViews()
		}
	},
	"overlapping roll": func(ctx context.Context, s *site) {
		var restarts sync.WaitGroup
		for number := range s.nodes {
			restarts.Go(func() {
				s.setLeaving([]int{number})
				s.noticeStart([]int{number})
				s.pause(2500*time.Millisecond, 3*time.Second)
				s.nodes[number].service.Close(ctx)
				s.stop([]int{number}, killed)
				s.noticeStart([]int{number})
				s.pause(100*time.Millisecond, 300*time.Millisecond)
				s.restart(ctx, []int{number})
			})
			s.pause(0, 400*time.Millisecond)
		}
		restarts.Wait()
	},
	"kills": func(ctx context.Context, s *site) {
		for range 4 {
			number := s.randomNode()
			s.nodes[number].end()
			s.set(number, killed)
			s.pause(time.Second, 3*time.Second)
			s.updateViews()
			s.pause(time.Second, 2*time.Second)
			s.start(ctx, number)
			s.pause(50*time.Millisecond, 500*time.Millisecond)
			s.updateViews()
			s.pause(time.Second, 4*time.Second)
		}
	},
	"freezes": func(_ context.Context, s *site) {
		for range 3 {
			number := s.randomNode()
			s.set(number, paused)
			s.pause(time.Second, 3*time.Second)
			s.updateViews()
			s.pause(time.Second, 5*time.Second)
			s.set(number, running)
			s.pause(50*time.Millisecond, 500*time.Millisecond)
			s.updateViews()
			s.pause(time.Second, 4*time.Second)
		}
	},
	"herd killed": func(ctx context.Context, s *site) {
		for number := range s.nodes[1:] {
			s.nodes[number].end()
			s.set(number, killed)
		}
		s.pause(time.Second, 2*time.Second)
		for number := range s.nodes[1:] {
			s.start(ctx, number)
		}
		s.pause(50*time.Millisecond, 500*time.Millisecond)
		s.updateViews()
	},
	"herd dark": func(ctx context.Context, s *site) {
		for number := range s.nodes[2:] {
			s.set(number, paused)
		}
		s.pause(time.Second, 3*time.Second)
		s.updateViews()
		s.pause(time.Second, 2*time.Second)
		for number := range s.nodes[2:] {
			s.start(ctx, number)
		}
		s.pause(50*time.Millisecond, 500*time.Millisecond)
		s.updateViews()
	},
	"split once known": func(_ context.Context, s *site) {
		s.split(3)
		s.updateViews()
		s.pause(3*time.Second, 12*time.Second)
		s.split(0)
		s.pause(50*time.Millisecond, 500*time.Millisecond)
		s.updateViews()
	},
}

// split moves the first nodes to a partition of their own.
func (s *site) split(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for number, n := range s.nodes {
		n.side = 0
		if number < count {
			n.side = 1
		}
	}
}

// The bound must hold for every fault schedule at nearly five times the limit.
func TestWindowBoundHoldsUnderFaults(t *testing.T) {
	for name, fault := range faults {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				sim, worst := simulate(t, seed, 45*time.Second, constantDemand(aboveLimit), fault)
				checkWindows(t, sim, worst)
			})
		}
	}
}

// A paused allocator is replaced and then resumes, just as the demand rises above the
// limit. It must not grant the tokens that accrued during its pause, since its replacement
// has granted them.
func TestResumedAllocatorGrantsNothingTwice(t *testing.T) {
	const pausedAt, noticedAt, overloadAt, resumedAt = 9 * time.Second, 11 * time.Second, 14 * time.Second, 15 * time.Second
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rate := overloadFrom(overloadAt, belowLimit/2)
			sim, worst := simulate(t, seed, 30*time.Second, rate, func(_ context.Context, s *site) {
				s.pauseAllocator(pausedAt, noticedAt, resumedAt)
				s.pause(50*time.Millisecond, 500*time.Millisecond)
				s.updateViews()
			})
			checkWindows(t, sim, worst)
		})
	}
}

// The first thing that a resumed allocator handles is a token request. It must not grant
// under the leases from before its pause, nor the tokens that accrued during it.
func TestResumedAllocatorGrantsNothingFromBeforeItsPause(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	service := newService("a", unreachablePeers{}, func() time.Duration { return now })
	for ; now < sitePolicy.Span(); now += renewInterval {
		service.leaseOwnShare(quota.AllPartitions, nil)
	}
	request := &tokenRequest{Tenant: siteTenant.Name, Request: quota.Request{Needed: quota.Amount{Requests: 999}}}
	response, err := service.grant(t.Context(), request)
	is.NoErr(err)
	is.True(response.Grant.Amount.Requests > 0)
	is.True(float64(response.Grant.Amount.Requests) <= sitePolicy.Capacity(LimitOf(siteTenant))/2)
	now += 10 * time.Second
	response, err = service.grant(t.Context(), request)
	is.NoErr(err)
	is.Equal(response.Grant.Amount.Requests, 0)
}

// newService returns a service of node a, which shares the limits with another node.
func newService(allocatorPrefix string, peers peer.Client, now func() time.Duration) *Service {
	view := twoNodeView(allocatorPrefix)
	service := New(Config{
		Self: "a", Incarnation: 1, Policy: sitePolicy, Strategy: StrategyAllocator, Peers: peers, Shares: fixedShare(0.5), Now: now,
		Logger: slog.New(slog.DiscardHandler),
	})
	service.SetLimits(limitOfSite, func() bool { return true })
	service.SetView(view)
	service.SetHolders([]shares.Holder{shares.HolderOf(view.Members[0].Node), shares.HolderOf(view.Members[1].Node)})
	return service
}

// unreachablePeers fails all calls.
type unreachablePeers struct{}

// Call implements peer.Client.
func (unreachablePeers) Call(context.Context, netip.AddrPort, peer.Message, func(peer.Message) error) (peer.Message, error) {
	return nil, peer.ErrUnreachable
}

// An allocator hands over its leases while their renewal is in flight. The response, which
// arrives afterwards, must not let it grant beside its successor.
func TestAllocatorGrantsNothingAfterHandover(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	peers := &answeringPeer{}
	service := newService("b", peers, func() time.Duration { return now })
	now = 2 * quota.LeaseTTL
	p := quota.PartitionOf(siteTenant.Name)
	service.standIn(p)
	service.leaseOwnShare(quota.AllPartitions, nil)
	is.True(service.fraction(p) > 0)
	peers.onCall = func(request peer.Message) peer.Message {
		message, ok := request.(*leaseRequest)
		is.True(ok)
		handover, err := service.handleHandoverRequest(t.Context(), &handoverRequest{Node: "b", Partitions: quota.AllPartitions}, nil)
		is.NoErr(err)
		is.True(handover.(*handoverResponse).Cession.Partitions.Has(p))
		return &leaseResponse{Response: quota.LeaseResponse{Granted: message.Request.Wanted, Share: 0.5}}
	}
	service.lease(t.Context(), identity.Node{Name: "b"}, quota.AllPartitions, nil)
	is.Equal(service.fraction(p), 0.0)
}

// An allocator must not hand over to a node that ranks lower, which may only have lost
// sight of it.
func TestAllocatorKeepsLeasesFromLowerRankedNode(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	service := newService("a", unreachablePeers{}, func() time.Duration { return now })
	now = 2 * quota.LeaseTTL
	p := quota.PartitionOf(siteTenant.Name)
	service.leaseOwnShare(quota.AllPartitions, nil)
	other := twoNodeView("a").Members[1].Node.Name
	response, err := service.handleHandoverRequest(t.Context(), &handoverRequest{Node: other, Partitions: quota.PartitionSet(0).With(p)}, nil)
	is.NoErr(err)
	is.Equal(response.(*handoverResponse).Cession.Partitions, quota.PartitionSet(0))
	is.True(service.fraction(p) > 0)
}

// twoNodeView returns a view of node a and another one. The allocator of the tenant is the
// one whose name has the given prefix.
func twoNodeView(prefix string) membership.View {
	for number := 0; ; number++ {
		view := membership.View{Members: []membership.Member{
			{Node: identity.Node{Name: "a", Incarnation: 1}, Status: membership.Alive},
			{Node: identity.Node{Name: identity.NodeName(fmt.Sprint("b", number)), Incarnation: 1}, Status: membership.Alive},
		}}
		p := newPlacement("a")
		p.setView(view)
		if first, _, _ := p.allocator(quota.PartitionOf(siteTenant.Name), 0); strings.HasPrefix(string(first.Name), prefix) {
			return view
		}
	}
}

// answeringPeer answers calls with a function.
type answeringPeer struct {
	onCall func(request peer.Message) peer.Message
}

// Call implements peer.Client.
func (n *answeringPeer) Call(_ context.Context, _ netip.AddrPort, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	return n.onCall(request), nil
}

// The allocator does not respond. The next node in rank is asked in its place, without the
// returned tokens, which the first one may have received; without any response the caller
// learns when to retry.
func TestNextNodeIsAskedInPlaceOfUnresponsiveAllocator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		startedAt := time.Now()
		peers := &slowPeers{}
		service := newService("a", peers, func() time.Duration { return time.Since(startedAt) })
		service.SetView(membership.View{Members: []membership.Member{
			{Node: identity.Node{Name: "b", Incarnation: 1}, Status: membership.Alive}, {Node: identity.Node{Name: "c", Incarnation: 1}, Status: membership.Alive},
		}})
		service.SetHolders([]shares.Holder{"b", "c"})
		response, err := service.requestTokens(t.Context(), &tokenRequest{Tenant: siteTenant.Name, Request: quota.Request{Returned: quota.Amount{Requests: 3}}})
		is.NoErr(err)
		is.Equal(response.Grant.Amount.Requests, 1)
		is.Equal(peers.requests.Load(), int32(2))
		is.Equal(peers.bypassing.Load(), int32(1))
		is.Equal(peers.returnedTokens.Load(), int32(3)) // returned tokens are sent only once

		service = newService("a", unreachablePeers{}, func() time.Duration { return time.Since(startedAt) })
		service.SetView(membership.View{Members: []membership.Member{{Node: identity.Node{Name: "b", Incarnation: 1}, Status: membership.Alive}}})
		_, err = service.Admit(t.Context(), siteTenant)
		var unavailable *UnavailableError
		is.True(errors.As(err, &unavailable) && errors.Is(err, ErrNoAllocator))
		is.True(unavailable.RetryAfter > 0)
		asked := time.Now()
		_, err = service.Admit(t.Context(), siteTenant)
		is.True(errors.As(err, &unavailable))
		is.Equal(time.Since(asked), time.Duration(0)) // rejected at once until then
		time.Sleep(requestTimeout)                    // the token request ends
		synctest.Wait()
	})
}

// The only other node does not respond once. It must be asked again, since no other one can
// take its place.
func TestOnlyAllocatorIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		startedAt := time.Now()
		peers := &slowPeers{}
		service := newService("a", peers, func() time.Duration { return time.Since(startedAt) })
		service.SetView(membership.View{Members: []membership.Member{{Node: identity.Node{Name: "b", Incarnation: 1}, Status: membership.Alive}}})
		service.SetHolders([]shares.Holder{"b"})
		response, err := service.requestTokens(t.Context(), &tokenRequest{Tenant: siteTenant.Name, Request: quota.Request{Returned: quota.Amount{Requests: 3}}})
		is.NoErr(err)
		is.Equal(response.Grant.Amount.Requests, 1)
		is.Equal(peers.requests.Load(), int32(2))
		is.Equal(peers.returnedTokens.Load(), int32(3)) // returned tokens are sent only once
		synctest.Wait()
	})
}

// Another allocator has leased the limit and does not respond. Requests are rejected with the
// time at which its leases end, and at once until then.
func TestRejectionNamesEndOfOtherLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const remaining = 400 * time.Millisecond
		startedAt := time.Now()
		peers := &answeringPeer{}
		service := newService("a", peers, func() time.Duration { return time.Since(startedAt) })
		other := quota.Lessee{Node: identity.Reference{Name: "gone", Incarnation: 1}, ID: 7}
		peers.onCall = func(request peer.Message) peer.Message {
			message, ok := request.(*leaseRequest)
			is.True(ok)
			return &leaseResponse{Response: quota.LeaseResponse{Conflicts: []quota.Conflict{{Partitions: message.Request.Wanted, Lessee: other, Remaining: remaining}}}}
		}
		for range 2 {
			asked := time.Now()
			_, err := service.Admit(t.Context(), siteTenant)
			var unavailable *UnavailableError
			is.True(errors.As(err, &unavailable))
			is.Equal(unavailable.RetryAfter, remaining)
			is.Equal(time.Since(asked), time.Duration(0))
		}
		synctest.Wait()
	})
}

// slowPeers does not respond to the first request.
type slowPeers struct{ requests, bypassing, returnedTokens atomic.Int32 }

// Call implements peer.Client.
func (l *slowPeers) Call(ctx context.Context, _ netip.AddrPort, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	number := l.requests.Add(1)
	if message, ok := request.(*tokenRequest); ok {
		l.returnedTokens.Add(int32(message.Request.Returned.Requests))
		if message.Bypass {
			l.bypassing.Add(1)
		}
	}
	if number == 1 {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, ctx.Err())
	}
	return &tokenResponse{AllocatorID: 1, Grant: quota.Grant{Amount: quota.Amount{Requests: 1}}}, nil
}

// A paused allocator resumes. Its replacement grants until it learns of that, and so
// reopens the account that it has handed over. The reopened account must not have accrued
// tokens when the resumed allocator fails or synchronizes again.
func TestReopenedAccountIsNotGrantedFrom(t *testing.T) {
	const pausedAt, noticedAt, resumedAt, overloadAt, changedAt = 9 * time.Second, 11 * time.Second, 15 * time.Second, 22 * time.Second, 23 * time.Second
	for name, change := range map[string]func(s *site, number int){
		"the allocator is killed": func(s *site, number int) {
			s.nodes[number].end()
			s.set(number, killed)
		},
		"another node reappears": func(s *site, number int) {
			other := (number + 1) % len(s.nodes)
			s.set(other, paused)
			s.updateViews()
			s.set(other, running)
		},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				rate := overloadFrom(overloadAt, belowLimit)
				sim, worst := simulate(t, seed, 32*time.Second, rate, func(_ context.Context, s *site) {
					number := s.pauseAllocator(pausedAt, noticedAt, resumedAt)
					time.Sleep(400 * time.Millisecond)
					s.updateViews()
					time.Sleep(changedAt - s.now())
					change(s, number)
					s.updateViews()
				})
				checkWindows(t, sim, worst)
			})
		}
	}
}

// pauseAllocator pauses the tenant's allocator, updates the views later and resumes it. It
// returns the node's number. All times are on the site's clock.
func (s *site) pauseAllocator(pausedAt, noticedAt, resumedAt time.Duration) int {
	time.Sleep(pausedAt - s.now())
	number := s.allocator()
	s.set(number, paused)
	time.Sleep(noticedAt - s.now())
	s.updateViews()
	time.Sleep(resumedAt - s.now())
	s.set(number, running)
	return number
}

// allocator returns the number of the tenant's allocator.
func (s *site) allocator() int {
	return slices.IndexFunc(s.nodes, func(n *simulatedNode) bool {
		return n.service.fraction(quota.PartitionOf(siteTenant.Name)) > 0.5
	})
}

// Few requests of a demand below the limit may be rejected during faults.
func TestDemandBelowLimitIsServedUnderFaults(t *testing.T) {
	for name, maximum := range map[string]float64{"planned roll": 0.01, "overlapping roll": 0.01, "kills": 0.02, "herd killed": 0.06, "freezes": 0.03} {
		t.Run(name, func(t *testing.T) {
			refused, total := 0, 0
			for seed := range uint64(6) {
				sim, _ := simulate(t, seed, 45*time.Second, constantDemand(belowLimit), faults[name])
				refused += sim.refused
				total += len(sim.served) + sim.refused
			}
			rejectedRatio := float64(refused) / float64(total)
			t.Logf("%.4f of the requests were rejected", rejectedRatio)
			if rejectedRatio > maximum {
				t.Errorf("%.4f of the requests were rejected, %.4f are allowed", rejectedRatio, maximum)
			}
		})
	}
}

// Verifies that the simulation detects a handover that loses the account.
func TestSimulationDetectsLostAccount(t *testing.T) {
	for seed := range uint64(6) {
		_, worst := simulate(t, seed, 45*time.Second, constantDemand(aboveLimit), func(ctx context.Context, s *site) {
			s.handoverFault = true
			faults["planned roll"](ctx, s)
		})
		if float64(worst) > sitePolicy.Allowed(LimitOf(siteTenant)) {
			return
		}
	}
	t.Fatal("no fault schedule exceeded the limit")
}

// A partition that no node notices must not let either side exceed the limit.
func TestUndetectedPartitionStaysWithinLimit(t *testing.T) {
	for seed := range uint64(6) {
		sim, worst := simulate(t, seed, 45*time.Second, constantDemand(aboveLimit), func(_ context.Context, s *site) {
			s.split(3)
			time.Sleep(25 * time.Second)
			s.updateViews()
		})
		checkWindows(t, sim, worst)
	}
}

func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	lessee := quota.Lessee{Node: identity.Reference{Name: "n", Incarnation: 3}, Address: netip.MustParseAddrPort("10.0.0.1:7"), ID: 9}
	cession := quota.Cession{From: 4, UpTo: 5, Partitions: 6}
	for _, sent := range []peer.Message{
		&tokenRequest{Tenant: "acme", AllocatorID: 8, Bypass: true, Request: quota.Request{
			Needed: quota.Amount{Requests: 1, ProgramStarts: 2}, Wanted: quota.Amount{Requests: 3},
			Returned: quota.Amount{Requests: 5}, ReturnedSince: 60,
		}},
		&tokenResponse{Outcome: outcomeUnleased, Allocator: identity.Node{Name: "n", Incarnation: 3, PeerAddress: netip.MustParseAddrPort("10.0.0.1:7")}, RetryAfter: time.Second, AllocatorID: 9, Grant: quota.Grant{
			Amount: quota.Amount{Requests: 7}, Stamp: 70, RequestAfter: time.Second, ProgramStartAfter: 2 * time.Second,
		}},
		&handoverRequest{Node: "n", Partitions: 3},
		&handoverResponse{Cession: cession, Accounts: map[string]quota.Account{"acme": {Requests: 1.5, ProgramStarts: 2, PerProgram: 7}}},
		&leaseRequest{Request: quota.LeaseRequest{Lessee: lessee, Sequence: 7, Wanted: 3, Held: 1, Ceded: []quota.Cession{cession}}},
		&leaseResponse{Response: quota.LeaseResponse{Granted: 1, Share: 0.25, Conflicts: []quota.Conflict{{Partitions: 2, Lessee: lessee, Remaining: time.Second}}}},
	} {
		encoder := wire.NewEncoder(nil)
		sent.Encode(encoder)
		read := map[peer.Kind]peer.Message{
			kindTokenRequest: &tokenRequest{}, kindTokenResponse: &tokenResponse{}, kindHandoverRequest: &handoverRequest{},
			kindHandoverResponse: &handoverResponse{}, kindLeaseRequest: &leaseRequest{}, kindLeaseResponse: &leaseResponse{},
		}[sent.Kind()]
		decoder := wire.NewDecoder(encoder.Bytes())
		read.Decode(decoder)
		is.NoErr(decoder.Finish())
		is.Equal(read, sent)
	}
}

func TestUnresponsiveAllocatorIsPassedOver(t *testing.T) {
	is := is.New(t)
	p := newPlacement("a")
	view := twoNodeView("b")
	p.setView(view)
	p.setHolders([]shares.Holder{"a", shares.HolderOf(view.Members[1].Node), "elsewhere"})
	partition := quota.PartitionOf(siteTenant.Name)
	first, bypassed, found := p.allocator(partition, 0)
	is.True(found && !bypassed)
	p.recordFailure(first, 0)
	next, bypassed, found := p.allocator(partition, 0)
	is.True(found && bypassed)
	is.Equal(next.Name, identity.NodeName("a"))
	is.True(!p.ranksFirst(partition)) // it only stands in
	p.recordResponse(first)
	next, bypassed, _ = p.allocator(partition, 0)
	is.True(!bypassed)
	is.Equal(next, first)
	p.recordFailure(first, 0)
	next, _, _ = p.allocator(partition, failureTTL)
	is.Equal(next, first)
	p.setHolders([]shares.Holder{"a"})
	is.True(p.ranksFirst(partition)) // the other node holds no share
}

// Decoding arbitrary bytes must not panic, and decoded values must stay within their
// bounds.
func FuzzMessages(f *testing.F) {
	for _, sent := range []peer.Message{
		&tokenRequest{Tenant: "acme", Request: quota.Request{Needed: quota.Amount{Requests: 1}}},
		&tokenResponse{Allocator: identity.Node{Name: "n", PeerAddress: netip.MustParseAddrPort("10.0.0.1:7")}},
		&handoverRequest{Node: "n", Partitions: 5}, &handoverResponse{Accounts: map[string]quota.Account{"acme": {Requests: 3}}},
		&leaseRequest{Request: quota.LeaseRequest{Wanted: 3, Ceded: []quota.Cession{{From: 1}}}},
		&leaseResponse{Response: quota.LeaseResponse{Share: 0.5, Conflicts: []quota.Conflict{{Remaining: time.Second}}}},
	} {
		encoder := wire.NewEncoder(nil)
		sent.Encode(encoder)
		f.Add(encoder.Bytes())
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		request, response, handover, leased := &tokenRequest{}, &tokenResponse{}, &handoverResponse{}, &leaseResponse{}
		for _, message := range []peer.Message{request, response, &handoverRequest{}, handover, &leaseRequest{}, leased} {
			message.Decode(wire.NewDecoder(encoded))
		}
		for _, amount := range []quota.Amount{request.Request.Needed, request.Request.Wanted, request.Request.Returned, response.Grant.Amount} {
			if amount.Requests < 0 || amount.Requests > maxAmount || amount.ProgramStarts < 0 || amount.ProgramStarts > maxAmount {
				t.Fatalf("amount out of bounds: %+v", amount)
			}
		}
		if after := response.Grant.RequestAfter; after < 0 || after > maxDelay {
			t.Fatal(after)
		}
		for _, account := range handover.Accounts {
			if !(account.Requests <= maxAmount && account.Requests >= -maxAmount) {
				t.Fatal(account.Requests)
			}
		}
		if share := leased.Response.Share; !(share >= 0 && share <= 1) {
			t.Fatal(share)
		}
	})
}

// BenchmarkAdmit measures a request for which the node has a token.
func BenchmarkAdmit(b *testing.B) {
	now := time.Duration(0)
	tenant := &routing.Tenant{Name: "acme", RatePerSecond: 1 << 20, Burst: 1 << 20}
	service := New(Config{Self: "a", Policy: sitePolicy, Strategy: StrategyAllocator, Now: func() time.Duration { return now }, Logger: slog.New(slog.DiscardHandler)})
	service.SetLimits(func(string) (quota.Limit, bool) { return LimitOf(tenant), true }, func() bool { return true })
	tokens := service.tenantTokens("acme")
	tokens.cache.ApplyGrant(1, quota.Request{}, quota.Grant{Amount: quota.Amount{Requests: 1 << 30, ProgramStarts: 1 << 30}}, 0, 0)
	b.ReportAllocs()
	for b.Loop() {
		permit, err := service.Admit(b.Context(), tenant)
		if err != nil || permit.tenantTokens == nil {
			b.Fatal(err)
		}
	}
}

// A tenant far below its limit, with unused tokens at many nodes, turns to far above it. The
// tokens that these nodes return late must not add to those that have accrued meanwhile.
func TestRiseOfDemandAtManyNodesStaysWithinLimit(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim, worst := simulateNodes(t, seed, 69, 30*time.Second, overloadFrom(14*time.Second, belowLimit), nil)
			checkWindows(t, sim, worst)
		})
	}
}
