package quarantine

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	// lingerTime is how long after an attempt is over its replica's end still counts for it.
	lingerTime = 500 * time.Millisecond
	// maxLingering bounds the replicas that are watched after their attempts, maxLingeringAttempts the
	// attempts of each.
	maxLingering         = 256
	maxLingeringAttempts = 64
)

// lingering holds the attempts that are over without a whole answer, and whose replicas may yet end
// under them: a request may end its replica after the replica's own failure response, or after its
// client has given up.
type lingering struct {
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
}

// Over is called when an attempt is over without a whole answer to its client and without a doubt about
// its replica: the replica responded with a failure, or the client gave up. If the replica ends within
// lingerTime, that counts as an end under the attempt. One connection is held open to each such replica
// meanwhile, whatever the number of attempts. It does not block.
func (s *Service) Over(request *Request, send Send, registered Attempt, address netip.AddrPort) {
	one := overAttempt{request: request, send: send, registered: registered, over: s.config.Now()}
	s.lingering.mutex.Lock()
	attempts, watched := s.lingering.replicas[send.Replica]
	accepted := len(attempts) < maxLingeringAttempts && (watched || len(s.lingering.replicas) < maxLingering)
	if accepted {
		s.lingering.replicas[send.Replica] = append(attempts, one)
	}
	s.lingering.mutex.Unlock()
	switch {
	case !accepted:
		s.End(registered)
	case !watched:
		go s.linger(send.Replica, address)
	}
}

// linger holds a connection open to a replica until lingerTime has passed after the last attempt. If it
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
		if found == findingAlive || at > one.over+lingerTime {
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
	connection, err := s.config.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	for {
		left := s.lingerLeft(replica)
		if left <= 0 {
			return nil
		}
		if err := connectionEnd(connection, left); err != nil {
			return err
		}
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
// how long it does for the last one.
func (s *Service) lingerLeft(replica Replica) time.Duration {
	now := s.config.Now()
	s.lingering.mutex.Lock()
	var dropped, kept []overAttempt
	left := time.Duration(0)
	for _, one := range s.lingering.replicas[replica] {
		if until := one.over + lingerTime - now; until > 0 {
			kept, left = append(kept, one), max(left, until)
		} else {
			dropped = append(dropped, one)
		}
	}
	s.lingering.replicas[replica] = kept
	if len(kept) == 0 {
		delete(s.lingering.replicas, replica)
	}
	s.lingering.mutex.Unlock()
	for _, one := range dropped {
		s.End(one.registered)
	}
	return left
}

// takeLingering removes and returns the attempts of a replica.
func (s *Service) takeLingering(replica Replica) []overAttempt {
	s.lingering.mutex.Lock()
	defer s.lingering.mutex.Unlock()
	attempts := s.lingering.replicas[replica]
	delete(s.lingering.replicas, replica)
	return attempts
}
