package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Receive handles a datagram and returns the datagrams to send. An invalid datagram is
// counted and otherwise ignored.
func (s *State) Receive(now time.Time, from netip.AddrPort, payload []byte) []Datagram {
	message, err := decodeDatagram(payload)
	if err != nil {
		s.statistics.Invalid++
		return nil
	}
	s.detectPause(now)
	s.apply(now, &message.sender, true)
	if s.fromOldIncarnation(&message.sender) {
		s.reply(from, &message, kindNotice)
		return s.takeOutbox()
	}
	s.syncing = message.kind == kindSyncReply
	before := len(s.records)
	for i := range message.updates {
		s.apply(now, &message.updates[i], false)
	}
	if s.syncing {
		s.recordSync(now, len(s.records) > before)
	}
	s.syncing = false
	switch message.kind {
	case kindPing:
		s.handlePing(from, &message)
	case kindPingRequest:
		s.handlePingRequest(now, from, &message)
	case kindAcknowledge:
		s.handleAcknowledge(&message)
	case kindSyncRequest:
		s.handleSyncRequest(now, from, &message)
	case kindSyncReply, kindNotice:
	}
	if !message.sender.wireStatus.terminal() {
		s.compareViews(now, from, &message)
	}
	return s.takeOutbox()
}

// fromOldIncarnation reports whether the sender is an old incarnation of a known member. It
// is notified of that, and its datagram is ignored.
func (s *State) fromOldIncarnation(sender *update) bool {
	member := s.records[sender.node.Name]
	return member != nil && member.node.Incarnation > sender.node.Incarnation
}

func (s *State) handlePing(from netip.AddrPort, message *datagram) {
	if message.target.Name != "" && message.target.Name != s.self.node.Name {
		return
	}
	s.reply(from, message, kindAcknowledge)
}

// reply responds to message. If the record of the sender is newer than the sender's own
// status, the reply includes it.
func (s *State) reply(to netip.AddrPort, message *datagram, kind datagramKind) {
	response := &datagram{kind: kind, sequence: message.sequence}
	member := s.records[message.sender.node.Name]
	if member != nil && member.compareGeneration(&message.sender) > 0 {
		response.updates = []update{member.update}
	}
	s.send(to, member, response)
}

// relayTTL is how long a relay forwards an acknowledgement.
const relayTTL = 5 * time.Second

func (s *State) handlePingRequest(now time.Time, from netip.AddrPort, message *datagram) {
	s.sequence++
	s.relays[s.sequence] = relay{requester: from, sequence: message.sequence, until: now.Add(relayTTL)}
	s.send(message.target.ProbeAddress, s.records[message.target.Name], &datagram{
		kind: kindPing, sequence: s.sequence, target: message.target,
	})
}

func (s *State) handleAcknowledge(message *datagram) {
	if pending, found := s.relays[message.sequence]; found {
		delete(s.relays, message.sequence)
		s.send(pending.requester, nil, &datagram{kind: kindAcknowledge, sequence: pending.sequence})
		return
	}
	for i, started := range s.probes {
		if started.sequence == message.sequence {
			s.probes = slices.Delete(s.probes, i, i+1)
			return
		}
	}
}

// apply applies a report on a member; direct means that the member itself has sent it.
func (s *State) apply(now time.Time, report *update, direct bool) {
	if report.node.Name == s.self.node.Name {
		s.applyToSelf(report)
		return
	}
	member, found := s.records[report.node.Name]
	if !found {
		if !report.wireStatus.adverse() {
			s.insert(&record{update: *report})
		}
		return
	}
	order := member.compareGeneration(report)
	if direct && order == 0 {
		s.updateInfo(member, report)
	}
	switch {
	case order > 0:
		return
	case report.wireStatus.adverse():
		s.applyAdverse(now, member, report)
	case order < 0:
		s.change(member, func() { member.update = *report })
		member.reportedDead = false
	case member.wireStatus.terminal():
		s.verify(now, member)
	case report.wireStatus > member.wireStatus:
		s.change(member, func() { member.wireStatus = report.wireStatus })
	}
}

// updateInfo updates the piggybacked information. The table version never decreases, so
// that a reordered datagram does not restore an older one.
func (s *State) updateInfo(member *record, report *update) {
	version := max(member.tableVersion, report.tableVersion)
	if member.tableVersion != version || member.load != report.load {
		member.tableVersion, member.load = version, report.load
		s.infoVersion++
	}
}

// compareGeneration compares the incarnation and refutation count of a record and a report.
func (r *record) compareGeneration(report *update) int {
	return cmp.Or(
		cmp.Compare(r.node.Incarnation, report.node.Incarnation),
		cmp.Compare(r.refutation, report.refutation),
	)
}

// applyToSelf refutes adverse reports on this node and detects a later incarnation of it.
func (s *State) applyToSelf(report *update) {
	if report.node.Incarnation > s.self.node.Incarnation {
		s.superseded = max(s.superseded, report.node.Incarnation)
		return
	}
	if report.node.Incarnation < s.self.node.Incarnation || s.self.wireStatus.terminal() {
		return
	}
	if s.self.compareGeneration(report) <= 0 && report.wireStatus.adverse() {
		s.statistics.Refutations++
		s.change(s.self, func() { s.self.refutation = report.refutation + 1 })
		s.push()
	}
}

// applyAdverse applies a report that a member is suspect, dead or has left, and that is not
// older than the member's record.
func (s *State) applyAdverse(now time.Time, member *record, report *update) {
	sameIncarnation := member.node.Incarnation == report.node.Incarnation
	if member.wireStatus.terminal() && sameIncarnation && member.refutation == report.refutation {
		return
	}
	switch report.wireStatus {
	case wireSuspect:
		if sameIncarnation && (member.wireStatus < wireSuspect || member.refutation < report.refutation) {
			s.suspect(now, member, report.refutation)
		}
	case wireDead:
		if !sameIncarnation {
			return
		}
		if member.wireStatus == wireSuspect || member.wireStatus.terminal() {
			s.change(member, func() { member.refutation = report.refutation })
			s.declareDead(now, member, wireDead)
			return
		}
		member.reportedDead, member.reportedDeadAt = true, max(member.reportedDeadAt, report.refutation)
		s.verify(now, member)
	case wireLeft:
		s.change(member, func() {
			member.node.Incarnation, member.refutation = report.node.Incarnation, report.refutation
		})
		s.declareDead(now, member, wireLeft)
	}
}
