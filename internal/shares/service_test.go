package shares

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

var tablePartition = logstore.Partition{Topic: "keyed.test"}

// sharesSite is a set of services with one store, in virtual time.
type sharesSite struct {
	store     *store.Store
	startedAt time.Time

	seeds []netip.AddrPort
	// unreachable makes calls between nodes fail.
	unreachable atomic.Bool

	mutex    sync.Mutex // guards services
	services []*Service
}

func (s *sharesSite) now() time.Duration { return time.Since(s.startedAt) }

// add starts a service. log is the store as this node sees it; onChange may be nil.
func (s *sharesSite) add(ctx context.Context, log logstore.Store, onChange func([]Holder)) *Service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	number := len(s.services)
	made := New(Config{
		Self: sharesNode(number), Store: log, Partition: tablePartition, Peers: s, Seeds: s.seeds, MaxHolders: 3, Now: s.now,
		Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry(),
	})
	if onChange != nil {
		made.OnChange(onChange)
	}
	s.services = append(s.services, made)
	go made.Run(ctx)
	return made
}

func sharesNode(number int) identity.Node {
	return identity.Node{
		Name: identity.NodeName(fmt.Sprint("n", number)), Zone: "z",
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 1),
	}
}

// updateViews gives each service a view of all.
func (s *sharesSite) updateViews() {
	view := membership.View{}
	for number := range s.services {
		view.Members = append(view.Members, membership.Member{
			Node:   sharesNode(number),
			Status: membership.Alive,
		})
	}
	for _, service := range s.services {
		service.SetView(view)
	}
}

// Call implements peer.Client.
func (s *sharesSite) Call(ctx context.Context, address netip.AddrPort, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	if s.unreachable.Load() {
		return nil, errTest
	}
	s.mutex.Lock()
	service := s.services[address.Addr().As4()[3]]
	s.mutex.Unlock()
	return service.handleTableRequest(ctx, request, nil)
}

func (s *sharesSite) sum() float64 {
	total := 0.0
	for _, service := range s.services {
		total += service.Fraction(s.now())
	}
	return total
}

// unavailableStore rejects all calls.
type unavailableStore struct{}

var errTest = errors.New("shares: unavailable in this test")

func (unavailableStore) Append(context.Context, logstore.AppendRequest) (logstore.AppendResult, error) {
	return logstore.AppendResult{}, errTest
}

func (unavailableStore) Read(context.Context, logstore.ReadRequest) (logstore.ReadResult, error) {
	return logstore.ReadResult{}, errTest
}

func (unavailableStore) Newest(context.Context, logstore.NewestRequest) (logstore.NewestResult, error) {
	return logstore.NewestResult{}, errTest
}

func (unavailableStore) Changes(context.Context, logstore.ReadRequest) (logstore.ChangesResult, error) {
	return logstore.ChangesResult{}, errTest
}

// simulateShares runs a site of some nodes.
func simulateShares(t *testing.T, count int, run func(ctx context.Context, is *is.I, s *sharesSite)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &sharesSite{store: store.New(), startedAt: time.Now()}
		for range count {
			s.add(ctx, s.store, nil)
		}
		s.updateViews()
		run(ctx, is.New(t), s)
		cancel()
		time.Sleep(time.Minute) // until calls that wait have ended
	})
}

func TestOneTableIsPublished(t *testing.T) {
	simulateShares(t, 5, func(_ context.Context, is *is.I, s *sharesSite) {
		time.Sleep(4 * time.Second)
		is.Equal(len(s.store.Records(tablePartition)), 1)
		is.True(s.sum() > 0.999 && s.sum() <= 1)
		time.Sleep(5 * time.Minute)
		is.Equal(len(s.store.Records(tablePartition)), 1) // nothing has changed
		is.True(s.sum() > 0.999 && s.sum() <= 1)
		const changes = 1
		reads := int((5*time.Minute+4*time.Second)/watchWait) + changes + 1 // the last one is still waiting
		is.True(s.store.Calls("read") <= len(s.services)*reads)
	})
}

