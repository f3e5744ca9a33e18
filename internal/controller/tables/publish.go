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

// ErrNotPublished tells that the table was not published, for certain: nothing
// of it stands in the log.
var ErrNotPublished = errors.New("tables: not published")

// ErrIDReused tells that the publication's id stands for another table.
var ErrIDReused = errors.New("tables: the publication's id was used for another table")

// ConflictError tells that another version was accepted on the base before.
type ConflictError struct {
	Base table.Version
	// Winner is the publication that was accepted. Its author is empty if it is
	// too long ago to be remembered.
	Winner table.Entry
}

// Error names the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("tables: lost: version %d by %s was accepted on base %d", e.Winner.Version, e.Winner.Author, e.Base)
}

// BaseError tells that the base was never accepted. Nothing was published.
type BaseError struct{ Base, Current table.Version }

// Error names both versions.
func (e *BaseError) Error() string {
	return fmt.Sprintf("tables: base %d was never accepted, the current version is %d", e.Base, e.Current)
}

// OutcomeUnknownError tells that the publication may or may not come into force.
// Publishing it again with the same ID is safe and finds out.
type OutcomeUnknownError struct {
	ID    string
	Cause error
}

// Error names the id.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("tables: outcome of publication %s unknown: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Publication is a table that an operator wants in force.
type Publication struct {
	// ID is unique to the publication; empty takes a new one.
	ID string
	// Repeated tells that ID was handed to some node before, with unknown outcome.
	Repeated bool
	Base     table.Version
	Author   string
	Note     string
	CSV      []byte
}

// Publish puts a table into the log and tells truthfully what became of it: the
// accepted entry, or an error that is or wraps *table.InvalidError, *LostError,
// *BaseError, ErrIDReused, ErrNotPublished or *UnknownError.
//
// An append whose answer was lost may have taken effect or may still do so. So
// the record carries an id of its own, Publish reads the stream back after every
// try, and tries again only with the same record: readers drop the repeat.
func (c *Controller) Publish(ctx context.Context, publication Publication) (table.Entry, error) {
	if _, err := table.Parse(publication.CSV); err != nil {
		return table.Entry{}, fmt.Errorf("tables: publish: %w", err)
	}
	if publication.ID == "" {
		publication.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.PublishTimeout)
	defer cancel()
	attempt := &attempt{controller: c, publication: publication, possiblyAppended: publication.Repeated}
	return attempt.run(ctx)
}

// appendShare is the part of PublishTimeout that one append gets, so that one
// that hangs leaves time to read back and to try again.
const appendShare = 3

// refusePatience is how long Publish tries while it is certain that nothing was
// published. After that the publisher is better told to come back.
const refusePatience = 2 * time.Second

// attempt is one Publish under way.
type attempt struct {
	controller  *Controller
	publication Publication
	// possiblyAppended is true once the record may stand in the log, or may still
	// come to stand there.
	possiblyAppended bool
}

func (a *attempt) run(ctx context.Context) (table.Entry, error) {
	record := table.Record{
		ID: a.publication.ID, Base: a.publication.Base, Author: a.publication.Author,
		Note: a.publication.Note, Published: time.Now(), CSV: a.publication.CSV,
	}.Encode()
	began := time.Now()
	for retry := retryFirst; ; retry = min(2*retry, retryLast) {
		err := a.controller.catchUp(ctx)
		if entry, decided, outcome := a.outcome(err == nil); decided {
			return entry, outcome
		}
		if err == nil {
			err = a.append(ctx, record)
		}
		if err != nil {
			a.controller.pause(ctx, retry)
		}
		hopeless := err != nil && !a.possiblyAppended && time.Since(began) >= refusePatience
		if hopeless || ctx.Err() != nil {
			return a.giveUp(errors.Join(err, ctx.Err()))
		}
	}
}

// append puts the record into the log. With nil the record stands there.
func (a *attempt) append(ctx context.Context, record []byte) error {
	ctx, cancel := context.WithTimeout(ctx, a.controller.config.PublishTimeout/appendShare)
	defer cancel()
	_, err := a.controller.config.Log.Append(ctx, table.Stream, [][]byte{record})
	if err == nil || !errors.Is(err, siteservices.ErrUnavailable) {
		a.possiblyAppended = true
	}
	if err != nil {
		return fmt.Errorf("tables: append: %w", err)
	}
	return nil
}

// outcome tells what is certain by now. caughtUp tells that the ledger stands
// where the stream ended a moment ago.
func (a *attempt) outcome(caughtUp bool) (table.Entry, bool, error) {
	a.controller.mutex.Lock()
	defer a.controller.mutex.Unlock()
	ledger, wanted := a.controller.ledger, a.publication
	if entry, found := ledger.Find(wanted.ID); found {
		return a.found(entry)
	}
	switch {
	case wanted.Base < ledger.Version():
		return a.baseTaken(ledger)
	case wanted.Base > ledger.Version() && caughtUp && !a.possiblyAppended:
		return table.Entry{}, true, &BaseError{Base: wanted.Base, Current: ledger.Version()}
	}
	return table.Entry{}, false, nil
}

// found is the outcome of a publication that stands in the ledger.
func (a *attempt) found(entry table.Entry) (table.Entry, bool, error) {
	if entry.Base != a.publication.Base || entry.Digest != xxhash.Sum64(a.publication.CSV) {
		return entry, true, fmt.Errorf("%w: %s", ErrIDReused, entry.ID)
	}
	switch entry.Status {
	case table.Accepted:
		return entry, true, nil
	case table.Lost:
		return entry, true, a.lostTo(a.controller.ledger)
	}
	return entry, true, fmt.Errorf("%w: %s", ErrNotPublished, entry.Reason)
}

// baseTaken is the outcome of a publication that the ledger does not hold while
// its base is old: it can never be accepted any more. Only where the winner on
// the base is forgotten could the winner have been this very publication.
func (a *attempt) baseTaken(ledger *table.VersionLog) (table.Entry, bool, error) {
	if _, remembered := ledger.AcceptedOn(a.publication.Base); !remembered && a.publication.Repeated {
		return table.Entry{}, true, &OutcomeUnknownError{ID: a.publication.ID, Cause: errors.New("it is too long ago")}
	}
	return table.Entry{}, true, a.lostTo(ledger)
}

func (a *attempt) lostTo(ledger *table.VersionLog) error {
	winner, remembered := ledger.AcceptedOn(a.publication.Base)
	if !remembered {
		winner = table.Entry{Version: a.publication.Base + 1, Base: a.publication.Base, Status: table.Accepted}
	}
	return &ConflictError{Base: a.publication.Base, Winner: winner}
}

// giveUp is the outcome when time is up.
func (a *attempt) giveUp(cause error) (table.Entry, error) {
	if entry, decided, outcome := a.outcome(false); decided {
		return entry, outcome
	}
	if a.possiblyAppended {
		return table.Entry{}, &OutcomeUnknownError{ID: a.publication.ID, Cause: cause}
	}
	return table.Entry{}, fmt.Errorf("%w: %w", ErrNotPublished, cause)
}

// ErrVersionNotRetained tells that a version is not among those that are remembered.
var ErrVersionNotRetained = errors.New("tables: version not remembered")

// Version returns an accepted version as its author wrote it. The newest one is
// at hand; older ones are read from the log again.
func (c *Controller) Version(ctx context.Context, wanted table.Version) (table.Record, error) {
	c.mutex.Lock()
	current, csv, history := c.ledger.Current(), c.ledger.CSV(), c.ledger.History()
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
	ctx, cancel := context.WithTimeout(ctx, answerGrace)
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
