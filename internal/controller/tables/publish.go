package tables

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// ErrNotPublished is returned if the table was definitely not published: the log
// does not contain it.
var ErrNotPublished = errors.New("tables: not published")

// ErrIDReused is returned if the publication's id was used for another table.
var ErrIDReused = errors.New("tables: the publication's id was used for another table")

// ConflictError is returned if another version was accepted on the same base.
type ConflictError struct {
	Base table.Version
	// Winner is the publication that was accepted. Its author is empty if the
	// publication is no longer in the history.
	Winner table.Entry
}

// Error returns the accepted version and its author.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("tables: lost: version %d by %s was accepted on base %d", e.Winner.Version, e.Winner.Author, e.Base)
}

// BaseError is returned if the base was never accepted. Nothing was published.
type BaseError struct{ Base, Current table.Version }

// Error returns both versions.
func (e *BaseError) Error() string {
	return fmt.Sprintf("tables: base %d was never accepted, the current version is %d", e.Base, e.Current)
}

// OutcomeUnknownError is returned if the publication may or may not take effect.
// Publishing it again with the same ID is safe and determines the outcome.
type OutcomeUnknownError struct {
	ID    string
	Cause error
}

// Error returns the publication's id and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("tables: outcome of publication %s unknown: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Publication is a table to be published.
type Publication struct {
	// ID is unique to the publication; if empty, Publish generates one.
	ID string
	// Repeated is true if a publication with this ID was attempted before, on any
	// node, with unknown outcome.
	Repeated bool
	Base     table.Version
	Author   string
	Note     string
	CSV      []byte
}

// Publish appends a table to the log and returns the accepted entry, or an error
// that is or wraps *table.InvalidError, *ConflictError, *BaseError, ErrIDReused,
// ErrNotPublished or *OutcomeUnknownError.
//
// An append without a response may have taken effect or may still do so.
// Therefore the record has a unique id, Publish reads the stream back after every
// attempt, and retries only with the same record: readers ignore duplicates.
func (c *Controller) Publish(ctx context.Context, publication Publication) (table.Entry, error) {
	if _, err := table.Parse(publication.CSV); err != nil {
		return table.Entry{}, fmt.Errorf("tables: publish: %w", err)
	}
	if publication.ID == "" {
		publication.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.PublishTimeout)
	defer cancel()
	attempt := &attempt{controller: c, publication: publication, mayBeInLog: publication.Repeated}
	return attempt.run(ctx)
}

// appendTimeoutDivisor divides PublishTimeout into the timeout of one append, so
// that an append that hangs leaves time to read back and to retry.
const appendTimeoutDivisor = 3

// refusalTimeout is how long Publish retries while the record is certainly not in
// the log. After that it fails with ErrNotPublished, since the publisher may
// safely retry later.
const refusalTimeout = 2 * time.Second

// attempt is one Publish in progress.
type attempt struct {
	controller  *Controller
	publication Publication
	// mayBeInLog is true once the record may be in the log or may still be appended
	// to it.
	mayBeInLog bool
}

func (a *attempt) run(ctx context.Context) (table.Entry, error) {
	record := table.Record{
		ID: a.publication.ID, Base: a.publication.Base, Author: a.publication.Author,
		Note: a.publication.Note, Published: time.Now(), CSV: a.publication.CSV,
	}.Encode()
	began := time.Now()
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		err := a.controller.catchUp(ctx)
		if entry, decided, outcome := a.outcome(err == nil); decided {
			return entry, outcome
		}
		if err == nil {
			err = a.append(ctx, record)
		}
		if err != nil {
			a.controller.pause(ctx, pause)
		}
		giveUp := err != nil && !a.mayBeInLog && time.Since(began) >= refusalTimeout
		if giveUp || ctx.Err() != nil {
			return a.timeoutOutcome(errors.Join(err, ctx.Err()))
		}
	}
}

// append appends the record to the log. If it returns nil, the record is in the
// log.
func (a *attempt) append(ctx context.Context, record []byte) error {
	ctx, cancel := context.WithTimeout(ctx, a.controller.config.PublishTimeout/appendTimeoutDivisor)
	defer cancel()
	_, err := a.controller.config.Log.Append(ctx, table.Stream, [][]byte{record})
	if err == nil || !errors.Is(err, siteservices.ErrUnavailable) {
		a.mayBeInLog = true
	}
	if err != nil {
		return fmt.Errorf("tables: append: %w", err)
	}
	return nil
}

