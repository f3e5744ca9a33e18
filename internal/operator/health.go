package operator

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"stepseam.example/stepseam/internal/membership"
)

// health tells that the process runs and answers; nothing more.
func (o *Operator) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n")) // nobody is left to tell
}

// notReady lists why the node should get no callers' requests. A node without
// shards of its own is ready: it passes requests on.
func (o *Operator) notReady() []string {
	var reasons []string
	if o.config.Board.Table.Load() == nil {
		reasons = append(reasons, "no table in force: the log is out of reach and no peer has one, or none was published")
	}
	if o.config.Board.Draining.Load() {
		reasons = append(reasons, "draining: the node is stopping")
	}
	return reasons
}

// readiness answers 200 when the node takes callers' requests, else 503.
func (o *Operator) readiness(w http.ResponseWriter, _ *http.Request) {
	reasons := o.notReady()
	w.Header().Set("Content-Type", "application/json")
	if len(reasons) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(Readiness{Ready: len(reasons) == 0, Reasons: reasons}) // nobody is left to tell
}

// registerMetrics adds what this node knows of itself and of its process.
func (o *Operator) registerMetrics() {
	gauge := func(name, help string, value func() float64) {
		o.config.Registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Namespace: "stepseam", Name: name, Help: help}, value))
	}
	truth := func(value bool) float64 {
		if value {
			return 1
		}
		return 0
	}
	gauge("ready", "1 while the node takes callers' requests.", func() float64 { return truth(len(o.notReady()) == 0) })
	gauge("draining", "1 during a planned stop.", func() float64 { return truth(o.config.Board.Draining.Load()) })
	gauge("table_version", "Table version in force at the node, 0 before the first.",
		func() float64 { return float64(o.config.Tables.State().InForce) })
	gauge("table_known_version", "Newest accepted table version that the node knows of.",
		func() float64 { return float64(o.config.Tables.State().Known) })
	gauge("table_stream_reachable", "1 while the node can follow the table stream in the log.",
		func() float64 { return truth(o.config.Tables.State().Failure == "") })
	o.config.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

// memberships names the statuses of members that are not dead.
var memberships = map[membership.Status]string{
	membership.Alive: "alive", membership.Suspect: "suspect", membership.Leaving: "leaving",
}
