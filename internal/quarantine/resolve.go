package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/fleet"
)

const (
	// resolveInterval is the time between two checks of the replicas' entries.
	resolveInterval = 100 * time.Millisecond
	// minSilence is how long a replica must have been silent for an attempt that its client or
	// its deadline ended to leave a doubt about it, unless replicas have ended under the request
	// already. hearTime is how long the replica then has to be heard at this node before others
	// are told, unless another may have ended already.
	minSilence = 400 * time.Millisecond
	hearTime   = 150 * time.Millisecond
	// heardAfter is how long after an attempt broke off bytes of its replica show that it lives.
	heardAfter = 50 * time.Millisecond
	// absentTime is how long a replica must have had no entry to count as ended.
	absentTime = 300 * time.Millisecond
	// renewedAfter is how long after an attempt broke off each further renewal of the entry shows
	// that its replica lives: nodes learn of an entry up to 2.7 s late. presentAfter is how long the
	// entry must remain without any known renewal, since many nodes learn of none; it lapses after
	// three missed heartbeats.
	renewedAfter = 3 * time.Second
	presentAfter = 6 * time.Second
)

// Broke is called when an attempt broke off: its connection was reset or closed, or its packets
// were not acknowledged. It finds out whether the replica has ended, and returns once other nodes
// know of it or noticeWait has passed. registered may be the zero value.
func (s *Service) Broke(ctx context.Context, request *Request, send Send, registered Attempt, address netip.AddrPort, cause error) {
	broken := brokenAttempt{finding: findingAlive, cause: cause}
	if left, _ := s.left(send, cause); !left {
		// What the client does tells nothing of the replica.
		broken.finding = s.verify(context.WithoutCancel(ctx), address, cause)
	}
	broken.at = s.config.Now()
	s.ended(ctx, request, send, registered, broken)
}

// brokenAttempt is how an attempt broke off: what was found out about its replica, the error, and when.
type brokenAttempt struct {
	finding finding
	cause   error
	at      time.Duration
}

// ended records an attempt that broke off and tells other nodes. It returns once they know of it or
// noticeWait has passed.
func (s *Service) ended(ctx context.Context, request *Request, send Send, registered Attempt, broken brokenAttempt) {
	left, lapsed := s.left(send, broken.cause)
	next := stateWatched
	switch {
	case left, lapsed && broken.finding == findingAlive:
		next = stateCleared
	case broken.finding == findingEnded:
		next = stateEnded
	case broken.finding == findingUnclear:
		next = stateOpen
	case registered != (Attempt{}):
		next = stateCleared
	}
	if next == stateCleared && registered == (Attempt{}) {
		return
	}
	s.record(request, send, registered, next, breaking{at: broken.at})
	s.config.Logger.Info("attempt broke off", "content", request.Key.String(), "replica", send.Replica.String(), "replica_state", next.String(), "left_as_planned", left)
	if next == stateOpen || next == stateEnded || next == stateCleared {
		s.report(ctx, request.Key)
	}
}

// String returns the name of the state in logs.
func (s state) String() string {
	switch s {
	case stateWatched:
		return "seems to live"
	case stateOpen:
		return "unknown"
	case stateEnded:
		return "ended"
	case stateCleared:
		return "lives"
	}
	return "invalid"
}

// left reports whether a replica had said that it leaves before the attempt broke off, or had no
// entry any more and was heard until then. lapsed reports whether it had no entry and was not heard:
// the entry of a replica that hangs lapses before it ends, and the store may have lost that of one
// that lives.
func (s *Service) left(send Send, cause error) (left, lapsed bool) {
	present, found := s.config.Replicas.Presence(send.Replica.Instance)
	if !found {
		lapsed = isTimeout(cause) || send.Silence >= minSilence
		return !lapsed, lapsed
	}
	return present.StartedAtMs == send.Replica.StartedAtMs && present.State == fleet.StateDraining, false
}

