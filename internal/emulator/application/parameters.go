package application

import (
	"fmt"
	"time"

	"github.com/go-playground/validator/v10"
)

// Parameters configure one emulated replica. They are read from a YAML file by
// standin.ReadParameters; fields that the file omits keep their defaults.
type Parameters struct {
	Name string `yaml:"name" validate:"required"`
	// Seed seeds the latencies and the choice of lost responses.
	Seed uint64 `yaml:"seed"`
	// Operations lists the supported operations; others are rejected.
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

// Validate checks the parameters and returns all errors joined.
func (p Parameters) Validate() error {
	if err := validator.New().Struct(p); err != nil {
		return fmt.Errorf("application: parameters of %q: %w", p.Name, err)
	}
	return nil
}
