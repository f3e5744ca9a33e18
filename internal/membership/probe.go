package membership

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// probe is a ping in flight.
type probe struct {
	sequence uint32
	target   *record
	// indirectAt is when indirect probes are due; zero once they have been requested.
	indirectAt time.Time
	deadline   time.Time
}

// relay is a ping sent on behalf of another node.
type relay struct {
	requester netip.AddrPort
	sequence  uint32
	until     time.Time
}

const (
	// verificationsPerTick and verificationInterval limit the rate of verifying probes, so
	// that a healed network partition causes no burst.
	verificationsPerTick = 4
	verificationInterval = 50 * time.Millisecond
	// verificationCooldown is the minimum time between two verifications of a member.
	verificationCooldown = time.Second
	// pauseFactor times ProbeInterval without a tick means that this process was paused, so
	// that its expired timers say nothing about other members.
	pauseFactor = 2
	// joinContacts is the number of seeds contacted at once while no other member is known.
	joinContacts = 3
)

// Tick performs the actions due at now and returns the datagrams to send.
func (s *State) Tick(now time.Time) []Datagram {
	s.detectPause(now)
	s.expireProbes(now)
	s.expireSuspects(now)
	if !now.Before(s.nextProbe) {
		s.startProbe(now)
		s.nextProbe = now.Add(s.config.ProbeInterval)
		s.dropRelays(now)
	}
	if !now.Before(s.nextReconnect) {
		s.reconnect(now)
	}
	s.runVerifications(now)
	return s.takeOutbox()
}

// Next returns when Tick is due. Receive may change it to an earlier time.
func (s *State) Next() time.Time {
	next := s.nextProbe
	sooner := func(at time.Time) {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	sooner(s.nextReconnect)
	for _, pending := range s.probes {
		sooner(pending.indirectAt)
		sooner(pending.deadline)
	}
	for _, member := range s.suspects() {
		sooner(member.suspectUntil)
		sooner(member.nextSuspectPing)
	}
	if len(s.verifications) > 0 {
		sooner(s.nextVerification)
	}
	return next
}

// detectPause detects a pause of this process. Responses may be waiting in the socket's
// buffer, so that the time passed does not count against other members.
func (s *State) detectPause(now time.Time) {
	gap := now.Sub(s.lastRun)
	s.lastRun = now
	if gap < pauseFactor*s.config.ProbeInterval {
		return
	}
	s.probes = nil
	for _, member := range s.suspects() {
		member.suspectUntil = member.suspectUntil.Add(gap)
	}
	s.nextProbe = now
}

// suspects returns the suspected members in rotation order.
func (s *State) suspects() []*record {
	if s.suspectCount == 0 {
		return nil
	}
	var all []*record
	for _, member := range s.rotation {
		if member.wireStatus == wireSuspect {
			all = append(all, member)
		}
	}
	return all
}

// startProbe pings the next member of the rotation. The rotation is shuffled after each
// round, so that every member is probed once per round.
func (s *State) startProbe(now time.Time) {
	for range len(s.rotation) {
		if s.rotationIndex >= len(s.rotation) {
			s.rotationIndex = 0
			s.random.Shuffle(len(s.rotation), func(i, j int) {
				s.rotation[i], s.rotation[j] = s.rotation[j], s.rotation[i]
			})
		}
		target := s.rotation[s.rotationIndex]
		s.rotationIndex++
		if !target.wireStatus.terminal() {
			s.probe(now, target)
			return
		}
	}
}

func (s *State) probe(now time.Time, target *record) {
	started := &probe{
		sequence:   s.ping(target),
		target:     target,
		indirectAt: now.Add(s.config.ProbeTimeout),
		deadline:   now.Add(s.config.ProbeInterval),
	}
	s.probes = append(s.probes, started)
}

func (s *State) ping(target *record) uint32 {
	s.sequence++
	s.send(target.node.ProbeAddress, target, &datagram{kind: kindPing, sequence: s.sequence, target: target.node})
	return s.sequence
}

func (s *State) expireProbes(now time.Time) {
	pending := s.probes
	s.probes = nil
	for _, started := range pending {
		switch {
		case !now.Before(started.deadline):
			s.failProbe(now, started)
		case !started.indirectAt.IsZero() && !now.Before(started.indirectAt):
			started.indirectAt = time.Time{}
			s.requestIndirectProbes(started)
			s.probes = append(s.probes, started)
		default:
			s.probes = append(s.probes, started)
		}
	}
}

func (s *State) requestIndirectProbes(started *probe) {
	relays := s.sample(s.config.IndirectProbes, func(r *record) bool {
		return r != started.target && !r.wireStatus.terminal() && r.wireStatus != wireSuspect
	})
	for _, member := range relays {
		s.send(member.node.ProbeAddress, member, &datagram{
			kind: kindPingRequest, sequence: started.sequence, target: started.target.node,
		})
	}
}

func (s *State) failProbe(now time.Time, started *probe) {
	target := started.target
	if target.wireStatus.terminal() || s.records[target.node.Name] != target {
		return
	}
	if target.wireStatus != wireSuspect {
		s.suspect(now, target, max(target.refutation, target.reportedDeadAt))
	}
	target.suspectedLocally = true
}

// suspect marks the member as suspect and starts its time to refute.
func (s *State) suspect(now time.Time, target *record, refutation uint32) {
	s.statistics.Suspicions++
	s.change(target, func() {
		target.wireStatus = wireSuspect
		target.refutation = refutation
	})
	target.suspectUntil = now.Add(s.suspicionTime())
	target.nextSuspectPing = now
	target.suspectedLocally = false
}

// suspicionTime grows with the logarithm of the site's size, as the dissemination of
// updates does.
func (s *State) suspicionTime() time.Duration {
	scale := max(1, math.Log10(float64(s.live)))
	return time.Duration(float64(s.config.ProbeInterval) * float64(s.config.SuspicionFactor) * scale)
}

// expireSuspects declares suspects dead whose time has run out. Until then this node keeps
// pinging the ones that it suspected itself, which informs them of the suspicion.
func (s *State) expireSuspects(now time.Time) {
	for _, member := range s.suspects() {
		if !now.Before(member.suspectUntil) {
			s.declareDead(now, member, wireDead)
			continue
		}
		if now.Before(member.nextSuspectPing) {
			continue
		}
		member.nextSuspectPing = now.Add(s.config.ProbeInterval)
		if member.suspectedLocally {
			s.ping(member)
		}
	}
}

func (s *State) declareDead(now time.Time, member *record, status wireStatus) {
	s.statistics.Deaths++
	s.change(member, func() { member.wireStatus = status })
	member.diedAt = now
}

// reconnect pings seeds or dead members, and deletes long-dead members.
func (s *State) reconnect(now time.Time) {
	joining := s.live == 1
	wait := s.config.ReconnectInterval
	contacts := 1
	if joining {
		wait, contacts = s.config.ProbeInterval, joinContacts
	}
	s.nextReconnect = now.Add(wait)
	for _, address := range s.reconnectCandidates(now, contacts) {
		s.sequence++
		s.send(address, nil, &datagram{kind: kindPing, sequence: s.sequence})
	}
}

// reconnectCandidates picks addresses of seeds and dead members that no live member uses.
func (s *State) reconnectCandidates(now time.Time, count int) []netip.AddrPort {
	inUse := map[netip.AddrPort]bool{}
	var expired []*record
	candidates := slices.Clone(s.seeds)
	for _, member := range s.rotation {
		switch {
		case !member.wireStatus.terminal():
			inUse[member.node.ProbeAddress] = true
		case now.Sub(member.diedAt) > s.config.DeadRetention:
			expired = append(expired, member)
		default:
			candidates = append(candidates, member.node.ProbeAddress)
		}
	}
	for _, member := range expired {
		s.remove(member)
	}
	inUse[s.self.node.ProbeAddress] = true
	candidates = slices.DeleteFunc(candidates, func(a netip.AddrPort) bool { return inUse[a] })
	s.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(count, len(candidates))]
}

