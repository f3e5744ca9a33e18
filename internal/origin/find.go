package origin

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/holders"
	"stepseam.example/stepseam/internal/identity"
)

// Query describes a stream whose origin is wanted.
type Query struct {
	// Key is the stream's key; Keyed is false if the client does not name the stream.
	Key   Key
	Keyed bool
	// Route is the name of the request's route, and Service the only service that it leads to;
	// empty if there are several.
	Route, Service string
	// Window is longer than any stream of the route lasts, including its client's returns, as far as
	// this node knows. Nodes that know of longer ones extend it.
	Window time.Duration
	// Arrived is when the request arrived; zero means now. The stream began before.
	Arrived time.Time
}

// Resolve returns the origin of a stream. Without a record, it is the only version that the
// service had within the window. Errors wrap ErrUnknown or ErrConflicting; the result contains the
// evidence even then.
func (s *Service) Resolve(ctx context.Context, wanted Query) (Found, error) {
	if wanted.Arrived.IsZero() {
		wanted.Arrived = time.Now()
	}
	found, err := s.resolve(ctx, wanted)
	s.metrics.countResolved(found, err)
	return found, err
}

func (s *Service) resolve(ctx context.Context, wanted Query) (Found, error) {
	if wanted.Keyed {
		if record, conflicting, found := s.table.get(wanted.Key, s.config.Now()); found {
			if conflicting {
				return Found{}, fmt.Errorf("%w: at this node", ErrConflicting)
			}
			return Found{Origin: record.Origin, Source: SourceHere}, nil
		}
	}
	span := s.span(wanted.Route, wanted.Service)
	certain := span.Only && span.Age >= wanted.Window
	only := Found{
		Origin: Origin{Service: wanted.Service, Version: span.Version}, Source: SourceOnlyVersion,
		Evidence: Evidence{Here: span.Age, Window: wanted.Window},
	}
	only.Evidence.setView(span.Confirmed, wanted.Arrived)
	if certain {
		waiting, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		ctx = waiting
	}
	ranked := wanted.Key
	if !wanted.Keyed {
		binary.BigEndian.PutUint64(ranked[:], rand.Uint64()) // any nodes may know of another version
	}
	answers := s.ask(ctx, s.recipients(ranked), wanted)
	if answers.found != nil {
		s.table.put(*answers.found, s.config.Now())
		return Found{Origin: answers.found.Origin, Source: SourceHolder, Node: answers.from}, nil
	}
	if answers.conflicting {
		return Found{}, fmt.Errorf("%w: at %s", ErrConflicting, answers.from)
	}
	only.Evidence.Asked, only.Evidence.Answered = answers.asked, answers.answered
	if span.Only && answers.confirm(&only) {
		return only, nil
	}
	return Found{Evidence: only.Evidence}, fmt.Errorf("%w: %d of %d nodes answered; one version here: %t, for %v, at %q for %v, of %v", ErrUnknown, answers.answered, answers.asked,
		span.Only, span.Age.Round(time.Millisecond), only.Node, only.Evidence.There.Round(time.Millisecond), only.Evidence.Window)
}

func (s *Service) span(route, service string) fleet.VersionSpan {
	if service == "" || s.versions == nil {
		return fleet.VersionSpan{}
	}
	return s.versions(route, service)
}

// possibleHolders returns the nodes that may have a stream's record. Nodes that stop hold their
// records to the end, and are not among those that others have copied a record to since.
func (s *Service) possibleHolders(key Key) []recipient {
	if s.config.Peers == nil {
		return nil
	}
	known := s.copies.Members()
	rank := func(members *holders.Set) []identity.Node {
		return members.Rank(holders.Key(key), s.config.Self, holders.Queried, holders.QueriedPerZone)
	}
	found := rank(known.Reachable)
	if len(known.Reachable.Nodes()) < len(known.All.Nodes()) {
		found = lo.Uniq(append(found, rank(known.All)...))
	}
	return lo.Map(found, func(holder identity.Node, _ int) recipient { return recipient{Node: holder} })
}

