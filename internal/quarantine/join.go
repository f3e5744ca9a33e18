package quarantine

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/samber/lo"
)

const (
	// joinInterval is the time between two requests for records of a node that starts, and
	// joinTimeout how long it waits for an answer at most. While it waits for the stored attempts after
	// that, it asks each exchangeInterval.
	joinInterval = 100 * time.Millisecond
	joinTimeout  = time.Second
	// unsyncedRounds is the number of such requests that only nodes have answered that have just
	// started too, after which all have.
	unsyncedRounds = 4
	// joinPeers is the number of nodes that each request goes to.
	joinPeers = 8
	// loadDelay is how long a node that is no seed waits to be told by others before it reads the stored
	// attempts. minLoadPause and maxLoadPause bound the pause after a failed read.
	loadDelay    = 300 * time.Millisecond
	minLoadPause = 50 * time.Millisecond
	maxLoadPause = 400 * time.Millisecond
	// storeWait is how long a node that others have told what they know waits for the stored attempts.
	// unreadableTime is how long one that nobody has told does while the rest of the store answers.
	storeWait      = 400 * time.Millisecond
	unreadableTime = 3 * time.Second
)

// pullAll asks nodes for their records. It returns once one has answered that knows what others
// know, or all have an outcome.
func (s *Service) pullAll(ctx context.Context, from []netip.AddrPort) (answered, synced bool) {
	type outcome struct{ answered, synced bool }
	outcomes := make(chan outcome, len(from))
	for _, address := range from {
		go func() {
			answered, synced := s.pull(ctx, address, nil)
			outcomes <- outcome{answered, synced}
		}()
	}
	for range from {
		one := <-outcomes
		answered = answered || one.answered
		if one.synced {
			return true, true
		}
	}
	return answered, false
}

// load reads the attempts that are stored, until it succeeds. At a large site, a node that is no seed
// does not read them if another one has told what it knows meanwhile. It closes loaded in the end.
func (s *Service) load(ctx context.Context, loaded chan<- struct{}) {
	defer close(loaded)
	if !lo.Contains(s.config.Seeds, s.config.Address) {
		await(ctx, s.told, loadDelay)
		if isClosed(s.told) && s.copies.Members().Count() > smallSite {
			return
		}
	}
	for pause := minLoadPause; ctx.Err() == nil; pause = min(2*pause, maxLoadPause) {
		records, err := s.archive.read(ctx)
		if err == nil {
			for i := range records {
				records[i].announced = true
			}
			s.merge(records)
			s.config.Logger.Info("stored attempts under which replicas ended read", "records", len(records))
			return
		}
		await(ctx, nil, pause/2+time.Duration(rand.Int64N(int64(pause))))
	}
}

// join asks other nodes for their records until one that knows them has answered, or none seems to, and
// awaits the stored ones. While these can't be read, it goes on asking; without any other source, it
// gives up once the store has served the replicas' entries for some time.
func (s *Service) join(ctx context.Context, loaded <-chan struct{}) {
	began := time.Now()
	var asking asked
	var toldFor, unreadable time.Duration
	for ctx.Err() == nil {
		if !asking.told {
			if asking = s.ask(ctx, asking); asking.told {
				close(s.told)
			}
		}
		var over <-chan struct{}
		if asking.over() && s.hasMembers() || time.Since(began) >= joinTimeout {
			if s.archive == nil || isClosed(loaded) || asking.told && toldFor >= storeWait || unreadable >= unreadableTime {
				break
			}
			over = loaded
		}
		pause := joinInterval
		if time.Since(began) >= joinTimeout {
			pause = exchangeInterval
		}
		await(ctx, over, pause)
		if asking.told {
			toldFor += pause
		}
		if s.fresh() {
			unreadable += pause
		}
	}
	if !asking.told {
		s.endLostAttempts()
	}
	s.synced.Store(true)
	s.config.Logger.Info("records of broken attempts known", "told", asking.told, "others_starting", asking.unsynced, "stored_read", s.archive != nil && isClosed(loaded),
		"records", s.table.size.Load(), "took_ms", time.Since(began).Milliseconds())
}

// hasMembers reports whether this node knows the members that it tells, if there are others.
func (s *Service) hasMembers() bool {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	return !s.hasMetNobody()
}

// endLostAttempts notes that attempts which seem to be under way are over, since no node is left that made
// them. How their replicas are is not known. Several at a time of a content that does not identify its
// request are reads of several clients, and do not count.
func (s *Service) endLostAttempts() {
	now := s.config.Now()
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	for _, found := range s.table.records {
		many := !found.identified && found.underWay() > 1
		for _, one := range found.attempts {
			switch {
			case one.broken:
			case many:
				one.state = stateCleared
			default:
				one.broken, one.brokeAt = true, now
			}
		}
	}
}

// asked is what a node that starts has learned by asking others.
type asked struct {
	// told is set once a node has answered that knows what others know, nobody if there is nobody to
	// ask. unsynced counts the rounds that only nodes have answered that have just started too.
	told, nobody bool
	unsynced     int
}

// over reports whether asking on is of no use.
func (a asked) over() bool { return a.told || a.nobody || a.unsynced >= unsyncedRounds }

// ask asks some other nodes for their records once.
func (s *Service) ask(ctx context.Context, before asked) asked {
	var addresses []netip.AddrPort
	if s.config.Peers != nil {
		addresses = lo.Without(s.config.Seeds, s.config.Address)
		for _, node := range s.copies.Members().Reachable.Nodes() {
			if node.Name != s.config.Self {
				addresses = append(addresses, node.PeerAddress)
			}
		}
	}
	before.nobody = len(addresses) == 0
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	answered, synced := s.pullAll(ctx, addresses[:min(len(addresses), joinPeers)])
	before.told = synced
	if answered && !synced {
		before.unsynced++
	}
	return before
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
