package quarantine

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lingerTime is how long after an attempt is over its replica's end still counts for it.
	lingerTime = 500 * time.Millisecond
	// A replica without power does not end connections, so it is connected to again, for probeTimeout at
	// most, after each probeDelay in which it was not heard, until it was heard after lingerTime.
	probeDelay   = 60 * time.Millisecond
	probeTimeout = 150 * time.Millisecond
	// maxLingering bounds the replicas that are watched after their attempts, maxLingeringAttempts the
	// attempts of each.
	maxLingering         = 256
	maxLingeringAttempts = 64
)

// lingering holds the attempts that are over without a whole answer, and whose replicas may yet end
// under them: a request may end its replica after the replica's own failure response, or after its
// client has given up.
type lingering struct {
	// count is the size of replicas, read without the mutex.
	count atomic.Int64

	// mutex guards replicas and their attempts.
	mutex    sync.Mutex
	replicas map[Replica][]overAttempt
}

// overAttempt is an attempt that is over since a reading of Config.Now.
type overAttempt struct {
	request    *Request
	send       Send
	registered Attempt
	over       time.Duration
	// seen is when the replica was last heard, or accepted a connection, after the attempt was over; 0 if
	// it was not.
	seen time.Duration
}

// needsProbe reports whether the replica may have ended under the attempt without a sign.
func (a *overAttempt) needsProbe(now time.Duration) bool {
	return !a.settled(now) && now-max(a.over, a.seen) >= probeDelay
}

// settled reports whether an end of the replica does not count for the attempt any more.
func (a *overAttempt) settled(now time.Duration) bool {
	return now >= a.over+lingerTime && a.seen >= a.over+lingerTime
}

// Over is called when an attempt is over without a whole answer to its client and without a doubt about
// its replica: the replica responded with a failure, or the client gave up. If the replica ends within
// lingerTime, that counts as an end under the attempt. One connection is held open to each such replica
// meanwhile, whatever the number of attempts, and others made while it is not heard. It does not block.
func (s *Service) Over(request *Request, send Send, registered Attempt, address netip.AddrPort) {
	one := overAttempt{request: request, send: send, registered: registered, over: s.config.Now()}
	s.lingering.mutex.Lock()
	attempts, watched := s.lingering.replicas[send.Replica]
	accepted := len(attempts) < maxLingeringAttempts && (watched || len(s.lingering.replicas) < maxLingering)
	if accepted {
		s.lingering.replicas[send.Replica] = append(attempts, one)
		s.lingering.count.Store(int64(len(s.lingering.replicas)))
	}
	s.lingering.mutex.Unlock()
	switch {
	case !accepted:
		s.End(registered)
	case !watched:
		go s.linger(send.Replica, address)
	}
}

// linger holds a connection open to a replica until it was heard lingerTime after the last attempt. If it
// ends before, so may have the replica.
func (s *Service) linger(replica Replica, address netip.AddrPort) {
	cause := s.awaitEnd(replica, address)
	if cause == nil {
		return
	}
	at := s.config.Now()
	found := findingUnclear
	if !isTimeout(cause) {
		found = s.verify(context.Background(), address, cause)
	}
	for _, one := range s.takeLingering(replica) {
		// A silent replica may have ended at any time since it was last heard.
		late := at > one.over+lingerTime && !isTimeout(cause)
		if found == findingAlive || late || one.seen >= one.over+lingerTime {
			s.End(one.registered)
			continue
		}
		go s.ended(context.Background(), one.request, one.send, one.registered, brokenAttempt{finding: found, cause: cause, at: one.over})
	}
}

// awaitEnd returns why a connection to a replica ended or did not come up, or nil once no attempt is
// left for which that would count.
func (s *Service) awaitEnd(replica Replica, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	connection, err := s.dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	for {
		left, probe := s.lingerLeft(replica)
		if left <= 0 {
			return nil
		}
		if probe {
			if err := s.probe(replica, address); err != nil {
				return err
			}
			continue
		}
		if err := connectionEnd(connection, min(left, probeDelay)); err != nil {
			return err
		}
	}
}

// probe connects to a replica that has not been heard since an attempt was over.
func (s *Service) probe(replica Replica, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	connection, err := s.dial(ctx, address)
	if err != nil {
		return err
	}
	s.seenLingering(replica)
	return connection.Close()
}

// seenLingering notes that a replica lived after its attempts.
func (s *Service) seenLingering(replica Replica) {
	if s.lingering.count.Load() == 0 {
		return
	}
	s.lingering.mutex.Lock()
	defer s.lingering.mutex.Unlock()
	attempts, now := s.lingering.replicas[replica], s.config.Now()
	for i := range attempts {
		attempts[i].seen = now
	}
}

// connectionEnd returns the error with which an idle connection ends, or nil if it is open for a time.
func connectionEnd(connection net.Conn, within time.Duration) error {
	_ = connection.SetReadDeadline(time.Now().Add(within))
	_, err := connection.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// lingerLeft drops the attempts for which an end of their replica does not count any more, and returns
// how long it does for the last one. probe is set if the replica is to be connected to once more.
func (s *Service) lingerLeft(replica Replica) (left time.Duration, probe bool) {
	now := s.config.Now()
	s.lingering.mutex.Lock()
	var dropped, kept []overAttempt
	for _, one := range s.lingering.replicas[replica] {
		if one.settled(now) {
			dropped = append(dropped, one)
			continue
		}
		kept, left = append(kept, one), max(left, one.over+lingerTime+probeDelay-now, 1)
		probe = probe || one.needsProbe(now)
	}
	s.lingering.replicas[replica] = kept
	if len(kept) == 0 {
		delete(s.lingering.replicas, replica)
	}
	s.lingering.count.Store(int64(len(s.lingering.replicas)))
	s.lingering.mutex.Unlock()
	for _, one := range dropped {
		s.End(one.registered)
	}
	return left, probe
}

// takeLingering removes and returns the attempts of a replica.
func (s *Service) takeLingering(replica Replica) []overAttempt {
	s.lingering.mutex.Lock()
	defer s.lingering.mutex.Unlock()
	attempts := s.lingering.replicas[replica]
	delete(s.lingering.replicas, replica)
	s.lingering.count.Store(int64(len(s.lingering.replicas)))
	return attempts
}