// answers are the answers of other nodes to a query.
type answers struct {
	asked, answered int
	// found is the record, and from the node that has it or a conflicting one.
	found       *Record
	from        identity.NodeName
	conflicting bool
	// histories are the versions of the service as known to the nodes that answered.
	histories []history
}

// history is what a node knows of a service's versions.
type history struct {
	node identity.NodeName
	fleet.VersionSpan
}

// confirm reports whether the version of only, the only one known here, was the only one for its
// window by this node's or by another's knowledge, without any that knows of another. It adds the
// longest history of another node to only.
func (a *answers) confirm(only *Found) bool {
	for _, there := range a.histories {
		only.Evidence.Window = max(only.Evidence.Window, there.StreamLifetime)
		if there.Several || there.Only && there.Version != only.Version {
			only.Node, only.Evidence.There = there.node, 0
			return false
		}
		if there.Only && there.Age > only.Evidence.There {
			only.Node, only.Evidence.There = there.node, there.Age
		}
	}
	return max(only.Evidence.Here, only.Evidence.There) >= only.Evidence.Window
}

const (
	// queryTimeout bounds a query, beside the round trips to the other node.
	queryTimeout = 250 * time.Millisecond
	// confirmTimeout bounds all queries if this node knows of one version only: the holders
	// could at most know of one that has just appeared.
	confirmTimeout = 30 * time.Millisecond
	// relayTimeout bounds the queries on behalf of another node, whose own takes longer.
	relayTimeout = queryTimeout / 2
	// joinTime is how long after its start a node may not know all members yet, and has some of
	// the seeds ask the holders on its behalf. askedSeeds is their number.
	joinTime   = 3 * time.Second
	askedSeeds = 3
)

// recipient is a node to query. relays reports that it is to ask the holders in turn.
type recipient struct {
	identity.Node
	relays bool
}

func (s *Service) recipients(key Key) []recipient {
	all := s.possibleHolders(key)
	if s.config.Peers == nil || s.config.Now()-s.startedAt > joinTime {
		return all
	}
	seeds := lo.Without(s.config.Seeds, s.config.Address)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, seed := range seeds[:min(len(seeds), askedSeeds)] {
		all = append(all, recipient{Node: identity.Node{Name: identity.NodeName(seed.String()), PeerAddress: seed}, relays: true})
	}
	return all
}

// ask queries nodes for a stream's record, until one has it or all have answered.
func (s *Service) ask(ctx context.Context, recipients []recipient, wanted Query) *answers {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		from     identity.NodeName
		response *queryResponse
	}
	results := make(chan result, len(recipients))
	for _, holder := range recipients {
		message := &query{Keyed: wanted.Keyed, Key: wanted.Key, Route: wanted.Route, Service: wanted.Service, Relays: holder.relays}
		go func() {
			// A new connection takes a round trip before the one of the query.
			call, cancel := context.WithTimeout(ctx, queryTimeout+2*s.copies.RoundTrip(holder.Zone))
			defer cancel()
			answer, err := s.config.Peers.Call(call, holder.PeerAddress, message, nil)
			response, _ := answer.(*queryResponse)
			if err != nil {
				response = nil
			}
			results <- result{holder.Name, response}
		}()
	}
	collected := &answers{asked: len(recipients)}
	for range recipients {
		one := <-results
		if one.response == nil {
			continue
		}
		if collected.add(one.from, one.response, wanted); collected.found != nil || collected.conflicting {
			return collected
		}
	}
	return collected
}

func (a *answers) add(from identity.NodeName, response *queryResponse, wanted Query) {
	a.answered++
	switch response.State {
	case stateKnown:
		a.found, a.from = &Record{Key: wanted.Key, Origin: response.Origin, Left: response.Left}, from
	case stateConflicting:
		a.conflicting, a.from = true, from
	case stateUnknown:
	}
	a.histories = append(a.histories, history{from, response.Span})
}

// relay asks the holders of a record on behalf of another node.
func (s *Service) relay(ctx context.Context, received *query) (record Record, conflicting, found bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answers := s.ask(ctx, s.possibleHolders(received.Key), Query{Key: received.Key, Keyed: true})
	if answers.found != nil {
		return *answers.found, false, true
	}
	return Record{}, answers.conflicting, answers.conflicting
}
