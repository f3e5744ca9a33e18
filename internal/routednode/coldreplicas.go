package routednode

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/router"
)

// coldReplicas joins the gate before cold replicas with the configuration in force.
type coldReplicas struct {
	gate   *coldstart.Limiter
	router *router.Router
}

// bound returns what the cold replicas of a service bear by the configuration in force.
func (c *coldReplicas) bound(service string) coldstart.RateLimit {
	configuration := c.router.Configuration()
	if configuration == nil {
		return coldstart.RateLimit{}
	}
	found := configuration.Services[service]
	return coldstart.RateLimit{PerSecond: found.ColdPerSecond, ColdDuration: found.ColdFor}
}

// returned takes the replicas of a zone that was taken back for cold.
func (c *coldReplicas) returned(zone string) {
	lasts := func(service string) time.Duration { return c.bound(service).ColdDuration }
	c.gate.PresumeZoneCold(zone, lasts, c.router.Now())
}

// status tells operators of the replicas that are cold at a time.
func (c *coldReplicas) status(now time.Duration) []coldstart.Status {
	return c.gate.Status(c.bound, now)
}

// counts returns how many replicas are cold, and how often a request was withheld.
func (c *coldReplicas) counts() (cold int, withheld uint64) {
	return c.gate.Counts(c.bound, c.router.Now())
}

func (c *coldReplicas) register(registerer prometheus.Registerer) {
	registerer.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "stepseam_cold_replicas", Help: "Replicas that count as cold at this node and get only so many requests a second.",
		}, func() float64 {
			cold, _ := c.counts()
			return float64(cold)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "stepseam_cold_withheld_total", Help: "Requests that were withheld from a cold replica after it was chosen.",
		}, func() float64 {
			_, withheld := c.counts()
			return float64(withheld)
		}),
	)
}
