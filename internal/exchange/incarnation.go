package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// IncarnationCheck is what is required of the process that receives a request, where replicas start again
// under their IDs.
type IncarnationCheck int

// The checks of incarnations.
const (
	// IncarnationUnchecked requires nothing.
	IncarnationUnchecked IncarnationCheck = iota
	// IncarnationNotOther rejects a process that reports another start than the target's.
	IncarnationNotOther
	// IncarnationConfirmed rejects a process that does not report the target's start.
	IncarnationConfirmed
)

// Incarnation is what is known of the process at the other end of a connection.
type Incarnation int

// What is known of a process.
const (
	// IncarnationUnasked means that the process was not asked when it started.
	IncarnationUnasked Incarnation = iota
	// IncarnationSame means that it started when the target did, or that each start has a new instance.
	IncarnationSame
	// IncarnationOther means that it started at another time.
	IncarnationOther
	// IncarnationUnreported means that it did not say when it started.
	IncarnationUnreported
	incarnations
)

// String returns the name of the incarnation in logs and metrics.
func (i Incarnation) String() string {
	return [incarnations]string{"unasked", "same", "other", "unreported"}[i]
}

// Incarnations returns the results of asking a process when it started.
func Incarnations() []Incarnation {
	return []Incarnation{IncarnationSame, IncarnationOther, IncarnationUnreported}
}

const (
	// reportTimeout bounds a report. Replicas may be slow to accept a connection or lose a packet.
	reportTimeout = 250 * time.Millisecond
	// maxReportBytes bounds the body of a report, which may list the requests that a replica runs. What exceeds
	// readBuffer is bounded for all reports and heads together.
	maxReportBytes = maxHeadBytes
)

var (
	errOtherIncarnation = errors.New("exchange: another incarnation of the replica has the connection")
	errNoReport         = errors.New("exchange: the replica did not report when it started")
	// errReportEnds means that the connection ends with the report.
	errReportEnds = errors.New("exchange: the connection ends behind the report")
)

// incarnationCounts count the results of asking processes when they started.
type incarnationCounts [incarnations]atomic.Uint64

// Asked returns how often asking a process when it started had a result.
func (c *Client) Asked(result Incarnation) uint64 { return c.asked[result].Load() }

// incarnationOf returns what is known of the process at the other end of a connection. An instance that does
// not publish its start has one incarnation.
func (c *Client) incarnationOf(used *connection) Incarnation {
	if used.target.StartedAtMs == 0 || c.names.ReportPath == "" {
		return IncarnationSame
	}
	return used.incarnation
}

// connect returns a connection to target on which request may be sent. A new one is made if fresh is set. A
// replica that does not report gets the request if its check allows that. Every error is a *FailureError.
func (c *Client) connect(ctx context.Context, target Target, request Request, fresh bool) (*connection, error) {
	var unreported error
	for again := true; again; fresh = true {
		used, err := c.open(ctx, target, request, fresh)
		if err != nil {
			return nil, &FailureError{Outcome: OutcomeNotRun, Reason: ReasonConnect, Cause: err}
		}
		known := c.incarnationOf(used)
		if request.Incarnation == IncarnationUnchecked || known == IncarnationSame {
			return used, nil
		}
		unreported = errNoReport
		if known == IncarnationUnasked {
			unreported = c.ask(ctx, used)
		}
		switch {
		case unreported == nil:
			return used, nil
		case errors.Is(unreported, errOtherIncarnation):
			used.close()
			return nil, &FailureError{Outcome: OutcomeNotRun, Reason: ReasonMoved, Cause: unreported}
		case !used.ended && request.Incarnation == IncarnationNotOther:
			return used, nil
		}
		used.close()
		if ctx.Err() != nil {
			return nil, &FailureError{Outcome: OutcomeNotRun, Reason: ReasonCancelled, Cause: unreported}
		}
		// Its replica may have closed a connection that was idle.
		again = used.served > 0 && !errors.Is(unreported, context.DeadlineExceeded)
	}
	if request.Incarnation == IncarnationNotOther {
		request.Incarnation = IncarnationUnchecked
		return c.connect(ctx, target, request, true)
	}
	return nil, &FailureError{Outcome: OutcomeNotRun, Reason: ReasonIncarnation, Cause: unreported}
}

