package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

const (
	// archiveIntervals is how many batches are written in the time that the store keeps records, and
	// minArchiveInterval and maxArchiveInterval bound the time between two.
	archiveIntervals   = 16
	minArchiveInterval = 250 * time.Millisecond
	maxArchiveInterval = 5 * time.Second
	// assumedRetention is how long the store keeps records if that is not known.
	assumedRetention = 20 * time.Second
	// idleIntervals is how many intervals pass before a partition without new records is read, or a
	// position is written of which nothing but itself has changed.
	idleIntervals = 4
	// clockIntervals is how many intervals pass before the clock of an archive is written of which
	// nothing has changed. A loss of its writer prolongs what is kept by that at most.
	clockIntervals = 16
	// parallelArchives is how many partitions are archived at a time.
	parallelArchives = 4
	// archiveAppendTimeout bounds one call that writes to an archive.
	archiveAppendTimeout = 2 * time.Second
	// maxBatchCalls bounds the texts of one batch to what fits that many calls.
	maxBatchCalls = 2
)

// archiveInterval returns the time between two batches.
func (c *Config) archiveInterval() time.Duration {
	retain := c.Retain
	if retain == 0 {
		retain = assumedRetention
	}
	return min(max(retain/archiveIntervals, minArchiveInterval), maxArchiveInterval)
}

// archiver copies what outlives the log from one partition of the ledger to its archive. Any number of
// nodes may do so at a time: each call says where the archive must end, so that it fails if another
// node has written since this one read it.
type archiver struct {
	ledger    *Ledger
	number    int
	partition *partition
	archive   *archive
	interval  time.Duration

	// running is held while a batch is written.
	running sync.Mutex
	// mutex guards written; only the holder of running replaces or changes it.
	mutex sync.Mutex
	// written is what the archive has, as far as known; nil if it has to be read.
	written *archivedState
	// checked is set once this node has coordinated the partition. dueAt is when the next batch is due,
	// 0 while the node does not coordinate the partition. Only runArchivers uses both.
	checked bool
	dueAt   time.Time
}

// archivedState is what an archive has. Invariant: texts counts in how many chains of turns each
// location is.
type archivedState struct {
	end logstore.Offset
	// hasPosition is set if the archive has a position, which is written at once: where there is none,
	// dropped records may be those of a build without archives.
	hasPosition bool
	position    uint64
	// clock is the reading of the archive's clock at a time of this node.
	clock    ledger.Clocks
	accounts map[ledger.ProgramID]struct{}
	turns    map[ledger.TurnID][]ledger.Location
	texts    map[ledger.Location]int
	// wroteAt is when the position was written, a time of this node.
	wroteAt time.Duration
}

func newArchiver(owner *Ledger, number int) *archiver {
	p := owner.partitions[number]
	return &archiver{ledger: owner, number: number, partition: p, archive: p.reader.archive, interval: owner.config.archiveInterval()}
}

// runArchivers archives the partitions that this node coordinates, at regular intervals until ctx
// ends.
func (l *Ledger) runArchivers(ctx context.Context, coordinates func(partition int) bool) {
	if len(l.archivers) == 0 {
		return
	}
	ticker := time.NewTicker(minArchiveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.writeArchives(ctx, func(one *archiver) bool { return one.due(coordinates(one.number), time.Now()) })
		case <-ctx.Done():
			return
		}
	}
}

