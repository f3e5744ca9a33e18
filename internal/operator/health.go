package operator

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"stepseam.example/stepseam/internal/membership"
)

// health responds with 200 while the process serves requests. It checks nothing else.
func (o *Operator) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n")) // an error means that the client disconnected
}

// notReady returns the reasons why the node should get no callers' requests. A node that owns
// no shards is ready, since it forwards requests.
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

// readiness responds with 200 if the node takes callers' requests, else with 503.
func (o *Operator) readiness(w http.ResponseWriter, _ *http.Request) {
	reasons := o.notReady()
	w.Header().Set("Content-Type", "application/json")
	if len(reasons) > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(Readiness{Ready: len(reasons) == 0, Reasons: reasons}) // an error means that the client disconnected
}

// registerMetrics registers the metrics of the node's state and of its process.
func (o *Operator) registerMetrics() {
	gauge := func(name, help string, value func() float64) {
		o.config.Registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Namespace: "stepseam", Name: name, Help: help}, value))
	}
	boolToFloat := func(value bool) float64 {
		if value {
			return 1
		}
		return 0
	}
	gauge("ready", "1 while the node takes callers' requests.", func() float64 { return boolToFloat(len(o.notReady()) == 0) })
	gauge("draining", "1 during a planned stop.", func() float64 { return boolToFloat(o.config.Board.Draining.Load()) })
	gauge("table_version", "Table version in force at the node, 0 before the first.",
		func() float64 { return float64(o.config.Tables.State().InForce) })
	gauge("table_known_version", "Newest accepted table version that the node knows of.",
		func() float64 { return float64(o.config.Tables.State().Known) })
	gauge("table_stream_reachable", "1 while the node can follow the table stream in the log.",
		func() float64 { return boolToFloat(o.config.Tables.State().Failure == "") })
	o.config.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

// membershipNames are the names of the statuses of members that are not dead.
var membershipNames = map[membership.Status]string{
	membership.Alive: "alive", membership.Suspect: "suspect", membership.Leaving: "leaving",
}
