package limits

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
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

// simulate runs a site under a given demand while faults are injected.
func simulate(t *testing.T, seed uint64, span time.Duration, rate func(time.Duration) float64, fault func(ctx context.Context, s *site)) (*site, int) {
	var sim *site
	worst := 0
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		sim = newSite(ctx, seed, 8)
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
			s.nodes[number].end()
			s.set(number, killed)
			s.updateViews()
			s.pause(200*time.Millisecond, 500*time.Millisecond)
			s.start(ctx, number)
			s.pause(50*time.Millisecond, 300*time.Millisecond)
			s.updateViews()
		}
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
			s.nodes[number].service.simulatePause(5 * time.Second)
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
// the tokens that accrued during its pause.
func TestResumedAllocatorSynchronizesBeforeGranting(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	service := New(Config{
		Self: "a", Policy: sitePolicy, Strategy: StrategyAllocator, Peers: unreachablePeers{}, Now: func() time.Duration { return now }, Logger: slog.New(slog.DiscardHandler),
	})
	service.SetLimits(func(string) (quota.Limit, bool) { return LimitOf(siteTenant), true })
	service.SetView(twoNodeView("a"))
	for ; now < sitePolicy.Span()+time.Second; now += sweepInterval {
		service.tick(now)
	}
	request := &tokenRequest{Tenant: siteTenant.Name, Request: quota.Request{Needed: quota.Amount{Requests: 999}}}
	for _, maximum := range []float64{sitePolicy.Capacity(LimitOf(siteTenant)), sitePolicy.Reserve(LimitOf(siteTenant))} {
		response, err := service.grant(t.Context(), request)
		is.NoErr(err)
		is.True(response.Grant.Amount.Requests > 0)
		is.True(float64(response.Grant.Amount.Requests) <= maximum)
		now += pauseThreshold + time.Second
	}
}

// unreachablePeers fails all calls.
type unreachablePeers struct{}

// Call implements peer.Client.
func (unreachablePeers) Call(context.Context, netip.AddrPort, peer.Message, func(peer.Message) error) (peer.Message, error) {
	return nil, peer.ErrUnreachable
}

// The members change while a new allocator requests the handover. It must not open an
// account in addition to that of the actual allocator.
func TestAllocatorReplacedDuringHandoverGrantsNothing(t *testing.T) {
	is := is.New(t)
	peers := &reconfiguringPeer{}
	service := New(Config{
		Self: "a", Policy: sitePolicy, Strategy: StrategyAllocator, Peers: peers, Now: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler),
	})
	service.SetLimits(func(string) (quota.Limit, bool) { return LimitOf(siteTenant), true })
	view := twoNodeView("b")
	leaving := view
	leaving.Members = slices.Clone(view.Members)
	leaving.Members[1].Status = membership.Leaving
	service.SetView(leaving)
	peers.onCall = func() { service.SetView(view) }
	_, err := service.grant(t.Context(), &tokenRequest{Tenant: siteTenant.Name, Request: quota.Request{Needed: quota.Amount{Requests: 1}}})
	var redirected *redirectError
	is.True(errors.As(err, &redirected))
	is.Equal(redirected.allocator.Name, view.Members[1].Node.Name)
	is.Equal(len(service.allocator.Left()), 0)
}

// twoNodeView returns a view of node a and another one. The allocator of the tenant is the
// one whose name has the given prefix.
func twoNodeView(prefix string) membership.View {
	for number := 0; ; number++ {
		view := membership.View{Members: []membership.Member{
			{Node: identity.Node{Name: "a", Incarnation: 1}, Status: membership.Alive},
			{Node: identity.Node{Name: identity.NodeName(fmt.Sprint("b", number)), Incarnation: 1}, Status: membership.Alive},
		}}
		if first, _ := membership.Highest(siteTenant.Name, view.Members, membership.Member.Reachable); strings.HasPrefix(string(first.Name), prefix) {
			return view
		}
	}
}

// reconfiguringPeer becomes the allocator during a call.
type reconfiguringPeer struct{ onCall func() }

// Call implements peer.Client.
func (n *reconfiguringPeer) Call(context.Context, netip.AddrPort, peer.Message, func(peer.Message) error) (peer.Message, error) {
	n.onCall()
	return &handoverResponse{}, nil
}

