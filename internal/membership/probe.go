package membership

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// probe is one ping under way.
type probe struct {
	sequence uint32
	target   *record
	// indirectAt is when relays are asked; zero once they were.
	indirectAt time.Time
	deadline   time.Time
}

// relay is a ping made in another node's place.
type relay struct {
	requester netip.AddrPort
	sequence  uint32
	until     time.Time
}

const (
	// checksPerTick and checkInterval pace the probes that check hearsay, so that
	// a healed cut makes no burst.
	checksPerTick = 4
	checkInterval = 50 * time.Millisecond
	// checkPause is the shortest time between two checks of one member.
	checkPause = time.Second
	// frozenFactor times the probe interval without a tick means that this
	// process stood still and that its timers tell nothing of others.
	frozenFactor = 2
	// joinContacts is how many seeds are tried at once while nobody is known.
	joinContacts = 3
)

// Tick does what is due at now and returns what to send.
func (s *State) Tick(now time.Time) []Datagram {
	s.noticeFreeze(now)
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
	s.runChecks(now)
	return s.takeOutbox()
}

// Next returns when Tick is due. Receive may bring it forward.
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
	for _, known := range s.suspects() {
		sooner(known.suspectUntil)
		sooner(known.nextAppeal)
	}
	if len(s.checks) > 0 {
		sooner(s.nextCheck)
	}
	return next
}

// noticeFreeze tells a standstill of this process from the silence of others:
// answers may wait unread, so nobody is blamed for the time that passed.
func (s *State) noticeFreeze(now time.Time) {
	gap := now.Sub(s.lastSeen)
	s.lastSeen = now
	if gap < frozenFactor*s.config.ProbeInterval {
		return
	}
	s.probes = nil
	for _, known := range s.suspects() {
		known.suspectUntil = known.suspectUntil.Add(gap)
	}
	s.nextProbe = now
}

// suspects returns the suspected records, in the order of the rotation.
func (s *State) suspects() []*record {
	if s.suspected == 0 {
		return nil
	}
	var all []*record
	for _, known := range s.rotation {
		if known.condition == conditionSuspect {
			all = append(all, known)
		}
	}
	return all
}

// startProbe pings the next member of the rotation, which is shuffled anew after
// each round: every member is probed once per round.
func (s *State) startProbe(now time.Time) {
	for range len(s.rotation) {
		if s.rotated >= len(s.rotation) {
			s.rotated = 0
			s.random.Shuffle(len(s.rotation), func(i, j int) {
				s.rotation[i], s.rotation[j] = s.rotation[j], s.rotation[i]
			})
		}
		target := s.rotation[s.rotated]
		s.rotated++
		if !target.condition.gone() {
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
			s.askRelays(started)
			s.probes = append(s.probes, started)
		default:
			s.probes = append(s.probes, started)
		}
	}
}

func (s *State) askRelays(started *probe) {
	relays := s.sample(s.config.IndirectProbes, func(r *record) bool {
		return r != started.target && !r.condition.gone() && r.condition != conditionSuspect
	})
	for _, member := range relays {
		s.send(member.node.ProbeAddress, member, &datagram{
			kind: kindPingRequest, sequence: started.sequence, target: started.target.node,
		})
	}
}

func (s *State) failProbe(now time.Time, started *probe) {
	target := started.target
	if target.condition.gone() || s.records[target.node.Name] != target {
		return
	}
	if target.condition != conditionSuspect {
		s.suspect(now, target, max(target.refutation, target.rumour))
	}
	target.accused = true
}

// suspect marks the member and gives it time to refute.
func (s *State) suspect(now time.Time, target *record, refutation uint32) {
	s.statistics.Suspicions++
	s.change(target, func() {
		target.condition = conditionSuspect
		target.refutation = refutation
	})
	target.suspectUntil = now.Add(s.suspicionTime())
	target.nextAppeal = now
	target.accused = false
}

// suspicionTime grows with the logarithm of the site, as the spread of news does.
func (s *State) suspicionTime() time.Duration {
	scale := max(1, math.Log10(float64(s.live)))
	return time.Duration(float64(s.config.ProbeInterval) * float64(s.config.SuspicionFactor) * scale)
}

// expireSuspects buries suspects whose time ran out. Until then this node keeps
// pinging those whom it accused itself, which tells them of the accusation.
func (s *State) expireSuspects(now time.Time) {
	for _, known := range s.suspects() {
		if !now.Before(known.suspectUntil) {
			s.bury(now, known, conditionDead)
			continue
		}
		if now.Before(known.nextAppeal) {
			continue
		}
		known.nextAppeal = now.Add(s.config.ProbeInterval)
		if known.accused {
			s.ping(known)
		}
	}
}

func (s *State) bury(now time.Time, known *record, as condition) {
	s.statistics.Deaths++
	s.change(known, func() { known.condition = as })
	known.diedAt = now
}

// reconnect contacts a seed or a member held dead, and forgets the long dead.
func (s *State) reconnect(now time.Time) {
	joining := s.live == 1
	wait := s.config.ReconnectInterval
	contacts := 1
	if joining {
		wait, contacts = s.config.ProbeInterval, joinContacts
	}
	s.nextReconnect = now.Add(wait)
	for _, address := range s.strangers(now, contacts) {
		s.sequence++
		s.send(address, nil, &datagram{kind: kindPing, sequence: s.sequence})
	}
}

// strangers picks addresses of seeds and of dead members at which no live member
// is known.
func (s *State) strangers(now time.Time, count int) []netip.AddrPort {
	answered := map[netip.AddrPort]bool{}
	var dead []*record
	candidates := slices.Clone(s.seeds)
	for _, known := range s.rotation {
		switch {
		case !known.condition.gone():
			answered[known.node.ProbeAddress] = true
		case now.Sub(known.diedAt) > s.config.DeadRetention:
			dead = append(dead, known)
		default:
			candidates = append(candidates, known.node.ProbeAddress)
		}
	}
	for _, known := range dead {
		s.remove(known)
	}
	answered[s.self.node.ProbeAddress] = true
	candidates = slices.DeleteFunc(candidates, func(a netip.AddrPort) bool { return answered[a] })
	s.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(count, len(candidates))]
}

// check has a member probed soon because hearsay contradicts what is held of it.
// The ping tells the member what is said of it.
func (s *State) check(now time.Time, known *record) {
	if known.checking || known == s.self || now.Sub(known.checkedAt) < checkPause {
		return
	}
	known.checking = true
	s.checks = append(s.checks, known)
}

func (s *State) runChecks(now time.Time) {
	if len(s.checks) == 0 || now.Before(s.nextCheck) {
		return
	}
	s.nextCheck = now.Add(checkInterval)
	for range min(checksPerTick, len(s.checks)) {
		known := s.checks[0]
		s.checks = s.checks[1:]
		known.checking = false
		known.checkedAt = now
		if known.condition.gone() {
			s.ping(known)
		} else {
			s.probe(now, known)
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

// sample picks up to count records that satisfy wanted, from a random place of
// the rotation, which is in random order itself.
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
