package ledgerlog

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/gatedstore"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

const (
	outage           = 7 * time.Second
	outagePartitions = 24
)

// outageLedger is a node's ledger with a record for every partition to write.
func outageLedger(log logstore.Store) *Ledger {
	gated := gatedstore.New(gatedstore.Config{Store: log, Logger: slog.New(slog.DiscardHandler)})
	return New(Config{
		Store: gated, Gate: gated, Topic: "ledger", TextTopic: "texts", Partitions: outagePartitions, Producer: "a",
		RecordBytes: 64, CallBytes: 1 << 20, CacheBytes: 1 << 10, Logger: slog.New(slog.DiscardHandler),
	})
}

// TestAppendsOfAStoreThatIsAwayAreFew: a node whose partitions all have something to write
// makes a bounded number of calls in an outage, and all is written soon after its end.
func TestAppendsOfAStoreThatIsAwayAreFew(t *testing.T) {
	for _, fault := range []store.Fault{{Busy: true}, {Silent: true}, {LoseAnswers: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := store.New()
			log.Fail(fault)
			l := outageLedger(log)
			for i := range 100 {
				l.of(ledger.ProgramID(fmt.Sprint(i))).submitNow([]byte{byte(i)})
			}
			time.Sleep(outage)
			// Before the breaker opens, each partition fails at 0, 20, 60 and 140 ms at the
			// soonest; after it, probes alone.
			const before = 4
			is.True(log.Calls("append") <= outagePartitions*before+int(outage/(150*time.Millisecond)))
			log.Fail(store.Fault{})
			// The next probe, the time of a call that hangs, and the spread of those that wait.
			time.Sleep(700 * time.Millisecond)
			written := 0
			for _, p := range l.partitions {
				written += len(log.Records(p.appender.partition))
			}
			is.Equal(written, 100)
		})
	}
}