func isTimeout(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// Silent is called when an attempt ended by its client or its deadline, while its replica had sent
// nothing for some time. It does not block.
func (s *Service) Silent(request *Request, send Send, registered Attempt, address netip.AddrPort) {
	if send.Silence < minSilence && registered == (Attempt{}) && !s.Suspects(request.Key) {
		s.Over(request, send, registered, address)
		return
	}
	made := s.record(request, send, registered, stateWatched, breaking{at: s.config.Now(), silent: true})
	switch {
	case registered != (Attempt{}):
		s.tell(request.Key)
		return
	case s.counted(request.Key) > 0:
		s.advance(made, stateOpen)
		return
	}
	time.AfterFunc(hearTime, func() { s.advance(made, stateOpen) })
}

// breaking is when an attempt broke off, and whether its replica was silent then.
type breaking struct {
	at     time.Duration
	silent bool
}

// record records how an attempt broke off, and watches its replica.
func (s *Service) record(request *Request, send Send, registered Attempt, next state, broke breaking) Attempt {
	now := s.config.Now()
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found := s.table.entry(request.Key, request.Identified, request.lifetime(), now)
	found.clientUntil = max(found.clientUntil, now+min(request.ClientLeft, maxLifetime))
	one := found.find(registered.id)
	if one == nil || registered == (Attempt{}) {
		one = found.add(&attempt{id: rand.Uint64(), replica: send.Replica, began: send.Began, until: send.Until, own: true})
	}
	one.state = max(one.state, next)
	one.broken, one.brokeAt, one.silent = true, broke.at, broke.silent
	made := Attempt{key: request.Key, id: one.id}
	if one.state == stateWatched || one.state == stateOpen {
		s.watch[send.Replica] = append(s.watch[send.Replica], made)
		s.watching.Store(int64(len(s.watch)))
	}
	s.logIfQuarantined(found)
	return made
}

// Heard is called when bytes of a replica arrive.
func (s *Service) Heard(replica Replica) {
	s.seenLingering(replica)
	if s.watching.Load() == 0 {
		return
	}
	now := s.config.Now()
	s.table.mutex.Lock()
	var alive []Attempt
	for _, one := range s.watch[replica] {
		if found := s.find(one); found != nil && found.broken && now > found.brokeAt+heardAfter {
			alive = append(alive, one)
		}
	}
	s.table.mutex.Unlock()
	for _, one := range alive {
		s.advance(one, stateCleared)
	}
}

// find returns an attempt, or nil. The caller must hold the table's mutex.
func (s *Service) find(one Attempt) *attempt {
	found, known := s.table.records[one.key]
	if !known {
		return nil
	}
	return found.find(one.id)
}

// resolve advances the attempts that the replicas' entries decide.
func (s *Service) resolve() {
	if s.Idle() {
		return
	}
	now := s.config.Now()
	decides := s.fresh() && !s.config.Replicas.Recovering(now)
	s.table.mutex.Lock()
	if !decides {
		s.undecidedUntil = now
	}
	decided := map[Attempt]state{}
	for key, found := range s.table.records {
		for _, one := range found.attempts {
			if next := s.decide(one, decides, now); next > one.state {
				decided[Attempt{key: key, id: one.id}] = next
			}
		}
	}
	s.watch = lo.PickBy(s.watch, func(_ Replica, watched []Attempt) bool {
		return lo.SomeBy(watched, func(one Attempt) bool {
			found := s.find(one)
			return found != nil && found.state <= stateOpen
		})
	})
	s.watching.Store(int64(len(s.watch)))
	s.table.mutex.Unlock()
	for one, next := range decided {
		s.advance(one, next)
	}
}

// decide returns the state of an attempt by its replica's entry. decides is false while missing
// entries tell nothing. The caller must hold the table's mutex.
func (s *Service) decide(one *attempt, decides bool, now time.Duration) state {
	if one.state == stateCleared || one.own && !one.broken {
		return one.state
	}
	present, found := s.config.Replicas.Presence(one.replica.Instance)
	if found && present.StartedAtMs > one.replica.StartedAtMs {
		return stateEnded
	}
	if !found {
		if !decides {
			one.absent = false
			return one.state
		}
		if !one.absent {
			one.absent, one.absentSince = true, now
		}
		if now-one.absentSince >= absentTime {
			return stateEnded
		}
		return one.state
	}
	one.absent = false
	over := one.until
	if one.broken {
		over = one.brokeAt
	}
	switch {
	case one.broken && one.state != stateEnded && present.State == fleet.StateDraining,
		one.sequenceKnown && present.Sequence > one.sequence,
		decides && now > max(over, s.undecidedUntil)+presentAfter:
		return stateCleared
	}
	if now > over+renewedAfter && !one.sequenceKnown {
		one.sequence, one.sequenceKnown = present.Sequence, true
	}
	return one.state
}
