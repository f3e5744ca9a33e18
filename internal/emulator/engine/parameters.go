package engine

import (
	"fmt"
	"time"

	"github.com/go-playground/validator/v10"

	"stepseam.example/stepseam/internal/emulator/engine/model"
)

// Parameters describe one stand-in engine. They are read from a YAML file by
// standin.ReadParameters; what the file leaves out keeps its default.
type Parameters struct {
	// Name appears in records and logs.
	Name string `yaml:"name" validate:"required"`
	// Seed drives all that is random here: gaps and lateness of cache events and
	// lost answers.
	Seed uint64 `yaml:"seed"`
	// Timing is the token-time and memory model.
	Timing model.Parameters `yaml:"timing"`
	// Models and Adapters are loaded from the start.
	Models   []string `yaml:"models" validate:"dive,required"`
	Adapters []string `yaml:"adapters" validate:"dive,required"`
	Role     string   `yaml:"role"`
	// ShortestAnswer and LongestAnswer bound the length of answers in tokens; a
	// request's MaxTokens cuts them.
	ShortestAnswer int `yaml:"shortest_answer" validate:"min=1"`
	LongestAnswer  int `yaml:"longest_answer" validate:"gtefield=ShortestAnswer"`
	// MaxWaiting bounds the streams that wait; more are refused.
	MaxWaiting int `yaml:"max_waiting" validate:"min=1"`
	// StreamRetention is how long a finished stream can be resumed,
	// CancelRetention how long a cancelled stream is refused. At most
	// MaxRemembered of each are kept, the oldest go first.
	StreamRetention time.Duration `yaml:"stream_retention" validate:"min=0"`
	CancelRetention time.Duration `yaml:"cancel_retention" validate:"min=0"`
	MaxRemembered   int           `yaml:"max_remembered" validate:"min=1"`
	// ReportInterval and ReportLag make the load report lag: a report covers one
	// interval and is seen ReportLag after the interval's end.
	ReportInterval time.Duration `yaml:"report_interval" validate:"gt=0"`
	ReportLag      time.Duration `yaml:"report_lag" validate:"min=0"`
	// Cache events are seen between the two delays after they happened; a share
	// of EventLoss is never seen.
	EventDelayShortest time.Duration `yaml:"event_delay_shortest" validate:"min=0"`
	EventDelayLongest  time.Duration `yaml:"event_delay_longest" validate:"gtefield=EventDelayShortest"`
	EventLoss          float64       `yaml:"event_loss" validate:"min=0,max=1"`
	MaxEvents          int           `yaml:"max_events" validate:"min=1"`
	// MaxTruth bounds each list of the record of what the engine saw.
	MaxTruth int `yaml:"max_truth" validate:"min=1"`
}

// DefaultParameters returns an engine of one mid-sized accelerator that serves
// the named models.
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

// Validate checks parameters and reports all faults together.
func (p Parameters) Validate() error {
	if err := validator.New().Struct(p); err != nil {
		return fmt.Errorf("engine: parameters of %q: %w", p.Name, err)
	}
	return nil
}
