package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/holders"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
)

const (
	// exchangeInterval is the time between two exchanges of records with a random node, which
	// reach nodes that were cut off meanwhile.
	exchangeInterval = time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// handOverTimeout bounds the time that a node that ends takes to tell others, handOverPeers their
	// number.
	handOverTimeout = 200 * time.Millisecond
	handOverPeers   = 16
)

// Register adds this package's messages and handlers to registry.
func (s *Service) Register(registry *peer.Registry) {
	registry.Add(
		func() peer.Message { return &notice{} }, func() peer.Message { return &noticeResponse{} },
		func() peer.Message { return &probe{} }, func() peer.Message { return &probeResponse{} },
	)
	registry.Handle(kindNotice, peer.HandlerFunc(s.handleNotice))
	registry.Handle(kindProbe, peer.HandlerFunc(s.handleProbe))
}

func (s *Service) handleNotice(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	received, ok := request.(*notice)
	if !ok {
		return nil, fmt.Errorf("quarantine: unexpected %T", request)
	}
	synced := s.Synced() // before the records are read, which may be learned meanwhile
	s.merge(received.records)
	for i := range received.records {
		if !received.records[i].announced {
			s.takeOver(received.records[i].key)
		}
	}
	keys := lo.Map(received.records, func(one record, _ int) Key { return one.key })
	if received.pull {
		s.table.mutex.Lock()
		keys = lo.Uniq(append(keys, s.announcedKeys()...))
		s.table.mutex.Unlock()
	}
	return &noticeResponse{stored: true, synced: synced, records: s.records(keys)}, nil
}

// takeOver tells all nodes of a content unless its reporter does: it may have ended.
func (s *Service) takeOver(key Key) {
	if !s.announcementDue(key) {
		return
	}
	time.AfterFunc(takeoverDelay, func() {
		if s.shouldAnnounce(key) {
			s.copies.Broadcast(key, 0)
			s.store(key, true)
		}
	})
}

func (s *Service) announcementDue(key Key) bool {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found, known := s.table.records[key]
	return known && found.broken() > found.announced && found.broken() >= s.announceFrom()
}

// merge merges records of other nodes.
func (s *Service) merge(records []record) {
	now := s.config.Now()
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	for i := range records {
		one := &records[i]
		if !one.valid() {
			continue
		}
		found := s.table.entry(one.key, one.identified, one.lifetime, now)
		found.clientUntil = max(found.clientUntil, now+min(one.clientLeft, maxLifetime))
		if one.void {
			found.voidUntil(now - one.voidAgo)
		}
		for _, shared := range one.attempts {
			found.merge(shared.received(now))
		}
		if one.announced {
			found.announced = max(found.announced, found.broken(), 1)
		}
		s.logIfQuarantined(found)
	}
}

// records returns the records of keys, as they are known now.
func (s *Service) records(keys []Key) []record {
	now := s.config.Now()
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	return lo.FilterMap(keys, func(key Key, _ int) (record, bool) {
		found, known := s.table.records[key]
		if !known {
			return record{}, false
		}
		return found.share(now)
	})
}

func (s *Service) newNotice(keys []holders.Dated[Key]) peer.Message {
	return &notice{records: s.records(lo.Uniq(lo.Map(keys, func(one holders.Dated[Key], _ int) Key { return one.Record })))}
}

func (s *Service) storedBy(answer peer.Message) bool {
	response, ok := answer.(*noticeResponse)
	if !ok || !response.stored {
		return false
	}
	s.merge(response.records)
	return true
}

// Run follows the replicas of attempts whose ends are not known, and exchanges records with other
// nodes, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	go s.copies.Run(ctx)
	loaded := make(chan struct{})
	if s.archive != nil {
		go s.archive.run(ctx)
		go s.load(ctx, loaded)
	}
	go s.join(ctx, loaded)
	resolve, exchange := time.NewTicker(resolveInterval), time.NewTicker(exchangeInterval)
	defer resolve.Stop()
	defer exchange.Stop()
	for {
		select {
		case <-resolve.C:
			s.resolve()
		case <-exchange.C:
			s.exchange(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Close tells the holders that remain of this node's records.
func (s *Service) Close() {
	s.table.mutex.Lock()
	keys := lo.Keys(s.table.records)
	s.table.mutex.Unlock()
	for _, key := range keys {
		s.copies.Distribute(key)
	}
}

// exchange removes expired records, and exchanges the others that all nodes should know with a
// random node.
func (s *Service) exchange(ctx context.Context) {
	if s.Idle() {
		return
	}
	s.table.mutex.Lock()
	s.table.purge(s.config.Now())
	s.table.forgetEnds(s.config.Now())
	keys := s.announcedKeys()
	s.table.mutex.Unlock()
	others := s.addresses()
	if len(keys) == 0 || len(others) == 0 {
		return
	}
	go s.pull(ctx, lo.Sample(others), s.records(keys))
}

// addresses returns those of all other nodes: also of members that stop, at whose addresses other
// incarnations may run already, and of the seeds.
func (s *Service) addresses() []netip.AddrPort {
	if s.config.Peers == nil {
		return nil
	}
	addresses := lo.FilterMap(s.copies.Members().All.Nodes(), func(node identity.Node, _ int) (netip.AddrPort, bool) {
		return node.PeerAddress, node.Name != s.config.Self
	})
	return lo.Uniq(append(addresses, lo.Without(s.config.Seeds, s.config.Address)...))
}

// HandOver tells other nodes of what all should know, and of replicas that may yet turn out to live,
// right before this one ends. Where all nodes restart at about the same time, the new incarnations may
// know each other only. It returns after handOverTimeout at most.
func (s *Service) HandOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, key := range s.suspectAll() {
		s.shouldAnnounce(key) // announcedKeys contains it then, at a small site
		calls.Go(func() { await(ctx, s.copies.Distribute(key).Done(), handOverTimeout) })
	}
	if s.archive != nil {
		calls.Go(func() { s.archive.flush(ctx) })
	}
	s.table.mutex.Lock()
	keys := s.announcedKeys()
	s.table.mutex.Unlock()
	addresses := s.addresses()
	if len(keys) > 0 {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		for _, address := range addresses[:min(len(addresses), handOverPeers)] {
			calls.Go(func() { s.pull(ctx, address, s.records(keys)) })
		}
	}
	calls.Wait()
}

// suspectAll lets all attempts count whose replicas were silent, and returns their contents.
func (s *Service) suspectAll() []Key {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	return lo.FilterMap(lo.Values(s.table.records), func(one *entry, _ int) (Key, bool) { return one.key, one.suspect() })
}

// pull sends records to a node, and stores those that it returns. It reports whether the node
// answered, and whether it knows what others know.
func (s *Service) pull(ctx context.Context, from netip.AddrPort, records []record) (answered, synced bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := s.config.Peers.Call(ctx, from, &notice{records: records, pull: true}, nil)
	if err != nil || !s.storedBy(answer) {
		return false, false
	}
	response, ok := answer.(*noticeResponse)
	return true, ok && response.synced
}
