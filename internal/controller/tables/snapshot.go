package tables

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

const (
	// snapshotCheckInterval is the time between two checks whether a snapshot is
	// due.
	snapshotCheckInterval = 5 * time.Second
	// snapshotSearchWindow is how many records back from the end of the stream a
	// starting node searches for a snapshot. Twice the interval between snapshots
	// leaves nodes time to write one.
	snapshotSearchWindow = 2 * table.SnapshotInterval
)

// writeSnapshots appends a snapshot to the stream when one is due. At each check
// about one random node of the site writes; duplicates are harmless.
func (c *Controller) writeSnapshots(ctx context.Context) error {
	for ctx.Err() == nil {
		c.pause(ctx, snapshotCheckInterval)
		members := len(c.config.Board.Members.Load().Members)
		if c.config.Random()*float64(members) > 1 {
			continue
		}
		record, due := c.dueSnapshot()
		if !due {
			continue
		}
		if err := c.appendSnapshot(ctx, record); err != nil {
			c.config.Logger.Debug("snapshot of the table stream not appended", "error", err)
		}
	}
	return nil
}

func (c *Controller) dueSnapshot() ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.reachedEnd || !c.versions.SnapshotDue() {
		return nil, false
	}
	return c.versions.Snapshot(), true
}

func (c *Controller) appendSnapshot(ctx context.Context, record []byte) error {
	ctx, cancel := context.WithTimeout(ctx, responseMargin)
	defer cancel()
	if _, err := c.config.Log.Append(ctx, table.Stream, [][]byte{record}); err != nil {
		return fmt.Errorf("tables: append summary: %w", err)
	}
	return nil
}

// startFromSnapshot adopts the last snapshot near the end of the stream, if there
// is one. Otherwise the stream is read from its beginning.
func (c *Controller) startFromSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, responseMargin)
	defer cancel()
	first, err := c.config.Log.Read(ctx, table.Stream, 0, 1, 0)
	if err != nil {
		return fmt.Errorf("tables: find the end of the stream: %w", err)
	}
	if first.End <= snapshotSearchWindow {
		return nil
	}
	var found *table.VersionLog
	for from := first.End - snapshotSearchWindow; from < first.End; {
		result, err := c.config.Log.Read(ctx, table.Stream, from, readLimit, 0)
		if err != nil {
			return fmt.Errorf("tables: look for a summary at %d: %w", from, err)
		}
		if len(result.Records) == 0 {
			break
		}
		for index, raw := range result.Records {
			if versions, err := table.DecodeSnapshot(result.From+siteservices.Offset(index), raw); err == nil {
				found = versions
			}
		}
		from = result.Next()
	}
	if found != nil {
		c.adopt(found, c.config.Self)
	}
	return nil
}