// Two nodes that take themselves for the first publish at the same time. The store keeps one
// table, and both use that one.
func TestConcurrentTablesAreNotBothPublished(t *testing.T) {
	simulateShares(t, 3, func(ctx context.Context, is *is.I, s *sharesSite) {
		first, second := s.services[0], s.services[1]
		is.NoErr(first.publish(ctx, Table{Version: 1, Holders: []Holder{"n0"}}))
		is.NoErr(second.publish(ctx, Table{Version: 1, Holders: []Holder{"n1"}}))
		is.Equal(len(s.store.Records(tablePartition)), 1)
		is.NoErr(first.publish(ctx, Table{Version: 2, Holders: []Holder{"n0", "n1"}}))
		is.True(errors.Is(second.publish(ctx, Table{Version: 1, Holders: []Holder{"n1"}}), logstore.ErrFenced))
		time.Sleep(time.Second)
		is.True(s.sum() <= 1)
	})
}

// A node that starts while the store rejects it learns the table and its age from others.
func TestNodeWithoutStoreLearnsTableFromPeer(t *testing.T) {
	simulateShares(t, 3, func(ctx context.Context, is *is.I, s *sharesSite) {
		time.Sleep(4 * time.Second)
		var holders []Holder
		late := s.add(ctx, unavailableStore{}, func(changed []Holder) { holders = changed })
		s.updateViews()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(len(holders), 3)
		late.mutex.Lock()
		defer late.mutex.Unlock()
		age, known := late.history.Age(s.now())
		is.True(known && age < relayAge)
	})
}

// The watcher and the query to a peer pass tables on at the same time. The one that is passed
// on last must be the newest, or the node keeps asking the holders of an older table.
func TestNewestTableIsPassedOnLast(t *testing.T) {
	is := is.New(t)
	service := New(Config{Self: sharesNode(0), Store: store.New(), Partition: tablePartition, MaxHolders: 3, Now: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler)})
	var last atomic.Pointer[[]Holder]
	begun, proceed := make(chan struct{}), make(chan struct{})
	first := true
	service.OnChange(func(holders []Holder) {
		if first {
			first = false
			close(begun)
			<-proceed
		}
		last.Store(&holders)
	})
	var observers sync.WaitGroup
	observers.Go(func() { service.observe(Table{Version: 8, Holders: []Holder{"n0"}}, "store") })
	<-begun
	observers.Go(func() { service.observe(Table{Version: 9, Holders: []Holder{"n0", "n1"}}, "peer") })
	time.Sleep(50 * time.Millisecond) // the second observer gets as far as it can
	close(proceed)
	observers.Wait()
	is.Equal(*last.Load(), []Holder{"n0", "n1"})
}

// lostStore is a store that can be replaced by an empty one.
type lostStore struct{ current atomic.Pointer[store.Store] }

func (s *lostStore) Append(ctx context.Context, request logstore.AppendRequest) (logstore.AppendResult, error) {
	return s.current.Load().Append(ctx, request)
}

func (s *lostStore) Read(ctx context.Context, request logstore.ReadRequest) (logstore.ReadResult, error) {
	return s.current.Load().Read(ctx, request)
}

func (s *lostStore) Newest(ctx context.Context, request logstore.NewestRequest) (logstore.NewestResult, error) {
	return s.current.Load().Newest(ctx, request)
}

func (s *lostStore) Changes(ctx context.Context, request logstore.ReadRequest) (logstore.ChangesResult, error) {
	return s.current.Load().Changes(ctx, request)
}

// The store loses the table while it is in use, and nodes start that do not reach the others
// at first. They must not divide the limits a second time; the table is published again.
func TestLostTableIsNotReplacedByFirstOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		log := &lostStore{}
		log.current.Store(store.New())
		s := &sharesSite{startedAt: time.Now()}
		for range 3 {
			s.add(ctx, log, nil)
		}
		s.updateViews()
		time.Sleep(4 * time.Second)
		is.True(s.sum() > 0.999 && s.sum() <= 1)

		log.current.Store(store.New())
		s.unreachable.Store(true)
		for range 8 {
			s.add(ctx, log, nil)
		}
		s.updateViews()
		least := 1.0
		for began := s.now(); s.now() < began+2*Retention; time.Sleep(100 * time.Millisecond) {
			is.True(s.sum() <= 1)
			least = min(least, s.sum())
			if s.now() > began+3*time.Second {
				s.unreachable.Store(false)
			}
		}
		is.True(len(log.current.Load().Records(tablePartition)) > 0)
		is.True(least > 0.999) // shares stay in use meanwhile
		cancel()
		time.Sleep(time.Minute) // until calls that wait have ended
	})
}