// writeArchives writes the chosen archives. What could not be written is logged, and written with the next
// batch.
func (l *Ledger) writeArchives(ctx context.Context, chosen func(*archiver) bool) {
	var group errgroup.Group
	group.SetLimit(parallelArchives)
	for _, one := range l.archivers {
		if !chosen(one) {
			continue
		}
		group.Go(func() error {
			if err := one.write(ctx); err != nil && ctx.Err() == nil {
				l.texts.metrics.archiveFailures.Inc()
				l.config.Logger.Info("failed to archive a partition", "partition", one.number, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// due reports whether a batch is due. A node that begins to coordinate a partition waits for one
// interval, since ownership moves in less than that while the members change; but for the first time,
// so that a partition soon has a position. A node that does not coordinate it forgets what the archive
// has.
func (a *archiver) due(coordinates bool, now time.Time) bool {
	switch {
	case !coordinates:
		a.dueAt = time.Time{}
		a.setWritten(nil)
		return false
	case !a.checked:
		a.checked = true
	case a.dueAt.IsZero():
		a.dueAt = now.Add(a.interval)
		return false
	case now.Before(a.dueAt):
		return false
	}
	a.dueAt = now.Add(a.interval)
	return true
}

func (a *archiver) setWritten(written *archivedState) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.written = written
}

// loaded reports whether this node knows what the archive has.
func (a *archiver) loaded() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.written != nil
}

// state returns what the archive has, which it reads if that is not known.
func (a *archiver) state(ctx context.Context) (*archivedState, error) {
	a.mutex.Lock()
	written := a.written
	a.mutex.Unlock()
	if written != nil {
		return written, nil
	}
	snapshot, end, err := a.archive.load(ctx)
	if err != nil {
		return nil, err
	}
	// What the snapshot includes must have been read before anything is written over it.
	if err := a.partition.reader.readToEnd(ctx); err != nil {
		return nil, err
	}
	written = &archivedState{
		end: end, hasPosition: snapshot.Found, position: snapshot.Position, clock: ledger.Clocks{Now: a.partition.reader.clock(), Snapshot: snapshot.Clock},
		accounts: map[ledger.ProgramID]struct{}{}, turns: map[ledger.TurnID][]ledger.Location{}, texts: map[ledger.Location]int{},
		wroteAt: a.partition.reader.clock(),
	}
	for _, program := range snapshot.Programs() {
		written.accounts[program] = struct{}{}
	}
	for turn, chain := range snapshot.Turns() {
		written.addTurn(turn, chain)
	}
	if a.partition.reader.adopt(snapshot) {
		written.position = 0
	}
	a.setWritten(written)
	return written, nil
}

func (w *archivedState) addTurn(turn ledger.TurnID, chain []ledger.Location) {
	w.turns[turn] = chain
	for _, location := range chain {
		w.texts[location]++
	}
}

// removeTurn returns the texts that are in no other chain.
func (w *archivedState) removeTurn(turn ledger.TurnID) []ledger.Location {
	var unused []ledger.Location
	for _, location := range w.turns[turn] {
		w.texts[location]--
		if w.texts[location] == 0 {
			delete(w.texts, location)
			unused = append(unused, location)
		}
	}
	delete(w.turns, turn)
	return unused
}

// reading returns the clocks now.
func (w *archivedState) reading(now time.Duration) ledger.Clocks {
	return ledger.Clocks{Now: now, Snapshot: w.clock.Snapshot + now - w.clock.Now}
}

// write brings the archive up to date.
func (a *archiver) write(ctx context.Context) error {
	a.running.Lock()
	defer a.running.Unlock()
	if !a.ledger.config.Availability.Available(a.archive.partition) {
		return nil
	}
	written, err := a.state(ctx)
	if err != nil {
		return err
	}
	for more := true; more; {
		made, err := a.makeBatch(ctx, written)
		if err != nil || made.empty() {
			return err
		}
		err = a.append(ctx, made)
		if err != nil {
			// What the archive has is not known after a call without an outcome, and what it no longer
			// needs is not known after a removal that failed.
			if made.removes || !errors.Is(err, logstore.ErrUnavailable) {
				a.setWritten(nil)
			}
			return err
		}
		more = made.full
	}
	return nil
}

// makeBatch returns the next batch. It reads the partition if there may be records of other nodes that
// are not known here, and before anything is removed: a turn that goes on from one that is to be removed
// has been indexed by then.
func (a *archiver) makeBatch(ctx context.Context, written *archivedState) (*archiveBatch, error) {
	reader := a.partition.reader
	if reader.clock()-reader.lastConfirmed() >= idleIntervals*a.interval {
		if err := reader.readToEnd(ctx); err != nil {
			return nil, err
		}
	}
	made := a.newBatch(written)
	if len(made.goneTurns) > 0 {
		if err := reader.readToEnd(ctx); err != nil {
			return nil, err
		}
		made = a.newBatch(written)
	}
	a.addTexts(ctx, made)
	a.addItems(made)
	return made, nil
}

// archiveBatch is what one batch writes, in this order: texts, turns and accounts, removals, and the
// position.
type archiveBatch struct {
	written  *archivedState
	position uint64
	turns    []ledger.ChangedTurn
	accounts []ledger.ProgramID
	keys     []string
	records  [][]byte
	bytes    int
	// added contains the texts of the batch, inUse those of all turns that have changed, including
	// turns that are left to the next batch.
	added, inUse map[ledger.Location]struct{}
	// removes is set if the batch removes anything, full if turns did not fit.
	removes, full bool
	// goneTurns and goneAccounts are not kept any more.
	goneTurns    []ledger.TurnID
	goneAccounts []ledger.ProgramID
}

func (b *archiveBatch) empty() bool { return len(b.records) == 0 }

func (b *archiveBatch) remove(key string) {
	b.removes = true
	b.add(key, nil)
}

func (b *archiveBatch) add(key string, value []byte) {
	b.keys, b.records = append(b.keys, key), append(b.records, value)
	b.bytes += len(key) + len(value)
}

// newBatch returns a batch with what has changed since the position in the archive.
func (a *archiver) newBatch(written *archivedState) *archiveBatch {
	r := a.partition.reader
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state.Prune(r.clock())
	made := &archiveBatch{
		written: written, position: r.state.Next(), added: map[ledger.Location]struct{}{}, inUse: map[ledger.Location]struct{}{},
	}
	made.turns = r.state.TurnsToStore(written.position, func(turn ledger.TurnID) bool { _, has := written.turns[turn]; return has })
	made.accounts = r.state.AccountsToStore(written.position, func(program ledger.ProgramID) bool { _, has := written.accounts[program]; return has })
	for _, turn := range made.turns {
		for _, location := range turn.Chain {
			made.inUse[location] = struct{}{}
		}
	}
	for turn := range written.turns {
		if !r.state.KnowsTurn(turn) {
			made.goneTurns = append(made.goneTurns, turn)
		}
	}
	for program := range written.accounts {
		if !r.state.Knows(program) {
			made.goneAccounts = append(made.goneAccounts, program)
		}
	}
	return made
}

// addTexts adds the texts that the archive lacks. Turns whose texts can't be read now, or don't fit, are
// left to the next batch, and the position stays before them. A text that the log has
// dropped and no archive has is given up.
func (a *archiver) addTexts(ctx context.Context, made *archiveBatch) {
	for number, turn := range made.turns {
		var missing []ledger.Location
		for _, location := range turn.Chain {
			if !a.hasText(made, location) {
				missing = append(missing, location)
			}
		}
		if len(missing) == 0 {
			continue
		}
		if made.bytes > maxBatchCalls*a.ledger.config.CallBytes {
			made.leave(number)
			made.full = true
			return
		}
		texts, err := a.ledger.textsOf(ctx, turn.Chain[0], missing)
		var lost *TextError
		switch {
		case errors.Is(err, errTextGone) && errors.As(err, &lost):
			a.ledger.config.Logger.Warn("text of a turn is gone before it was archived", "partition", a.number, "turn", turn.Turn, "error", err)
			continue
		case err != nil:
			made.leave(number)
			return
		}
		for i, location := range missing {
			a.addText(made, turn.Chain[0], location, texts[i])
		}
	}
}

// leave leaves the turns from a number on to the next batch. The position stays before them, but does not
// fall: a turn from before it that the archive lacks is one that its former writer did not know.
func (b *archiveBatch) leave(number int) {
	b.position = max(min(b.position, b.turns[number].Changed-1), b.written.position)
	b.turns = b.turns[:number]
}

// hasText reports whether a text is in the archive or in the batch, or is written by the node that
// persists its turn.
func (a *archiver) hasText(made *archiveBatch, location ledger.Location) bool {
	_, isAdded := made.added[location]
	return isAdded || made.written.texts[location] > 0 || !location.Resolved() || a.ledger.writtenWithArchive(location)
}

func (a *archiver) addText(made *archiveBatch, first, location ledger.Location, text []byte) {
	keys, records := encodeText(first, location, text, a.ledger.config.archivePartBytes())
	for i, key := range keys {
		made.add(key, records[i])
	}
	made.added[location] = struct{}{}
}

// textPartFormat is the first byte of each part of a text.
const textPartFormat = 1

// maxKeyBytes bounds the keys of archives.
const maxKeyBytes = 64

// archivePartBytes returns how many bytes of a text fit one record of an archive.
func (c *Config) archivePartBytes() int { return max(c.RecordBytes-maxKeyBytes, 1) }

// encodeText returns the records for a text in an archive.
func encodeText(first, location ledger.Location, text []byte, partBytes int) (keys []string, records [][]byte) {
	prefix := ledger.TextKey(first, location)
	parts := slices.Collect(slices.Chunk(text, partBytes))
	if len(parts) == 0 {
		parts = [][]byte{{}}
	}
	for number, part := range parts {
		keys = append(keys, ledger.TextPartKey(prefix, number))
		records = append(records, append([]byte{textPartFormat}, part...))
	}
	return keys, records
}

// addItems adds the turns, accounts and removals, and the position behind them. A position of which
// nothing else has changed waits for some batches.
func (a *archiver) addItems(made *archiveBatch) {
	r := a.partition.reader
	r.mutex.Lock()
	defer r.mutex.Unlock()
	clocks := made.written.reading(r.clock())
	for _, turn := range made.turns {
		if !r.state.KnowsTurn(turn.Turn) {
			continue
		}
		a.removeTexts(made, turn.Turn) // those of a former record of the turn
		made.add(r.state.EncodeTurn(turn.Turn, clocks))
	}
	for _, program := range made.accounts {
		if r.state.Knows(program) {
			made.add(r.state.EncodeAccount(program, clocks))
		}
	}
	for _, turn := range made.goneTurns {
		made.remove(ledger.TurnKey(turn))
		a.removeTexts(made, turn)
	}
	for _, program := range made.goneAccounts {
		made.remove(ledger.AccountKey(program))
	}
	since := clocks.Now - made.written.wroteAt
	moved := made.position > made.written.position && since >= idleIntervals*a.interval
	if !made.empty() || moved || !made.written.hasPosition || made.written.holdsItems() && since >= clockIntervals*a.interval {
		made.add(r.state.EncodePosition(made.position, clocks))
	}
}

// holdsItems reports whether the archive has anything that expires.
func (w *archivedState) holdsItems() bool { return len(w.turns)+len(w.accounts) > 0 }

// removeTexts removes the texts of a turn that are in no other chain.
func (a *archiver) removeTexts(made *archiveBatch, turn ledger.TurnID) {
	chain := made.written.turns[turn]
	partBytes := a.ledger.config.archivePartBytes()
	for _, location := range made.written.removeTurn(turn) {
		if _, used := made.inUse[location]; used {
			continue
		}
		prefix := ledger.TextKey(chain[0], location)
		parts := max(1, (int(location.Size)+partBytes-1)/partBytes)
		for number := range parts {
			made.remove(ledger.TextPartKey(prefix, number))
		}
	}
}

// append writes a batch, in several calls if it does not fit one.
func (a *archiver) append(ctx context.Context, made *archiveBatch) error {
	for from := 0; from < len(made.records); {
		to, size := from, 0
		for to < len(made.records) && (to == from || size < a.ledger.config.CallBytes-maxKeyBytes) {
			next := len(made.keys[to]) + len(made.records[to]) + 1 + callOverhead
			if to > from && size+next > a.ledger.config.CallBytes {
				break
			}
			size += next
			to++
		}
		if err := a.appendAt(ctx, made.written, made.keys[from:to], made.records[from:to]); err != nil {
			return err
		}
		from = to
	}
	a.noteWritten(made)
	return nil
}

// appendAt makes one call. If the archive has got nothing but texts since, which the nodes that
// persist turns may write, the call is repeated behind them.
func (a *archiver) appendAt(ctx context.Context, written *archivedState, keys []string, records [][]byte) error {
	for {
		within, cancel := context.WithTimeout(ctx, archiveAppendTimeout)
		at := written.end
		result, err := a.archive.store.Append(within, logstore.AppendRequest{Partition: a.archive.partition, Keys: keys, Records: records, At: &at})
		cancel()
		var moved *logstore.EndError
		switch {
		case err == nil:
			written.end = result.End
			return nil
		case !errors.As(err, &moved) || moved.End <= at:
			return fmt.Errorf("ledgerlog: archive partition %d: %w", a.number, err)
		}
		if err := a.passTexts(ctx, written, moved); err != nil {
			return err
		}
	}
}

// passTexts moves the expected end of the archive behind texts that other nodes have written. It
// fails if there is anything else.
func (a *archiver) passTexts(ctx context.Context, written *archivedState, moved *logstore.EndError) error {
	for written.end < moved.End {
		within, cancel := context.WithTimeout(ctx, readTimeout)
		changes, err := a.archive.store.Changes(within, logstore.ReadRequest{Partition: a.archive.partition, From: written.end})
		cancel()
		if err != nil {
			return fmt.Errorf("ledgerlog: archive partition %d: %w", a.number, err)
		}
		other := func(item logstore.Item) bool { return !ledger.IsTextKey(item.Key) || item.Value == nil }
		if slices.ContainsFunc(changes.Items, other) || changes.Next <= written.end {
			a.ledger.texts.metrics.archiveConflicts.Inc()
			return fmt.Errorf("ledgerlog: archive partition %d: another node has written to it: %w", a.number, moved)
		}
		written.end = changes.Next
	}
	return nil
}

// noteWritten notes that the archive has a batch.
func (a *archiver) noteWritten(made *archiveBatch) {
	written := made.written
	for _, turn := range made.turns {
		written.addTurn(turn.Turn, turn.Chain)
	}
	for _, program := range made.accounts {
		written.accounts[program] = struct{}{}
	}
	for _, program := range made.goneAccounts {
		delete(written.accounts, program)
	}
	written.hasPosition = true
	written.position, written.wroteAt = made.position, a.partition.reader.clock()
	a.ledger.texts.metrics.archiveAppends.Inc()
	a.ledger.texts.metrics.archivedBytes.Add(float64(made.bytes))
}

// adopt adds what an archive has and this node does not know. It reports whether this node has all
// records and the archive's last writer did not, so that nothing there can be relied on.
func (r *reader) adopt(snapshot *ledger.Snapshot) (knowsMore bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state.Adopt(snapshot, r.clock())
	return snapshot.Clock < snapshot.IncompleteUntil && !r.state.Incomplete(r.clock())
}

// lastConfirmed returns when the last call was sent whose response showed that the log had no unknown
// records.
func (r *reader) lastConfirmed() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.confirmed
}
