package tables

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

const (
	// summaryCheck is the time between two looks whether a summary is due.
	summaryCheck = 5 * time.Second
	// summaryWindow is how far back from its end a starting node searches the
	// stream for a summary. Twice the interval leaves nodes time to write one.
	summaryWindow = 2 * table.SnapshotInterval
)

// summarize appends a summary to the stream when one is due. Each look lets one
// node of the site write, by chance; a second one does no harm.
func (c *Controller) summarize(ctx context.Context) error {
	for ctx.Err() == nil {
		c.pause(ctx, summaryCheck)
		members := len(c.config.Board.Members.Load().Members)
		if c.config.Random()*float64(members) > 1 {
			continue
		}
		record, due := c.dueSummary()
		if !due {
			continue
		}
		if err := c.appendSummary(ctx, record); err != nil {
			c.config.Logger.Debug("summary of the table stream not appended", "error", err)
		}
	}
	return nil
}

func (c *Controller) dueSummary() ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.reachedEnd || !c.ledger.SnapshotDue() {
		return nil, false
	}
	return c.ledger.Snapshot(), true
}

func (c *Controller) appendSummary(ctx context.Context, record []byte) error {
	ctx, cancel := context.WithTimeout(ctx, answerGrace)
	defer cancel()
	if _, err := c.config.Log.Append(ctx, table.Stream, [][]byte{record}); err != nil {
		return fmt.Errorf("tables: append summary: %w", err)
	}
	return nil
}

// startFromSummary takes over the last summary near the end of the stream, if
// there is one. Without, the stream is read from its beginning.
func (c *Controller) startFromSummary(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerGrace)
	defer cancel()
	first, err := c.config.Log.Read(ctx, table.Stream, 0, 1, 0)
	if err != nil {
		return fmt.Errorf("tables: find the end of the stream: %w", err)
	}
	if first.End <= summaryWindow {
		return nil
	}
	var found *table.VersionLog
	for from := first.End - summaryWindow; from < first.End; {
		result, err := c.config.Log.Read(ctx, table.Stream, from, readLimit, 0)
		if err != nil {
			return fmt.Errorf("tables: look for a summary at %d: %w", from, err)
		}
		if len(result.Records) == 0 {
			break
		}
		for index, raw := range result.Records {
			if ledger, err := table.DecodeSnapshot(result.From+siteservices.Offset(index), raw); err == nil {
				found = ledger
			}
		}
		from = result.Next()
	}
	if found != nil {
		c.takeOver(found, c.config.Self)
	}
	return nil
}
