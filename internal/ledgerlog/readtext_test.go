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

// writeTexts writes a chain of texts through a node and returns it with a node that has read
// nothing.
func writeTexts(t *testing.T, log *store.Store, count int) ([]ledger.Location, *Ledger) {
	is := is.New(t)
	writer := newLedger(log, "writer")
	var chain []ledger.Location
	for number := range count {
		location, err := writer.WriteText(within(t, time.Second), fmt.Append(nil, "text ", number))
		is.NoErr(err)
		chain = append(chain, location)
	}
	return chain, newLedger(log, "reader")
}

// TestReadOfTextOutlivesItsCaller guards against callers with little time that each begin the
// same read anew, so that none of them gets the text.
func TestReadOfTextOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		chain, l := writeTexts(t, log, 1)
		log.Fail(store.Fault{Delay: 100 * time.Millisecond})
		_, err := l.Texts(within(t, 60*time.Millisecond), chain)
		is.True(errors.Is(err, ErrUnavailable))
		texts, err := l.Texts(within(t, 60*time.Millisecond), chain)
		is.NoErr(err)
		is.Equal(string(texts[0]), "text 0")
		is.Equal(log.Calls("read"), 1)
	})
}

// TestReadOfTextIsShared guards against a read call for each of many callers after a restart of
// all nodes.
func TestReadOfTextIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		chain, l := writeTexts(t, log, 1)
		log.Fail(store.Fault{Delay: 100 * time.Millisecond})
		var callers sync.WaitGroup
		for range 20 {
			callers.Go(func() {
				_, err := l.Texts(within(t, time.Second), chain)
				is.NoErr(err)
			})
		}
		callers.Wait()
		is.Equal(log.Calls("read"), 1)
	})
}

// TestDroppedTextIsReportedForGood guards against a turn that callers retry in vain since the log
// has dropped its history.
func TestDroppedTextIsReportedForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		chain, l := writeTexts(t, log, 2)
		log.Trim(l.texts.placeOf(chain[0]), logstore.Offset(chain[1].Offset))
		_, err := l.Texts(within(t, time.Second), chain)
		is.True(errors.Is(err, ErrNoSuchTurn))
		is.True(!errors.Is(err, ErrUnavailable))
		_, err = l.Texts(within(t, time.Second), chain[1:])
		is.NoErr(err)
	})
}

// TestLongChainIsReadInTime guards against chains whose texts are read one after another, which
// takes longer the longer the chain is.
func TestLongChainIsReadInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		chain, l := writeTexts(t, log, 24)
		log.Fail(store.Fault{Delay: 50 * time.Millisecond})
		texts, err := l.Texts(within(t, 400*time.Millisecond), chain)
		is.NoErr(err)
		for number, text := range texts {
			is.Equal(string(text), fmt.Sprint("text ", number))
		}
	})
}

// TestReadsOfTextsAreBoundedTogether guards against reads of large texts that take more memory
// together than the cache, also after their callers have left.
func TestReadsOfTextsAreBoundedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		writer := newLedger(log, "writer")
		var chain []ledger.Location
		for range 4 {
			location, err := writer.WriteText(within(t, time.Second), make([]byte, minReadBytes/2))
			is.NoErr(err)
			chain = append(chain, location)
		}
		l := newLedger(log, "reader")
		log.Fail(store.Fault{Delay: 100 * time.Millisecond})
		_, err := l.Texts(within(t, 50*time.Millisecond), chain)
		is.True(errors.Is(err, ErrUnavailable))
		is.Equal(log.Calls("read"), 2)
		time.Sleep(time.Second)
		is.Equal(log.Calls("read"), 4)
	})
}

// TestFailedReadsOfTextDoNotQueueUp guards against callers that wait for one failed read after another while
// the store does not answer, and are rejected late.
func TestFailedReadsOfTextDoNotQueueUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		chain, l := writeTexts(t, log, 1)
		log.Fail(store.Fault{Silent: true})
		began := time.Now()
		var callers sync.WaitGroup
		for range 10 {
			callers.Go(func() {
				_, err := l.Texts(within(t, time.Minute), chain)
				is.True(errors.Is(err, ErrUnavailable))
				is.True(time.Since(began) <= 2*readTimeout) // the read that was in progress, and one more
			})
		}
		callers.Wait()
	})
}