// A node that has just started has no request rate to continue at, so it must retry.
func TestRecentlyStartedNodeRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		startedAt := time.Now()
		peers := &slowPeers{}
		service := New(Config{
			Self: "a", Policy: sitePolicy, Strategy: StrategyAllocator, Peers: peers, Now: func() time.Duration { return time.Since(startedAt) },
			Logger: slog.New(slog.DiscardHandler),
		})
		service.SetLimits(func(string) (quota.Limit, bool) { return LimitOf(siteTenant), true })
		service.SetView(membership.View{Members: []membership.Member{{Node: identity.Node{Name: "b"}, Status: membership.Alive}}})
		_, err := service.Admit(t.Context(), siteTenant)
		is.NoErr(err)
		is.Equal(peers.requests.Load(), int32(2))
		time.Sleep(unstablePeriod)
		peers.requests.Store(0)
		response, err := service.requestTokens(t.Context(), &tokenRequest{Tenant: siteTenant.Name, Request: quota.Request{Returned: quota.Amount{Requests: 3}}})
		is.True(response == nil && errors.Is(err, ErrNoAllocator)) // an older node goes on without the allocator
		is.Equal(peers.requests.Load(), int32(1))
		is.Equal(peers.returnedTokens.Load(), int32(3)) // returned tokens are sent only once
		is.Equal((&tokenRequest{Request: quota.Request{Returned: quota.Amount{Requests: 3}}}).withoutReturned().Request.Returned, quota.Amount{})
		synctest.Wait()
	})
}

// slowPeers does not respond to the first request.
type slowPeers struct{ requests, returnedTokens atomic.Int32 }

