package ledgerlog

import "github.com/prometheus/client_golang/prometheus"

// metrics counts the ledger's calls of the store.
type metrics struct {
	appendSeconds  prometheus.Histogram
	appendFailures prometheus.Counter
	readSeconds    prometheus.Histogram
	readFailures   prometheus.Counter
	// texts counts written texts by place.
	texts *prometheus.CounterVec
	// restores counts reads of archives in place of dropped records, by outcome.
	restores *prometheus.CounterVec
	// archiveAppends, archiveFailures and archiveConflicts count batches, archivedBytes their bytes.
	archiveAppends, archiveFailures, archiveConflicts, archivedBytes prometheus.Counter
}

var storeBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1}

func newMetrics(registerer prometheus.Registerer) *metrics {
	built := &metrics{
		appendSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "stepseam_ledger_append_seconds", Help: "Time of one append to the store.", Buckets: storeBuckets,
		}),
		appendFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_ledger_append_failures_total", Help: "Appends that were refused or not answered.",
		}),
		readSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "stepseam_ledger_read_seconds", Help: "Time of one read of the store.", Buckets: storeBuckets,
		}),
		readFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_ledger_read_failures_total", Help: "Reads that were refused or not answered.",
		}),
		texts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_ledger_texts_total", Help: "Texts of turns written, in the index in one call or in their own topic.",
		}, []string{"place"}),
		restores: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_ledger_restores_total", Help: "Restores of partitions whose records the store has dropped, by outcome.",
		}, []string{"outcome"}),
		archiveAppends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_ledger_archive_batches_total", Help: "Batches written to archives.",
		}),
		archiveFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_ledger_archive_failures_total", Help: "Batches that were not written to an archive.",
		}),
		archiveConflicts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_ledger_archive_conflicts_total", Help: "Batches that another node's came before.",
		}),
		archivedBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_ledger_archived_bytes_total", Help: "Bytes of keys and values written to archives.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(built.appendSeconds, built.appendFailures, built.readSeconds, built.readFailures, built.texts,
			built.restores, built.archiveAppends, built.archiveFailures, built.archiveConflicts, built.archivedBytes)
	}
	return built
}