// outcome returns the final outcome of the publication if it is certain by now.
// caughtUp is true if the version log has just reached the end of the stream.
func (a *attempt) outcome(caughtUp bool) (table.Entry, bool, error) {
	a.controller.mutex.Lock()
	defer a.controller.mutex.Unlock()
	versions, wanted := a.controller.versions, a.publication
	if entry, found := versions.Find(wanted.ID); found {
		return a.foundOutcome(entry)
	}
	switch {
	case wanted.Base < versions.Version():
		return a.staleBaseOutcome(versions)
	case wanted.Base > versions.Version() && caughtUp && !a.mayBeInLog:
		return table.Entry{}, true, &BaseError{Base: wanted.Base, Current: versions.Version()}
	}
	return table.Entry{}, false, nil
}

// foundOutcome returns the outcome of a publication that is in the history.
func (a *attempt) foundOutcome(entry table.Entry) (table.Entry, bool, error) {
	if entry.Base != a.publication.Base || entry.Digest != xxhash.Sum64(a.publication.CSV) {
		return entry, true, fmt.Errorf("%w: %s", ErrIDReused, entry.ID)
	}
	switch entry.Status {
	case table.Accepted:
		return entry, true, nil
	case table.Lost:
		return entry, true, a.conflictError(a.controller.versions)
	}
	return entry, true, fmt.Errorf("%w: %s", ErrNotPublished, entry.Reason)
}

// staleBaseOutcome returns the outcome of a publication that is not in the history
// and whose base is no longer current, so that it cannot be accepted any more. If
// the publication accepted on the base is no longer in the history either, it may
// have been this one.
func (a *attempt) staleBaseOutcome(versions *table.VersionLog) (table.Entry, bool, error) {
	if _, remembered := versions.AcceptedOn(a.publication.Base); !remembered && a.publication.Repeated {
		return table.Entry{}, true, &OutcomeUnknownError{ID: a.publication.ID, Cause: errors.New("it is too long ago")}
	}
	return table.Entry{}, true, a.conflictError(versions)
}

func (a *attempt) conflictError(versions *table.VersionLog) error {
	winner, remembered := versions.AcceptedOn(a.publication.Base)
	if !remembered {
		winner = table.Entry{Version: a.publication.Base + 1, Base: a.publication.Base, Status: table.Accepted}
	}
	return &ConflictError{Base: a.publication.Base, Winner: winner}
}

// timeoutOutcome returns the outcome when the time for retries has elapsed.
func (a *attempt) timeoutOutcome(cause error) (table.Entry, error) {
	if entry, decided, outcome := a.outcome(false); decided {
		return entry, outcome
	}
	if a.mayBeInLog {
		return table.Entry{}, &OutcomeUnknownError{ID: a.publication.ID, Cause: cause}
	}
	return table.Entry{}, fmt.Errorf("%w: %w", ErrNotPublished, cause)
}

// ErrVersionNotRetained is returned if a version is no longer in the history.
var ErrVersionNotRetained = errors.New("tables: version not remembered")

// Version returns an accepted version as its author wrote it. The newest one is in
// memory; older ones are read from the log.
func (c *Controller) Version(ctx context.Context, wanted table.Version) (table.Record, error) {
	c.mutex.Lock()
	current, csv, history := c.versions.Current(), c.versions.CSV(), c.versions.History()
	c.mutex.Unlock()
	if current != nil && current.Version == wanted {
		return table.Record{
			ID: current.ID, Base: current.Base, Author: current.Author, Note: current.Note,
			Published: current.Published, CSV: csv,
		}, nil
	}
	for _, entry := range history {
		if entry.Status == table.Accepted && entry.Version == wanted {
			return c.readRecord(ctx, entry.Offset)
		}
	}
	return table.Record{}, fmt.Errorf("%w: %d", ErrVersionNotRetained, wanted)
}

func (c *Controller) readRecord(ctx context.Context, offset siteservices.Offset) (table.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, responseMargin)
	defer cancel()
	result, err := c.config.Log.Read(ctx, table.Stream, offset, 1, 0)
	if err != nil {
		return table.Record{}, fmt.Errorf("tables: read version at %d: %w", offset, err)
	}
	if len(result.Records) == 0 || result.From != offset {
		return table.Record{}, fmt.Errorf("%w: at %d", ErrGap, offset)
	}
	record, err := table.DecodeRecord(result.Records[0])
	if err != nil {
		return table.Record{}, fmt.Errorf("tables: version at %d: %w", offset, err)
	}
	return record, nil
}
