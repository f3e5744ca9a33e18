package shares

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/wire"
)

// publishIfDue publishes a new table if this node is the first in rank and the table must
// change.
func (s *Service) publishIfDue(ctx context.Context) {
	now := s.config.Now()
	s.mutex.Lock()
	table, due := s.plan(now)
	first, lost := s.history.newest.Version == 0, s.lost
	s.mutex.Unlock()
	if !due {
		return
	}
	if first && !s.agreeOnFirst(ctx) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.publishAfter = now
		return
	}
	err := s.publish(ctx, table)
	rejected := errors.Is(err, logstore.ErrFenced) || errors.Is(err, logstore.ErrSequence)
	if (first || lost) && (err == nil || rejected) && s.isTaken(ctx, table.Version) {
		s.config.Logger.Warn("the store has lost a share table of this version or a later one; publishing a later one", "version", table.Version)
		return
	}
	switch {
	case err == nil:
		s.config.Logger.Info("share table published", "version", table.Version, "holders", table.Holders)
	case rejected:
		s.config.Logger.Info("another node has published a share table first", "version", table.Version, "error", err)
	default:
		s.config.Logger.Warn("share table not published", "version", table.Version, "error", err)
	}
}

// plan requires the mutex.
func (s *Service) plan(now time.Duration) (Table, bool) {
	first, found := membership.Highest(rankKey, s.members, func(m membership.Member) bool { return m.Status == membership.Alive })
	if !found || first.Name != s.config.Self.Name || now < s.publishAfter {
		return Table{}, false
	}
	var holders []Holder
	if s.history.newest.Version == 0 {
		holders = s.planner.first(now)
	} else if s.lost {
		holders = s.history.newest.Holders
	} else if age, known := s.history.Age(now); known && age < relayAge && !s.history.Changing(now) {
		holders = s.planner.next(s.history.newest.Holders, now)
	}
	if holders == nil {
		return Table{}, false
	}
	s.publishAfter = now + publishPause
	table := s.history.Next(holders, now)
	if s.taken >= table.Version {
		table.Version = s.versionAfterTaken()
	}
	return table, true
}

// versionAfterTaken returns the version to publish in place of taken. Nodes that know no table
// all try the same versions, so that the store accepts a table of only one of them. It requires
// the mutex.
func (s *Service) versionAfterTaken() uint64 {
	if s.history.newest.Version == 0 {
		return 2 * s.taken
	}
	return s.taken + 1
}

// readStoredVersion reads the version of the table in the store, or 0 if there is none.
func (s *Service) readStoredVersion(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	page, err := s.config.Store.Newest(ctx, logstore.NewestRequest{Partition: s.config.Partition})
	if err != nil {
		return 0, fmt.Errorf("shares: read the table: %w", err)
	}
	version := uint64(0)
	for _, item := range page.Items {
		decoder := wire.NewDecoder(item.Value)
		table := decodeTable(decoder)
		if item.Key == tableKey && decoder.Finish() == nil {
			version = max(version, table.Version)
		}
	}
	return version, nil
}

// verifyStored reads the store at once if its last read was without the newest known table,
// which was learned from a peer. The watcher's next read may come much later.
func (s *Service) verifyStored(ctx context.Context) {
	now := s.config.Now()
	s.mutex.Lock()
	newest := s.history.newest.Version
	due := s.snapshotRead && s.storeVersion < newest && !s.lost && now >= s.verifyAfter
	if due {
		s.verifyAfter = now + publishPause
	}
	s.mutex.Unlock()
	if !due {
		return
	}
	stored, err := s.readStoredVersion(ctx)
	if err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if stored < newest && s.history.newest.Version == newest && !s.lost {
		s.setLostLocked()
	}
}

// isTaken reports whether the store, which has responded to the publication of a version, has
// neither that table nor a later one. It has lost one then, and accepts none up to that version
// any more, so a later version is published at once.
func (s *Service) isTaken(ctx context.Context, version uint64) bool {
	stored, err := s.readStoredVersion(ctx)
	if err != nil || stored >= version {
		return false // after an error the version is published again later
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.taken, s.publishAfter = version, 0
	s.NeedChanged()
	return true
}

// publish appends a table. The store rejects it if it has one of this version, or repeats
// the response to that one; the watcher reads which table it is.
func (s *Service) publish(ctx context.Context, table Table) error {
	encoder := wire.NewEncoder(nil)
	table.encode(encoder)
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	_, err := s.config.Store.Append(ctx, logstore.AppendRequest{
		Partition: s.config.Partition, Keys: []string{tableKey}, Records: [][]byte{encoder.Bytes()},
		Producer: producer, Epoch: table.Version,
	})
	if err != nil {
		return fmt.Errorf("shares: publish: %w", err)
	}
	return nil
}

// agreeOnFirst asks all members for their table before a first one is published, since the
// store may have lost one that is still in use. It reports whether none of them has one. A
// member that does not respond, or the seeds if this node has seen none, may have one for as
// long as it may be in use.
func (s *Service) agreeOnFirst(ctx context.Context) bool {
	now := s.config.Now()
	s.mutex.Lock()
	members := slices.Clone(s.members)
	expired, seedSeen := now-s.startedAt > Retention, s.seedSeen
	s.mutex.Unlock()
	if !seedSeen && !expired {
		return false
	}
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var found, silent atomic.Bool
	for _, member := range members {
		if member.Node.Name == s.config.Self.Name {
			continue
		}
		calls.Go(func() {
			response, err := s.config.Peers.Call(call, member.Node.PeerAddress, &tableRequest{}, nil)
			got, ok := response.(*tableResponse)
			switch {
			case err != nil || !ok:
				silent.Store(true)
			case got.Table.Version > 0:
				s.observeResponse(got, now)
				found.Store(true)
			}
		})
	}
	calls.Wait()
	return !found.Load() && (expired || !silent.Load())
}

// confirmVersion records a peer's confirmation of a version, unless a newer one is known.
func (s *Service) confirmVersion(version uint64, at time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.history.newest.Version == version {
		s.history.Confirm(at)
	}
}
