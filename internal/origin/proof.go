package origin

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/identity"
)

// history is what a node knows of a service's versions. If the span has one version only, no entry
// of another was in the store from since until until. It is empty if until is before since.
type history struct {
	fleet.VersionSpan
	// from is the node, without a name for this one.
	from         recipient
	since, until time.Time
}

// maxSilentViewAge is the age of the views by which nodes answer that don't tell it: those of builds
// before confirmations.
const maxSilentViewAge = 3500 * time.Millisecond

// newHistory returns the history in a response to a query for a request that arrived at a time. It
// counts from when the response was received, and ends at the confirmed time before the query was sent, since the
// time in between is not known. It is confirmed after the arrival only if the other node says so of
// the query: an age is measured by a clock that may have stood still.
func newHistory(received *queryResult, arrived time.Time) history {
	response := received.response
	made := history{VersionSpan: response.Span, from: received.from, since: received.received.Add(-response.Span.Age)}
	switch {
	case response.View.Confirmed:
		made.until = received.sent
	case response.View.Known:
		made.until = received.sent.Add(-response.View.Age)
	default:
		made.until = received.sent.Add(-maxSilentViewAge)
	}
	if !response.View.Confirmed && !made.until.Before(arrived) {
		made.until = arrived.Add(-time.Nanosecond)
	}
	return made
}

// proof is what shows that no other version can have begun a stream. Its first event was sent
// before the request arrived, by a node that had read the replica's entry from the store. So
// histories of one version must cover the time from the window before the arrival until then,
// without a gap, and one of them must be confirmed by the store after the arrival. Neither silence nor a
// view of before the arrival tells that.
type proof struct {
	wanted    Query
	histories []history
	// version is the only one known; contradicted reports that a node knows of another, and by whom.
	version       string
	known         bool
	contradicted  bool
	contradicting identity.NodeName
	evidence      Evidence
	// longest is the other node with the longest history.
	longest identity.NodeName
}

// newProof returns the proof by this node's history and those in the answers.
func (s *Service) newProof(wanted Query, answers *answers) *proof {
	span := s.span(wanted.Route, wanted.Service)
	own := history{VersionSpan: span, since: time.Now().Add(-span.Age), until: span.Confirmed}
	made := &proof{
		wanted: wanted, histories: append([]history{own}, answers.histories...), version: span.Version, known: span.Only, contradicted: span.Several,
		evidence: Evidence{Window: wanted.Window, Asked: answers.asked, Answered: answers.answered},
	}
	made.evidence.setView(span.Confirmed, wanted.Arrived)
	if span.Only {
		made.evidence.Here = wanted.Arrived.Sub(own.since)
	}
	for i := range answers.histories {
		made.add(&answers.histories[i])
	}
	return made
}

// add adds another node's history.
func (p *proof) add(there *history) {
	p.evidence.Window = max(p.evidence.Window, there.StreamLifetime)
	if there.Several || there.Only && p.known && there.Version != p.version {
		p.contradicted, p.contradicting = true, there.from.Name
		return
	}
	if !there.Only {
		return
	}
	p.version, p.known = there.Version, true
	if age := p.wanted.Arrived.Sub(there.since); age > p.evidence.There {
		p.longest, p.evidence.There = there.from.Name, age
	}
	if !p.evidence.Confirmed && p.evidence.ConfirmedBy == "" && p.confirms(there) {
		p.evidence.ConfirmedBy = there.from.Name
	}
}

// confirms reports whether the store confirmed a history after the request arrived.
func (p *proof) confirms(one *history) bool { return !one.until.Before(p.wanted.Arrived) }

// holds reports whether no other version can have begun the stream.
func (p *proof) holds() bool { return p.covered(func(*history) bool { return false }) }

// possible reports whether the proof would hold if all views were confirmed.
func (p *proof) possible() bool { return p.covered(func(*history) bool { return true }) }

// hopeless reports that no confirmation would complete the proof.
func (p *proof) hopeless() bool { return p.contradicted || p.histories[0].Only && !p.possible() }

// covered reports whether the histories of one version cover the window, if those that are assumed
// to be confirmed are.
func (p *proof) covered(assumed func(*history) bool) bool {
	if !p.known || p.contradicted {
		return false
	}
	reached := p.wanted.Arrived
	for extended := true; extended; {
		extended = false
		for i := range p.histories {
			one := &p.histories[i]
			if one.Only && one.since.Before(reached) && (!one.until.Before(reached) || assumed(one)) {
				reached, extended = one.since, true
			}
		}
	}
	return !reached.After(p.wanted.Arrived.Add(-p.evidence.Window))
}

// maxConfirmers is the number of nodes that are asked to have the store confirm their views.
const maxConfirmers = 3

// confirmers returns nodes whose history would complete the proof if it were confirmed; none if it
// holds or can't.
func (p *proof) confirmers() []recipient {
	if p.holds() {
		return nil
	}
	var found []recipient
	for i := range p.histories {
		candidate := &p.histories[i]
		if candidate.from.Name != "" && !p.confirms(candidate) && p.covered(func(one *history) bool { return one == candidate }) {
			found = append(found, candidate.from)
		}
	}
	found = lo.UniqBy(found, func(one recipient) identity.NodeName { return one.Name })
	return found[:min(len(found), maxConfirmers)]
}

func (p *proof) found() Found {
	return Found{
		Origin: Origin{Service: p.wanted.Service, Version: p.version}, Source: SourceOnlyVersion, Node: p.longest, Evidence: p.evidence,
	}
}

// failure returns why the proof does not hold. unconfirmed is why this node's view was not confirmed.
func (p *proof) failure(unconfirmed error) error {
	evidence, own := &p.evidence, &p.histories[0]
	if p.contradicted {
		return fmt.Errorf("%w: several versions at %q", ErrUnknown, p.contradicting)
	}
	failure := fmt.Errorf("%w: %d of %d nodes answered; one version here: %t, for %v, at %q for %v, of %v; confirmed: %t, by %q", ErrUnknown, evidence.Answered, evidence.Asked,
		own.Only, evidence.Here.Round(time.Millisecond), p.longest, evidence.There.Round(time.Millisecond), evidence.Window, evidence.Confirmed, evidence.ConfirmedBy)
	if unconfirmed != nil {
		return fmt.Errorf("%w: %w", failure, unconfirmed)
	}
	return failure
}
