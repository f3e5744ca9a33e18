package distribution

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts the requests and responses between nodes.
type metrics struct {
	responses, requests *prometheus.CounterVec
}

func newMetrics(service *Service, registerer prometheus.Registerer) *metrics {
	made := &metrics{
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_topic_answers_total", Help: "Answers to other nodes on topics of the store, by topic and what they held.",
		}, []string{"topic", "state"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_topic_questions_total", Help: "Questions to other nodes on topics of the store, by topic and what came of them.",
		}, []string{"topic", "outcome"}),
	}
	if registerer == nil {
		return made
	}
	registerer.MustRegister(made.responses, made.requests)
	for _, one := range service.pullers {
		registerer.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "stepseam_topic_age_seconds", Help: "How old what this node knows of a topic may be; -1 if nothing is known.",
				ConstLabels: prometheus.Labels{"topic": one.subscription.Topic.name},
			}, func() float64 {
				age, known := one.subscription.Topic.Age(time.Now())
				if !known {
					return -1
				}
				return age.Seconds()
			}),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "stepseam_topic_read", Help: "1 where this node reads the topic from the store, 0 where it hears from another.",
				ConstLabels: prometheus.Labels{"topic": one.subscription.Topic.name},
			}, func() float64 {
				if one.gate.open() {
					return 1
				}
				return 0
			}),
		)
	}
	return made
}
