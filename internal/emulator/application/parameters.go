package application

import (
	"fmt"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

// Parameters describe one stand-in replica. They come from a YAML file; what the
// file leaves out keeps its default.
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

// ReadParameters reads a YAML file over the defaults; operations that the file
// names replace the default ones.
func ReadParameters(path string) (Parameters, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Parameters{}, fmt.Errorf("application: read parameters: %w", err)
	}
	parameters := DefaultParameters("application")
	operations := parameters.Operations
	parameters.Operations = nil
	if err := yaml.UnmarshalWithOptions(content, &parameters, yaml.Strict()); err != nil {
		return Parameters{}, fmt.Errorf("application: %s: %w", path, err)
	}
	if parameters.Operations == nil {
		parameters.Operations = operations
	}
	if err := parameters.Validate(); err != nil {
		return Parameters{}, fmt.Errorf("%s: %w", path, err)
	}
	return parameters, nil
}
