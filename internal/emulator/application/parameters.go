package application

import (
	"fmt"
	"time"

	"github.com/go-playground/validator/v10"
)

// Parameters describe one stand-in replica. They are read from a YAML file by
// standin.ReadParameters; what the file leaves out keeps its default.
type Parameters struct {
	Name string `yaml:"name" validate:"required"`
	// Seed drives latencies and lost answers.
	Seed uint64 `yaml:"seed"`
	// Operations are what the replica can do; others are refused.
	Operations map[string]Operation `yaml:"operations" validate:"min=1,dive"`
	// MaxTruth bounds the list of executions.
	MaxTruth int `yaml:"max_truth" validate:"min=1"`
}

// DefaultParameters returns a portal with the operations of both users.
func DefaultParameters(name string) Parameters {
	read := Operation{Effect: ReadOnly, ShortestLatency: 5 * time.Millisecond, LongestLatency: 40 * time.Millisecond}
	write := Operation{Effect: Unrepeatable, ShortestLatency: 20 * time.Millisecond, LongestLatency: 120 * time.Millisecond}
	return Parameters{
		Name: name,
		Seed: 1,
		Operations: map[string]Operation{
			"read_file": read, "course_load": read, "coverage": read, "ticket_status": read,
			"enrol": write, "pay_fee": write, "pay_bill": write, "open_ticket": write,
		},
		MaxTruth: 65_536,
	}
}

// Validate checks parameters and reports all faults together.
func (p Parameters) Validate() error {
	if err := validator.New().Struct(p); err != nil {
		return fmt.Errorf("application: parameters of %q: %w", p.Name, err)
	}
	return nil
}
