package engine

import (
	"fmt"
	"time"

	"github.com/go-playground/validator/v10"

	"stepseam.example/stepseam/internal/emulator/engine/model"
)

// Parameters configure one emulated engine. They are read from a YAML file by
// standin.ReadParameters; fields that the file omits keep their defaults.
type Parameters struct {
	// Name appears in records and logs.
	Name string `yaml:"name" validate:"required"`
	// Seed seeds all randomness: losses and delays of cache events, and lost responses.
	Seed uint64 `yaml:"seed"`
	// Timing is the timing and memory model.
	Timing model.Parameters `yaml:"timing"`
	// Models and Adapters are loaded at the start.
	Models   []string `yaml:"models" validate:"dive,required"`
	Adapters []string `yaml:"adapters" validate:"dive,required"`
	Role     string   `yaml:"role"`
	// ShortestAnswer and LongestAnswer bound the length of answers in tokens; a request's
	// MaxTokens shortens them.
	ShortestAnswer int `yaml:"shortest_answer" validate:"min=1"`
	LongestAnswer  int `yaml:"longest_answer" validate:"gtefield=ShortestAnswer"`
	// MaxWaiting bounds the waiting streams; more are rejected.
	MaxWaiting int `yaml:"max_waiting" validate:"min=1"`
	// StreamRetention is how long a finished stream can be resumed, CancelRetention how
	// long a cancelled stream is rejected. MaxRemembered bounds the number of each; the
	// oldest are removed first.
	StreamRetention time.Duration `yaml:"stream_retention" validate:"min=0"`
	CancelRetention time.Duration `yaml:"cancel_retention" validate:"min=0"`
	MaxRemembered   int           `yaml:"max_remembered" validate:"min=1"`
	// ReportInterval and ReportLag delay the load report: a report covers one interval
	// and is visible ReportLag after the interval's end.
	ReportInterval time.Duration `yaml:"report_interval" validate:"gt=0"`
	ReportLag      time.Duration `yaml:"report_lag" validate:"min=0"`
	// Cache events become visible after a delay between the two bounds; the fraction
	// EventLoss is lost.
	EventDelayShortest time.Duration `yaml:"event_delay_shortest" validate:"min=0"`
	EventDelayLongest  time.Duration `yaml:"event_delay_longest" validate:"gtefield=EventDelayShortest"`
	EventLoss          float64       `yaml:"event_loss" validate:"min=0,max=1"`
	MaxEvents          int           `yaml:"max_events" validate:"min=1"`
	// MaxTruth bounds each list of the engine's record.
	MaxTruth int `yaml:"max_truth" validate:"min=1"`
}

// DefaultParameters returns an engine with one mid-sized accelerator that serves the
// named models.
func DefaultParameters(name string, models ...string) Parameters {
	return Parameters{
		Name:               name,
		Seed:               1,
		Timing:             model.Default(),
		Models:             models,
		Role:               "mixed",
		ShortestAnswer:     16,
		LongestAnswer:      96,
		MaxWaiting:         1024,
		StreamRetention:    2 * time.Minute,
		CancelRetention:    30 * time.Minute,
		MaxRemembered:      65_536,
		ReportInterval:     250 * time.Millisecond,
		ReportLag:          500 * time.Millisecond,
		EventDelayShortest: 100 * time.Millisecond,
		EventDelayLongest:  2 * time.Second,
		EventLoss:          0.05,
		MaxEvents:          4096,
		MaxTruth:           16_384,
	}
}

// Validate checks the parameters and returns all errors joined.
func (p Parameters) Validate() error {
	if err := validator.New().Struct(p); err != nil {
		return fmt.Errorf("engine: parameters of %q: %w", p.Name, err)
	}
	return nil
}