// Call implements peer.Client.
func (l *slowPeers) Call(ctx context.Context, _ netip.AddrPort, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	number := l.requests.Add(1)
	if message, ok := request.(*tokenRequest); ok {
		l.returnedTokens.Add(int32(message.Request.Returned.Requests))
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
			if allocator, _ := s.nodes[number].service.placement.previousAllocators(siteTenant.Name, s.now()), other; allocator[0].Name == s.nodes[other].node.Name {
				other = (number + 2) % len(s.nodes)
			}
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
	s.nodes[number].service.simulatePause(resumedAt - pausedAt)
	return number
}

// allocator returns the number of the tenant's allocator.
func (s *site) allocator() int {
	return slices.IndexFunc(s.nodes, func(n *simulatedNode) bool {
		_, self := n.service.allocatorOf(siteTenant.Name)
		return self
	})
}

// Few requests of a demand below the limit may be rejected during faults.
func TestDemandBelowLimitIsServedUnderFaults(t *testing.T) {
	for name, maximum := range map[string]float64{"planned roll": 0.01, "kills": 0.02, "herd killed": 0.06, "freezes": 0.03} {
		t.Run(name, func(t *testing.T) {
			refused, total := 0, 0
			for seed := range uint64(6) {
				sim, _ := simulate(t, seed, 45*time.Second, constantDemand(belowLimit), faults[name])
				refused += sim.refused
				total += len(sim.served) + sim.refused
			}
			if rejectedRatio := float64(refused) / float64(total); rejectedRatio > maximum {
				t.Fatalf("%.3f of the requests were rejected", rejectedRatio)
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

func TestUndetectedPartitionExceedsLimitWithinBound(t *testing.T) {
	const noticedAfter = 2 * time.Second
	for seed := range uint64(6) {
		_, worst := simulate(t, seed, 45*time.Second, constantDemand(aboveLimit), func(_ context.Context, s *site) {
			s.split(3)
			time.Sleep(noticedAfter)
			s.updateViews()
		})
		policy, limit := sitePolicy, LimitOf(siteTenant)
		bound := policy.Allowed(limit) + policy.Capacity(limit) + policy.Refill(limit)*noticedAfter.Seconds()
		if float64(worst) > bound {
			t.Fatalf("%d requests served in a window, the bound is %.0f", worst, bound)
		}
	}
}

func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, sent := range []peer.Message{
		&tokenRequest{Tenant: "acme", AllocatorID: 8, Request: quota.Request{
			Needed: quota.Amount{Requests: 1, ProgramStarts: 2}, Wanted: quota.Amount{Requests: 3}, Spent: quota.Amount{ProgramStarts: 4},
			Returned: quota.Amount{Requests: 5},
		}},
		&tokenResponse{Redirect: true, Allocator: identity.Node{Name: "n", Incarnation: 3, PeerAddress: netip.MustParseAddrPort("10.0.0.1:7")}, AllocatorID: 9, Grant: quota.Grant{
			Amount: quota.Amount{Requests: 7}, BelowLimit: true, RequestAfter: time.Second, ProgramStartAfter: 2 * time.Second,
		}},
		&handoverRequest{Tenant: "acme"},
		&handoverResponse{Found: true, Account: quota.Account{Requests: -1.5, ProgramStarts: 2, PerProgram: 7}},
	} {
		encoder := wire.NewEncoder(nil)
		sent.Encode(encoder)
		read := map[peer.Kind]peer.Message{kindTokenRequest: &tokenRequest{}, kindTokenResponse: &tokenResponse{}, kindHandoverRequest: &handoverRequest{}, kindHandoverResponse: &handoverResponse{}}[sent.Kind()]
		decoder := wire.NewDecoder(encoder.Bytes())
		read.Decode(decoder)
		is.NoErr(decoder.Finish())
		is.Equal(read, sent)
	}
}

func TestLostNodesStillCount(t *testing.T) {
	is := is.New(t)
	p := newPlacement("a")
	member := func(name identity.NodeName, status membership.Status) membership.Member {
		return membership.Member{Node: identity.Node{Name: name, Incarnation: 1}, Status: status}
	}
	members := []membership.Member{member("a", membership.Alive), member("b", membership.Alive), member("c", membership.Alive), member("d", membership.Leaving)}
	is.True(!p.setView(membership.View{Members: members}, 0))
	p.recordRefusal(members[2].Node, 0)
	is.True(!p.setView(membership.View{Members: members[:1]}, 100*time.Millisecond))
	alive, count := p.counts(200 * time.Millisecond)
	is.Equal(alive, 1)
	is.True(p.setView(membership.View{Members: members[:2]}, 100*time.Millisecond)) // b reappears
	is.True(!p.setView(membership.View{Members: members[:1]}, 100*time.Millisecond))
	is.Equal(count, 2) // b may be partitioned and alive; c's machine refuses connections, and d has left
	alive, count = p.counts(lostTTL + time.Second)
	is.Equal(alive, 1)
	is.Equal(count, 1)
}

// Decoding arbitrary bytes must not panic, and decoded values must stay within their
// bounds.
func FuzzMessages(f *testing.F) {
	for _, sent := range []peer.Message{
		&tokenRequest{Tenant: "acme", Request: quota.Request{Needed: quota.Amount{Requests: 1}}},
		&tokenResponse{Allocator: identity.Node{Name: "n", PeerAddress: netip.MustParseAddrPort("10.0.0.1:7")}},
		&handoverRequest{Tenant: "acme"}, &handoverResponse{Found: true, Account: quota.Account{Requests: 3}},
	} {
		encoder := wire.NewEncoder(nil)
		sent.Encode(encoder)
		f.Add(encoder.Bytes())
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		request, response, handover := &tokenRequest{}, &tokenResponse{}, &handoverResponse{}
		for _, message := range []peer.Message{request, response, &handoverRequest{}, handover} {
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
		if !(handover.Account.Requests <= maxAmount && handover.Account.Requests >= -maxAmount) {
			t.Fatal(handover.Account.Requests)
		}
	})
}

// BenchmarkAdmit measures a request for which the node has a token.
func BenchmarkAdmit(b *testing.B) {
	now := time.Duration(0)
	tenant := &routing.Tenant{Name: "acme", RatePerSecond: 1 << 20, Burst: 1 << 20}
	service := New(Config{Self: "a", Policy: sitePolicy, Strategy: StrategyAllocator, Now: func() time.Duration { return now }, Logger: slog.New(slog.DiscardHandler)})
	service.SetLimits(func(string) (quota.Limit, bool) { return LimitOf(tenant), true })
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
