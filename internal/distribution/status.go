package distribution

import "time"

// TopicStatus describes a node's copy of a topic, for operators.
type TopicStatus struct {
	Topic string `json:"topic"`
	// From is the node that the topic was last pulled from; empty if this node reads the
	// store.
	From     string `json:"from,omitempty"`
	Reads    bool   `json:"reads"`
	Tier     int    `json:"tier"`
	Position uint64 `json:"position"`
	Keys     int    `json:"keys"`
	// AgeMs is the age of the topic; -1 if it is not known.
	AgeMs int64 `json:"age_ms"`
}

// Status returns the status of each topic.
func (s *Service) Status() []TopicStatus {
	role := s.role()
	var all []TopicStatus
	for _, one := range s.pullers {
		topic := one.subscription.Topic
		position, _ := topic.Position()
		status := TopicStatus{
			Topic: topic.name, Reads: one.gate.open(), Tier: role.Tier, Position: uint64(position), Keys: topic.Size(), AgeMs: -1,
		}
		if age, known := topic.Age(time.Now()); known {
			status.AgeMs = age.Milliseconds()
		}
		if from := one.from(); from.IsValid() {
			status.From = from.String()
		}
		all = append(all, status)
	}
	return all
}
