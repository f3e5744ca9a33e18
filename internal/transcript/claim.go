package transcript

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
)

// maxClaims is how often a transcript is claimed if others claim it at the same time.
const maxClaims = 3

// Resume claims the transcript of a stream that its client has received up to the event with the
// ID position, or from its start if position is -1. It returns the events up to there and the
// writer of those that follow. Errors wrap ErrUnknown or ErrOtherContent.
func (s *Service) Resume(ctx context.Context, stream Stream, position int64) (*Writer, []Event, error) {
	writer, events, err := s.resume(ctx, stream, position)
	s.metrics.countResumed(err)
	return writer, events, err
}

func (s *Service) resume(ctx context.Context, stream Stream, position int64) (*Writer, []Event, error) {
	ballot := Ballot{Round: 2, Writer: rand.Uint64()}
	for range maxClaims {
		claimed := s.claim(ctx, stream, ballot)
		switch {
		case claimed.otherContent:
			return nil, nil, ErrOtherContent
		case claimed.won():
			events, found := prefix(claimed.events, position)
			if !found {
				return nil, nil, fmt.Errorf("%w: no event %d among the %d that %d of %d holders have", ErrUnknown, position, len(claimed.events), len(claimed.promised), len(claimed.holders))
			}
			writer := s.newWriter(stream, ballot, claimed.holders, slices.Clone(events))
			if err := writer.replace(ctx); err != nil {
				return nil, nil, err
			}
			return writer, events, nil
		case claimed.highest.Compare(ballot) <= 0:
			return nil, nil, fmt.Errorf("%w: %d of %d holders answered, of %d nodes asked", ErrUnknown, len(claimed.promised), len(claimed.holders), len(claimed.asked))
		}
		ballot.Round = claimed.highest.Round + 1
	}
	return nil, nil, fmt.Errorf("%w: resumed elsewhere at the same time", ErrUnknown)
}

// claim is the state of one claim of a transcript.
type claim struct {
	service *Service
	request claimRequest
	// holders are the transcript's holders, empty until one has answered.
	holders []identity.Node
	// asked and promised are the nodes that were asked, and that have promised.
	asked, promised map[identity.Reference]bool
	// accepted is the highest ballot under which a holder has events, and events the most of them.
	accepted Ballot
	events   []Event
	// highest is the highest ballot that a holder has promised to another writer.
	highest      Ballot
	otherContent bool
}

// claim asks the nodes that may hold a transcript, and then those of its holders that have not
// promised the ballot.
func (s *Service) claim(ctx context.Context, stream Stream, ballot Ballot) *claim {
	made := &claim{
		service: s, asked: map[identity.Reference]bool{}, promised: map[identity.Reference]bool{},
		request: claimRequest{Key: stream.Key, Content: stream.Content, Ballot: ballot, Left: min(stream.Lifetime, maxLifetime)},
	}
	made.ask(ctx, s.possibleHolders(stream.Key))
	if len(made.holders) > 0 && !made.decided() {
		made.request.Holders = made.holders
		made.ask(ctx, lo.Reject(made.holders, func(node identity.Node, _ int) bool { return made.promised[node.Reference()] }))
	}
	return made
}

// won reports whether a majority of the holders has promised the ballot.
func (c *claim) won() bool {
	return len(c.holders) > 0 && len(c.promised) >= majority(len(c.holders))
}

func (c *claim) decided() bool {
	return c.otherContent || c.won() || c.highest.Compare(c.request.Ballot) > 0
}

// ask sends the claim to nodes, until it is decided or all have answered.
func (c *claim) ask(ctx context.Context, nodes []identity.Node) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		from     identity.Reference
		response *claimResponse
	}
	results := make(chan result, len(nodes))
	request := c.request
	for _, node := range nodes {
		c.asked[node.Reference()] = true
		go func() {
			answer, err := c.service.call(ctx, node, &request)
			response, _ := answer.(*claimResponse)
			if err != nil {
				response = nil
			}
			results <- result{node.Reference(), response}
		}()
	}
	for range nodes {
		one := <-results
		if one.response != nil {
			c.add(one.from, one.response)
		}
		if c.decided() {
			return
		}
	}
}

// add counts the answer of a node.
func (c *claim) add(from identity.Reference, response *claimResponse) {
	if len(c.holders) == 0 {
		c.holders = response.Holders
	}
	switch response.Status {
	case statusOtherContent:
		c.otherContent = true
	case statusFenced:
		if response.Promised.Compare(c.highest) > 0 {
			c.highest = response.Promised
		}
	case statusStored:
		if !slices.Contains(referencesOf(c.holders), from) {
			return
		}
		c.promised[from] = true
		order := response.Accepted.Compare(c.accepted)
		if order > 0 || order == 0 && len(response.Events) > len(c.events) {
			c.accepted, c.events = response.Accepted, response.Events
		}
	case statusRefused, statusIncomplete:
	}
}