// A node that starts where it sees no other member must not take a store that has lost the
// table for that of a new site: the others may still use the lost one.
func TestStartingNodeThatSeesNoSeedPublishesNoFirstTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		log := &lostStore{}
		log.current.Store(store.New())
		s := &sharesSite{startedAt: time.Now(), seeds: []netip.AddrPort{sharesNode(0).PeerAddress, sharesNode(3).PeerAddress}}
		for range 3 {
			s.add(ctx, log, nil)
		}
		s.updateViews()
		time.Sleep(4 * time.Second)
		is.True(s.sum() > 0.999 && s.sum() <= 1)

		log.current.Store(store.New())
		s.unreachable.Store(true)
		alone := s.add(ctx, log, nil)
		alone.SetView(membership.View{Members: []membership.Member{{Node: sharesNode(3), Status: membership.Alive}}})
		for began := s.now(); s.now() < began+2*Retention; time.Sleep(100 * time.Millisecond) {
			is.True(s.sum() <= 1)
		}
		is.True(alone.Known()) // without the others it is served in the end
		cancel()
		time.Sleep(time.Minute) // until calls that wait have ended
	})
}

// An operator or a retention policy may delete the table. It must be published again at once.
func TestDeletedTableIsPublishedAgain(t *testing.T) {
	simulateShares(t, 4, func(_ context.Context, is *is.I, s *sharesSite) {
		for len(s.store.Records(tablePartition)) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		s.store.Put(tablePartition, tableKey, nil) // shortly after an attempt to publish
		time.Sleep(planInterval)
		is.Equal(len(s.store.Records(tablePartition)), 3) // the table, its deletion and the table
		is.True(s.sum() > 0.999 && s.sum() <= 1)
	})
}

// All nodes are lost, and the table with them. The store takes no table of the versions that it
// had, so that a first table of one of them divides nothing for good.
func TestTableIsPublishedAfterLossOfAllNodesAndTable(t *testing.T) {
	for _, published := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			former, end := context.WithCancel(t.Context())
			s := &sharesSite{store: store.New(), startedAt: time.Now()}
			start := func(ctx context.Context) {
				s.mutex.Lock()
				s.services = nil
				s.mutex.Unlock()
				for range 4 {
					s.add(ctx, s.store, nil)
				}
				s.updateViews()
				time.Sleep(4 * time.Second)
			}
			start(former)
			for range published - 1 {
				s.store.Put(tablePartition, tableKey, nil)
				time.Sleep(4 * time.Second) // it is published again
			}
			is.True(s.sum() > 0.999)
			end()
			time.Sleep(time.Minute)
			s.store.Put(tablePartition, tableKey, nil)

			ctx, cancel := context.WithCancel(t.Context())
			start(ctx)
			time.Sleep(4 * time.Second)
			is.True(s.sum() > 0.999 && s.sum() <= 1)
			cancel()
			time.Sleep(time.Minute) // until calls that wait have ended
		})
	}
}

// Nodes that start learn the table from others that stop, while the store has lost it. They must
// not wait for their next read of the store until they publish it again.
func TestLostTableOfStoppingNodesIsPublishedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		former, end := context.WithCancel(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		s := &sharesSite{store: store.New(), startedAt: time.Now()}
		for range 4 {
			s.add(former, s.store, nil)
		}
		s.updateViews()
		time.Sleep(4 * time.Second)
		end()
		s.store.Put(tablePartition, tableKey, nil)

		started := []*Service{s.add(ctx, s.store, nil), s.add(ctx, s.store, nil)}
		view := membership.View{}
		for number := range s.services {
			status := membership.Alive
			if number < 4 {
				status = membership.Leaving
			}
			view.Members = append(view.Members, membership.Member{Node: sharesNode(number), Status: status})
		}
		for _, one := range started {
			one.SetView(view)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for _, one := range started {
			one.mutex.Lock()
			version, confirmed := one.history.newest.Version, one.history.known
			one.mutex.Unlock()
			is.Equal(version, uint64(2))
			is.True(confirmed)
		}
		cancel()
		time.Sleep(time.Minute) // until calls that wait have ended
	})
}