func (c *Client) open(ctx context.Context, target Target, request Request, fresh bool) (*connection, error) {
	if fresh {
		return c.pool.dial(ctx, target)
	}
	return c.pool.get(ctx, target, c.pool.idleRange(request.Repeatable), request.Repeatable && !request.Stream)
}

// ask asks the process at the other end of a connection when it started. The answer holds for as long as
// the connection is open, which ends with the process.
func (c *Client) ask(ctx context.Context, used *connection) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, used.close)
	startedAtMs, err := c.readStart(used)
	if !stop() {
		err = errors.Join(err, ctx.Err())
	}
	used.ended = err != nil
	switch {
	case errors.Is(err, errOtherIncarnation):
		used.incarnation = IncarnationOther
	case startedAtMs == used.target.StartedAtMs:
		used.incarnation = IncarnationSame
	case startedAtMs == 0:
		used.incarnation = IncarnationUnreported
		err = errors.Join(errNoReport, err)
	default:
		used.incarnation = IncarnationOther
		err = fmt.Errorf("%w: it started at %d, not at %d", errOtherIncarnation, startedAtMs, used.target.StartedAtMs)
	}
	c.asked[used.incarnation].Add(1)
	return err
}

// readStart requests a report and returns the start in it, or 0 without one. After an error the connection
// can't be used for a request.
func (c *Client) readStart(used *connection) (startedAtMs int64, err error) {
	if err := c.requestReport(used); err != nil {
		return 0, err
	}
	response, err := readOneHead(used, http.MethodGet, true)
	if cleared := used.wire.end(); err != nil || cleared != nil {
		return 0, errors.Join(err, cleared)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(c.names.RequestID) != "" {
		c.pool.surplus.record(used.target, SurplusSkipped)
		return 0, errMismatched
	}
	body, err := readReport(used, response.Body)
	if err != nil {
		return 0, err
	}
	if response.Close || used.reader.Buffered() > 0 {
		err = errReportEnds
	}
	switch response.StatusCode {
	case http.StatusOK:
		return c.startIn(body), err
	case http.StatusMisdirectedRequest:
		return 0, errOtherIncarnation
	}
	if response.StatusCode < http.StatusOK {
		return 0, errReportEnds // another head follows
	}
	return 0, err
}

func readReport(used *connection, from io.Reader) ([]byte, error) {
	body, err := readBounded(from, readBuffer)
	if !errors.Is(err, errSkippedSize) {
		return body, err
	}
	if err := used.wire.large.Grow(maxReportBytes); err != nil {
		return nil, fmt.Errorf("exchange: read a report: %w", err)
	}
	defer used.wire.large.Release()
	more, err := readBounded(from, maxReportBytes-len(body))
	return append(body, more...), err
}

// readBounded reads to the end. If there is more than a number of bytes, it returns one more than that, and
// errSkippedSize.
func readBounded(from io.Reader, most int) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(from, int64(most)+1))
	if err == nil && len(read) > most {
		err = errSkippedSize
	}
	return read, err
}

func (c *Client) requestReport(used *connection) error {
	_, err := fmt.Fprintf(used.socket, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.names.ReportPath, used.target.Address)
	if err != nil {
		return fmt.Errorf("exchange: request a report: %w", err)
	}
	return nil
}

// startIn returns the start in a report, or 0.
func (c *Client) startIn(report []byte) int64 {
	var fields map[string]json.RawMessage
	if json.Unmarshal(report, &fields) != nil {
		return 0
	}
	startedAtMs, err := strconv.ParseInt(string(fields[c.names.ReportedStart]), 10, 64)
	if err != nil {
		return 0
	}
	return startedAtMs
}
