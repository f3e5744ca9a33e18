package routednode

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/router"
)

// coldReplicas applies the rate limits in the current configuration to cold replicas.
type coldReplicas struct {
	limiter *coldstart.Limiter
	router  *router.Router
}

// rateLimit returns the configured limit on requests to each cold replica of a service.
func (c *coldReplicas) rateLimit(service string) coldstart.RateLimit {
	configuration := c.router.Configuration()
	if configuration == nil {
		return coldstart.RateLimit{}
	}
	found := configuration.Services[service]
	return coldstart.RateLimit{PerSecond: found.ColdPerSecond, ColdDuration: found.ColdFor}
}

// zoneReturned treats the replicas of a zone as cold when its evacuation ends.
func (c *coldReplicas) zoneReturned(zone string) {
	coldDuration := func(service string) time.Duration { return c.rateLimit(service).ColdDuration }
	c.limiter.PresumeZoneCold(zone, coldDuration, c.router.Now())
}

// status returns the replicas that are cold at the given time.
func (c *coldReplicas) status(now time.Duration) []coldstart.Status {
	return c.limiter.Status(c.rateLimit, now)
}

// counts returns the number of cold replicas, and how many requests their rate limits have
// withheld.
func (c *coldReplicas) counts() (cold int, withheld uint64) {
	return c.limiter.Counts(c.rateLimit, c.router.Now())
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