// Without the store, shares stay in use for MaxAge and no longer, and come back with it.
func TestSharesEndWithLongOutage(t *testing.T) {
	simulateShares(t, 3, func(_ context.Context, is *is.I, s *sharesSite) {
		time.Sleep(4 * time.Second)
		s.store.Fail(store.Fault{Busy: true})
		time.Sleep(MaxAge - watchWait - time.Second)
		is.True(s.sum() > 0.999)
		time.Sleep(watchWait + 2*time.Second)
		is.Equal(s.sum(), 0.0)
		s.store.Fail(store.Fault{})
		time.Sleep(maxWatchPause + time.Second)
		is.True(s.sum() > 0.999)
	})
}

func TestUnneededTableCausesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		s := &sharesSite{store: store.New(), startedAt: time.Now()}
		idle := New(Config{Self: sharesNode(0), Store: s.store, Partition: tablePartition, Peers: s, MaxHolders: 3, Now: s.now, Logger: slog.New(slog.DiscardHandler)})
		idle.SetEnabled(func() bool { return false })
		idle.SetView(viewOf("n0", "n1"))
		idle.Run(ctx)
		is.Equal(s.store.Calls("newest"), 0)
	})
}

// A node that starts learns only from its first configuration that tenants have limits. It
// must not wait for its next check of the table to read it, since it is not ready before.
func TestTableIsReadAsSoonAsItIsNeeded(t *testing.T) {
	simulateShares(t, 3, func(ctx context.Context, is *is.I, s *sharesSite) {
		time.Sleep(4 * time.Second)
		var needed atomic.Bool
		started := New(Config{Self: sharesNode(0), Store: s.store, Partition: tablePartition, Peers: s, MaxHolders: 3, Now: s.now, Logger: slog.New(slog.DiscardHandler)})
		started.SetEnabled(needed.Load)
		go started.Run(ctx)
		time.Sleep(planInterval / 10)
		is.True(!started.Known())
		needed.Store(true)
		started.NeedChanged()
		synctest.Wait()
		is.True(started.Known())
	})
}

func TestTableRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := &tableResponse{Table: Table{Version: 3, Holders: []Holder{"a", "b"}, Recent: [][]Holder{{"a"}, {"b", "c"}}}, Known: true, Age: time.Second}
	encoder := wire.NewEncoder(nil)
	sent.Encode(encoder)
	read := &tableResponse{}
	decoder := wire.NewDecoder(encoder.Bytes())
	read.Decode(decoder)
	is.NoErr(decoder.Finish())
	is.Equal(read, sent)
}

// A table of another writer that no later version could follow ended all shares for good.
func TestOddTableIsReplaced(t *testing.T) {
	odd := []byte("?")
	for name, version := range map[string]uint64{"unreadable": 0, "the last version": math.MaxUint64, "a version far ahead": maxVersion - 1<<20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				s := &sharesSite{store: store.New(), startedAt: time.Now()}
				for range 3 {
					s.add(ctx, s.store, nil)
				}
				s.updateViews()
				time.Sleep(4 * time.Second)
				is.True(s.sum() > 0.999 && s.sum() <= 1)

				written := odd
				if version > 0 {
					encoder := wire.NewEncoder(nil)
					Table{Version: version, Holders: []Holder{"odd"}}.encode(encoder)
					written = encoder.Bytes()
				}
				s.store.Put(tablePartition, tableKey, written)
				for began := s.now(); s.now() < began+replaceMinorityAfter+3*Retention; time.Sleep(100 * time.Millisecond) {
					is.True(s.sum() <= 1)
				}
				is.True(s.sum() > 0.999)
				cancel()
				time.Sleep(time.Minute) // until calls that wait have ended
			})
		})
	}
}

// Decoding arbitrary bytes must not panic.
func FuzzTable(f *testing.F) {
	encoder := wire.NewEncoder(nil)
	Table{Version: 1, Holders: []Holder{"a"}, Recent: [][]Holder{{"b"}}}.encode(encoder)
	f.Add(encoder.Bytes())
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		var h History
		h.Observe(decodeTable(wire.NewDecoder(encoded)), 0)
		h.Confirm(0)
		_ = h.Fraction("a", 0)
	})
}