// verify schedules a probe of a member, since an indirect report contradicts its record.
// The ping informs the member of the report.
func (s *State) verify(now time.Time, member *record) {
	if member.verifying || member == s.self || now.Sub(member.verifiedAt) < verificationCooldown {
		return
	}
	member.verifying = true
	s.verifications = append(s.verifications, member)
}

func (s *State) runVerifications(now time.Time) {
	if len(s.verifications) == 0 || now.Before(s.nextVerification) {
		return
	}
	s.nextVerification = now.Add(verificationInterval)
	for range min(verificationsPerTick, len(s.verifications)) {
		member := s.verifications[0]
		s.verifications = s.verifications[1:]
		member.verifying = false
		member.verifiedAt = now
		if member.wireStatus.terminal() {
			s.ping(member)
		} else {
			s.probe(now, member)
		}
	}
}

func (s *State) dropRelays(now time.Time) {
	for sequence, pending := range s.relays {
		if now.After(pending.until) {
			delete(s.relays, sequence)
		}
	}
}

// sample picks up to count records that satisfy wanted, starting at a random position of
// the shuffled rotation.
func (s *State) sample(count int, wanted func(*record) bool) []*record {
	var picked []*record
	if len(s.rotation) == 0 {
		return nil
	}
	offset := s.random.IntN(len(s.rotation))
	for i := range s.rotation {
		candidate := s.rotation[(offset+i)%len(s.rotation)]
		if len(picked) < count && wanted(candidate) {
			picked = append(picked, candidate)
		}
	}
	return picked
}
