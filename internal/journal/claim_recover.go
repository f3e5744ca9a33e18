package journal

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wait"
	"stepseam.example/stepseam/internal/wire"
)

// recover gets the tail from the former replicas, which refuse the former owner
// from then on, waits out what is left of its lease, and brings the tail to the
// log together with the activation.
func (c *claimant) recover(ctx context.Context, claim Claim) error {
	former := c.stream.ledger.Active()
	answers, err := c.collectPromises(ctx, claim, former)
	if err != nil {
		return err
	}
	recovered, remaining := newestTail(answers)
	if err := wait.For(ctx, remaining); err != nil {
		return err
	}
	tail, err := recovered.behind(c.stream.ledger.Index())
	if err != nil {
		return err
	}
	verdict, err := c.stream.append(ctx, true, c.recoveryRecords(claim, former, tail)...)
	if err != nil {
		return err
	}
	if verdict != Valid || c.stream.ledger.Active().Epoch != claim.Epoch {
		return fmt.Errorf("%w: before the activation", errLostRace)
	}
	return nil
}

// newestTail returns the longest tail of the highest term among answers, and how
// long the leases that they tell of may still run. Whoever wrote under a term had
// recovered all that was held under the lower ones.
func newestTail(answers []answer) (tail Tail, remaining time.Duration) {
	var tails []Tail
	var term uint64
	for _, answer := range answers {
		remaining = max(remaining, answer.remaining)
		if !answer.held || answer.term < term {
			continue
		}
		if answer.term > term {
			term, tails = answer.term, nil
		}
		tails = append(tails, answer.tail)
	}
	return Longest(tails), remaining
}

// recoveryRecords returns the log records that bring tail to the log and end
// with the activation.
func (c *claimant) recoveryRecords(claim, former Claim, tail Tail) []*Record {
	m := c.manager
	var records []*Record
	if tail.Folded {
		records = append(records, &Record{
			Kind: SnapshotRecord, ID: m.random.recordID(), Shard: c.shard, Epoch: claim.Epoch,
			Index: tail.After, State: tail.State, Claim: claim, Active: former,
		})
	}
	for after := tail.After; after < tail.Last(); {
		entries, _ := tail.From(after, m.config.BatchBytes)
		records = append(records, &Record{
			Kind: BatchRecord, ID: m.random.recordID(), Shard: c.shard, Epoch: claim.Epoch,
			Index: after, Entries: entries,
		})
		after += uint64(len(entries))
	}
	return append(records, c.activation(claim))
}

// collectPromises asks the former replicas until enough of them promised.
func (c *claimant) collectPromises(ctx context.Context, claim, former Claim) ([]answer, error) {
	for attempt := 0; ; attempt++ {
		answers := c.ask(former, func(node identity.Node) (answer, error) {
			return c.askPromise(ctx, node, &promiseMessage{Epoch: claim.Epoch}, former)
		})
		counted := survey{count: len(former.Replicas)}
		for _, answer := range answers {
			switch {
			case answer.refused:
				return nil, fmt.Errorf("%w: replicas promised a higher epoch", errLostRace)
			case answer.gone:
				counted.gone++
			default:
				counted.answered++
			}
		}
		if counted.complete() {
			c.noteSurvey(counted, former)
			return answers, nil
		}
		if err := wait.For(ctx, replicaPauseShortest<<min(attempt, 5)); err != nil {
			return nil, fmt.Errorf("%w: %d of %d", errNoQuorum, counted.answered, counted.count)
		}
	}
}

// noteSurvey reports a recovery that may lack records.
func (c *claimant) noteSurvey(counted survey, former Claim) {
	if !counted.mayLack() {
		return
	}
	c.manager.counters.mayLack.Add(1)
	c.manager.config.Logger.Error("recovered from too few replicas: acknowledged records may be missing",
		"shard", uint32(c.shard), "epoch", uint64(former.Epoch), "answered", counted.answered, "gone", counted.gone)
}

func (c *claimant) askPromise(ctx context.Context, node identity.Node, request *promiseMessage, former Claim) (answer, error) {
	var encoded []byte
	request.To, request.Shard = node.Reference(), c.shard
	message, err := c.manager.callWithin(ctx, c.manager.config.LogTimeout, node, request, func(part peer.Message) error {
		piece, fits := part.(*promisePart)
		if !fits {
			return errUnexpectedAnswer
		}
		encoded = append(encoded, piece.Bytes...)
		return nil
	})
	if err != nil {
		return answer{}, err
	}
	promise, fits := message.(*promiseAnswer)
	if !fits {
		return answer{}, errUnexpectedAnswer
	}
	given := answer{gone: promise.Refusal == OtherLife, remaining: promise.Remaining, refused: promise.Refusal == Fenced}
	if promise.Refusal != Granted || !former.accepts(promise.TailEpoch) {
		return given, nil
	}
	decoder := wire.NewDecoder(encoded)
	given.tail.decode(decoder)
	given.held, given.term = true, promise.TailTerm
	return given, decoder.Finish()
}

// open serves the shard: it gets the lease and tells the host. The claim stands
// in the log by now, so the wait for the lease has no end of its own: if replicas
