package ledgerlog

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

// writtenTexts is a chain of texts and a node that has read nothing.
type writtenTexts struct {
	*is.I
	t     *testing.T
	log   *store.Store
	chain []ledger.Location
	node  *Ledger
}

// withTexts calls check with a chain of texts that a node has written, in virtual time. text returns the text of
// a number; the store has the fault then.
func withTexts(t *testing.T, count int, fault store.Fault, text func(number int) []byte, check func(w *writtenTexts)) {
	synctest.Test(t, func(t *testing.T) {
		w := &writtenTexts{I: is.New(t), t: t, log: store.New()}
		writer := newLedger(w.log, "writer")
		for number := range count {
			location, err := writer.WriteText(within(t, time.Second), text(number))
			w.NoErr(err)
			w.chain = append(w.chain, location)
		}
		w.node = newLedger(w.log, "reader")
		w.log.Fail(fault)
		check(w)
	})
}

func numbered(number int) []byte { return fmt.Append(nil, "text ", number) }

// read reads a chain within a limit.
func (w *writtenTexts) read(limit time.Duration, chain []ledger.Location) ([][]byte, error) {
	return w.node.Texts(within(w.t, limit), chain)
}

// readTogether has callers read the chain at the same time.
func (w *writtenTexts) readTogether(callers int, limit time.Duration, check func(err error)) {
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			_, err := w.read(limit, w.chain)
			check(err)
		})
	}
	all.Wait()
}

// TestReadOfTextOutlivesItsCaller guards against callers with little time that each begin the
// same read anew, so that none of them gets the text.
func TestReadOfTextOutlivesItsCaller(t *testing.T) {
	withTexts(t, 1, store.Fault{Delay: 100 * time.Millisecond}, numbered, func(w *writtenTexts) {
		_, err := w.read(60*time.Millisecond, w.chain)
		w.True(errors.Is(err, ErrUnavailable))
		texts, err := w.read(60*time.Millisecond, w.chain)
		w.NoErr(err)
		w.Equal(string(texts[0]), "text 0")
		w.Equal(w.log.Calls("read"), 1)
	})
}

// TestReadOfTextIsShared guards against a read call for each of many callers after a restart of
// all nodes.
func TestReadOfTextIsShared(t *testing.T) {
	withTexts(t, 1, store.Fault{Delay: 100 * time.Millisecond}, numbered, func(w *writtenTexts) {
		w.readTogether(20, time.Second, func(err error) { w.NoErr(err) })
		w.Equal(w.log.Calls("read"), 1)
	})
}

// TestDroppedTextIsReportedForGood guards against a turn that callers retry in vain since the log
// has dropped its history.
func TestDroppedTextIsReportedForGood(t *testing.T) {
	withTexts(t, 2, store.Fault{}, numbered, func(w *writtenTexts) {
		w.log.Trim(w.node.texts.placeOf(w.chain[0]), logstore.Offset(w.chain[1].Offset))
		_, err := w.read(time.Second, w.chain)
		w.True(errors.Is(err, ErrNoSuchTurn))
		w.True(!errors.Is(err, ErrUnavailable))
		_, err = w.read(time.Second, w.chain[1:])
		w.NoErr(err)
	})
}

// TestLongChainIsReadInTime guards against chains whose texts are read one after another, which
// takes longer the longer the chain is.
func TestLongChainIsReadInTime(t *testing.T) {
	withTexts(t, 24, store.Fault{Delay: 50 * time.Millisecond}, numbered, func(w *writtenTexts) {
		texts, err := w.read(400*time.Millisecond, w.chain)
		w.NoErr(err)
		for number, text := range texts {
			w.Equal(string(text), string(numbered(number)))
		}
	})
}

// TestReadsOfTextsAreBoundedTogether guards against reads of large texts that take more memory
// together than the cache, also after their callers have left.
func TestReadsOfTextsAreBoundedTogether(t *testing.T) {
	large := func(int) []byte { return make([]byte, minReadBytes/2) }
	withTexts(t, 4, store.Fault{Delay: 100 * time.Millisecond}, large, func(w *writtenTexts) {
		_, err := w.read(50*time.Millisecond, w.chain)
		w.True(errors.Is(err, ErrUnavailable))
		w.Equal(w.log.Calls("read"), 2)
		time.Sleep(time.Second)
		w.Equal(w.log.Calls("read"), 4)
	})
}

// TestFailedReadsOfTextDoNotQueueUp guards against callers that wait for one failed read after another while
// the store does not answer, and are rejected late.
func TestFailedReadsOfTextDoNotQueueUp(t *testing.T) {
	withTexts(t, 1, store.Fault{Silent: true}, numbered, func(w *writtenTexts) {
		began := time.Now()
		w.readTogether(10, time.Minute, func(err error) {
			w.True(errors.Is(err, ErrUnavailable))
			w.True(time.Since(began) <= 2*readTimeout) // the read that was in progress, and one more
		})
	})
}
