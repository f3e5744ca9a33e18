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
	"stepseam.example/stepseam/internal/wait"
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
	ctx, cancel := context.WithCancel(ctx)
	answers, confirmation := s.search(ctx, wanted)
	defer func() {
		cancel()
		<-confirmation.ended
	}()
	if done, found, err := s.recorded(answers); done {
		return found, err
	}
	if proof := s.newProof(wanted, answers); proof.hopeless() {
		return Found{Evidence: proof.evidence}, proof.failure(nil)
	}
	confirmation.await(ctx, hedgeDelay)
	proof := s.newProof(wanted, answers)
	if confirmers := proof.confirmers(); len(confirmers) > 0 {
		s.confirmByOthers(ctx, wanted, answers, confirmers)
		if done, found, err := s.recorded(answers); done {
			return found, err
		}
		proof = s.newProof(wanted, answers)
	}
	if !proof.holds() {
		<-confirmation.ended
		if proof = s.newProof(wanted, answers); !proof.holds() {
			return Found{Evidence: proof.evidence}, proof.failure(confirmation.err)
		}
	}
	return proof.found(), nil
}

// recorded returns what the answers tell of a record; done is false if they tell of none.
func (s *Service) recorded(answers *answers) (done bool, found Found, err error) {
	switch {
	case answers.found != nil:
		s.table.put(*answers.found, s.config.Now())
		return true, Found{Origin: answers.found.Origin, Source: SourceHolder, Node: answers.from}, nil
	case answers.conflicting:
		return true, Found{}, fmt.Errorf("%w: at %s", ErrConflicting, answers.from)
	}
	return false, Found{}, nil
}

// confirmation is the attempt to have the store confirm this node's view. ended is closed once err is
// set.
type confirmation struct {
	ended chan struct{}
	err   error
}

// await waits until the attempt has ended or some time has passed.
func (c *confirmation) await(ctx context.Context, longest time.Duration) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-c.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// search asks other nodes for a record and their histories, and has the store confirm this node's
// view meanwhile. Streams that their clients name nearly always have a record, so that the store
// is read for them only if none is found.
func (s *Service) search(ctx context.Context, wanted Query) (*answers, *confirmation) {
	asking, enough := context.WithCancel(ctx)
	defer enough()
	ranked := wanted.Key
	if !wanted.Keyed {
		binary.BigEndian.PutUint64(ranked[:], rand.Uint64()) // any nodes may know of another version
	}
	asked, started := make(chan *answers, 1), &confirmation{ended: make(chan struct{})}
	go func() {
		began := time.Now()
		started.err = s.confirmBeside(ctx, wanted, asked)
		certain := s.newProof(wanted, &answers{}).holds()
		close(started.ended)
		if certain && wait.For(asking, silentTimeout-time.Since(began)) == nil {
			enough()
		}
	}()
	collected := s.ask(asking, s.recipients(ranked), wanted, askOptions{})
	asked <- collected
	return collected, started
}

// errNotNeeded means that the store was not asked to confirm this node's view, since that would not
// show that there was one version only.
var errNotNeeded = fmt.Errorf("%w: no history is long enough", ErrUnconfirmed)

// confirmBeside has the store confirm this node's view if that may show that there was one version only.
func (s *Service) confirmBeside(ctx context.Context, wanted Query, asked <-chan *answers) error {
	own := s.newProof(wanted, &answers{})
	if wanted.Service == "" || own.contradicted {
		return errNotNeeded
	}
	if wanted.Keyed {
		var silent <-chan time.Time
		if own.possible() {
			silent = time.After(silentTimeout)
		}
		select {
		case collected := <-asked:
			if collected.found != nil || collected.conflicting || !s.newProof(wanted, collected).possible() {
				return errNotNeeded
			}
		case <-silent:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.Confirm(ctx, wanted.Arrived)
}

// confirmByOthers asks nodes to have the store confirm their views, until that of one is.
func (s *Service) confirmByOthers(ctx context.Context, wanted Query, answers *answers, confirmers []recipient) {
	began := time.Now()
	s.ask(ctx, confirmers, wanted, askOptions{
		confirms: true, into: answers,
		enough: func() bool { return s.newProof(wanted, answers).holds() },
	})
	s.metrics.countConfirmation("peer", time.Since(began), s.newProof(wanted, answers).holds())
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

const (
	// queryTimeout bounds a query, beside the round trips to the other node.
	queryTimeout = 250 * time.Millisecond
	// silentTimeout bounds all queries if this node's own view shows that there was one version only:
	// others could at most have a record of that version.
	silentTimeout = 30 * time.Millisecond
	// confirmTimeout bounds the confirmation of a view by the store, and is added to a query's time if
	// the other node has its view confirmed first.
	confirmTimeout = 700 * time.Millisecond
	// hedgeDelay is how long this node's own confirmation may take until others are asked for theirs.
	hedgeDelay = 100 * time.Millisecond
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

// askOptions are options of ask.
type askOptions struct {
	// confirms is set if the nodes are to have the store confirm their views first.
	confirms bool
	// into receives the answers; nil means new ones.
	into *answers
	// enough reports that no more answers are needed; nil means that all are.
	enough func() bool
}

// queryResult is a response to a query, nil if there was none, and when the query was sent and the
// response received.
type queryResult struct {
	from           recipient
	sent, received time.Time
	response       *queryResponse
}

// ask queries nodes for a stream's record, until one has it or all have answered.
func (s *Service) ask(ctx context.Context, recipients []recipient, wanted Query, options askOptions) *answers {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan queryResult, len(recipients))
	for _, holder := range recipients {
		go func() { results <- s.query(ctx, holder, wanted, options.confirms) }()
	}
	collected := options.into
	if collected == nil {
		collected = &answers{}
	}
	collected.asked += len(recipients)
	for range recipients {
		one := <-results
		if one.response == nil {
			continue
		}
		collected.add(&one, wanted)
		if collected.found != nil || collected.conflicting || options.enough != nil && options.enough() {
			return collected
		}
	}
	return collected
}

// query sends one query.
func (s *Service) query(ctx context.Context, to recipient, wanted Query, confirms bool) queryResult {
	message := &query{Keyed: wanted.Keyed, Key: wanted.Key, Route: wanted.Route, Service: wanted.Service, Relays: to.relays, Confirms: confirms}
	// A new connection takes a round trip before the one of the query.
	timeout := queryTimeout + 2*s.copies.RoundTrip(to.Zone)
	if confirms {
		timeout += confirmTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := queryResult{from: to, sent: time.Now()}
	answer, err := s.config.Peers.Call(call, to.PeerAddress, message, nil)
	if err == nil {
		result.received = time.Now()
		result.response, _ = answer.(*queryResponse)
	}
	return result
}

func (a *answers) add(received *queryResult, wanted Query) {
	a.answered++
	response := received.response
	switch response.State {
	case stateKnown:
		a.found, a.from = &Record{Key: wanted.Key, Origin: response.Origin, Left: response.Left}, received.from.Name
	case stateConflicting:
		a.conflicting, a.from = true, received.from.Name
	case stateUnknown:
	}
	a.histories = append(a.histories, newHistory(received, wanted.Arrived))
}

// relay asks the holders of a record on behalf of another node.
func (s *Service) relay(ctx context.Context, received *query) (record Record, conflicting, found bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answers := s.ask(ctx, s.possibleHolders(received.Key), Query{Key: received.Key, Keyed: true}, askOptions{})
	if answers.found != nil {
		return *answers.found, false, true
	}
	return Record{}, answers.conflicting, answers.conflicting
}
