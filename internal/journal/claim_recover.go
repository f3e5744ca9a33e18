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

// recover gets the tail from the former replicas, which reject the former owner
// from then on, waits until its lease has expired, and appends the tail to the log
// together with the activation.
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
	tail, err := recovered.after(c.stream.ledger.Index())
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

// newestTail returns the longest tail of the highest term among responses, and how
// long leases that they report may still be valid. The writer of a term has
// recovered all records that were replicated under lower terms.
func newestTail(answers []replicaResponse) (tail Tail, remaining time.Duration) {
	var tails []Tail
	var term uint64
	for _, answer := range answers {
		remaining = max(remaining, answer.remaining)
		if !answer.hasTail || answer.term < term {
			continue
		}
		if answer.term > term {
			term, tails = answer.term, nil
		}
		tails = append(tails, answer.tail)
	}
	return Longest(tails), remaining
}

// recoveryRecords returns the log records that contain tail, with the activation
// last.
func (c *claimant) recoveryRecords(claim, former Claim, tail Tail) []*Record {
	m := c.manager
	var records []*Record
	if tail.Compacted {
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

// collectPromises queries the former replicas until enough of them promised.
func (c *claimant) collectPromises(ctx context.Context, claim, former Claim) ([]replicaResponse, error) {
	for attempt := 0; ; attempt++ {
		answers := c.queryReplicas(former, func(node identity.Node) (replicaResponse, error) {
			return c.requestPromise(ctx, node, &promiseRequest{Epoch: claim.Epoch}, former)
		})
		counted := responseCount{replicas: len(former.Replicas)}
		for _, answer := range answers {
			switch {
			case answer.fenced:
				return nil, fmt.Errorf("%w: replicas promised a higher epoch", errLostRace)
			case answer.restarted:
				counted.restarted++
			default:
				counted.answered++
			}
		}
		if counted.complete() {
			c.reportMissingRecords(counted, former)
			return answers, nil
		}
		if err := wait.For(ctx, minReplicaBackoff<<min(attempt, 5)); err != nil {
			return nil, fmt.Errorf("%w: %d of %d", errNoQuorum, counted.answered, counted.replicas)
		}
	}
}

// reportMissingRecords logs and counts a recovery after which acknowledged records
// may be missing.
func (c *claimant) reportMissingRecords(counted responseCount, former Claim) {
	if !counted.mayMissRecords() {
		return
	}
	c.manager.counters.mayLack.Add(1)
	c.manager.config.Logger.Error("recovered from too few replicas: acknowledged records may be missing",
		"shard", uint32(c.shard), "epoch", uint64(former.Epoch), "answered", counted.answered, "gone", counted.restarted)
}

func (c *claimant) requestPromise(ctx context.Context, node identity.Node, request *promiseRequest, former Claim) (replicaResponse, error) {
	var encoded []byte
	request.To, request.Shard = node.Reference(), c.shard
	message, err := c.manager.callWithin(ctx, c.manager.config.LogTimeout, node, request, func(part peer.Message) error {
		piece, fits := part.(*promisePart)
		if !fits {
			return errUnexpectedResponse
		}
		encoded = append(encoded, piece.Bytes...)
		return nil
	})
	if err != nil {
		return replicaResponse{}, err
	}
	promise, fits := message.(*promiseResponse)
	if !fits {
		return replicaResponse{}, errUnexpectedResponse
	}
	given := replicaResponse{restarted: promise.Status == OtherIncarnation, remaining: promise.Remaining, fenced: promise.Status == Fenced}
	if promise.Status != Granted || !former.accepts(promise.TailEpoch) {
		return given, nil
	}
	decoder := wire.NewDecoder(encoded)
	given.tail.decode(decoder)
	given.hasTail, given.term = true, promise.TailTerm
	return given, decoder.Finish()
}
