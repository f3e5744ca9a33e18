package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrTrace is wrapped by every error that ReadTrace finds in a trace.
var ErrTrace = errors.New("experiment: invalid trace")

// maximumTraceLine bounds one line of a trace.
const maximumTraceLine = 4 << 20

// Trace is a recorded workload with the expected outcomes of its replay. In a file,
// each line is a JSON object with the field kind: first the site, then programs in
// order of arrival, then outcomes.
type Trace struct {
	Site     TraceSite
	Programs []Program
	Outcomes []Outcome
}

// TraceSite names a site and overrides some of its parameters.
type TraceSite struct {
	Name string `json:"site"`
	// Engines and Nodes override the site's counts unless they are 0.
	Engines  int           `json:"engines,omitempty"`
	Nodes    int           `json:"nodes,omitempty"`
	Duration time.Duration `json:"duration_ns"`
	Warmup   time.Duration `json:"warmup_ns,omitempty"`
	Load     float64       `json:"load,omitempty"`
	Seed     uint64        `json:"seed"`
	// NoFaults disables the injected engine failure and slowdown.
	NoFaults bool `json:"calm,omitempty"`
}

// Outcome bounds the result of a replay with one policy. Fields that are nil are not
// checked.
type Outcome struct {
	Policy            string   `json:"policy"`
	Completed         *int     `json:"completed,omitempty"`
	RefusedAtMost     *int     `json:"refused_at_most,omitempty"`
	LatencyP95AtMost  *float64 `json:"latency_p95_at_most_s,omitempty"`
	RecomputedAtMost  *int64   `json:"recomputed_tokens_at_most,omitempty"`
	RecomputedAtLeast *int64   `json:"recomputed_tokens_at_least,omitempty"`
	WastedAtMost      *float64 `json:"wasted_cache_share_at_most,omitempty"`
	WastedAtLeast     *float64 `json:"wasted_cache_share_at_least,omitempty"`
}

const (
	kindSite    = "site"
	kindProgram = "program"
	kindOutcome = "outcome"
)

// Write writes the trace in its file format.
func (t *Trace) Write(out io.Writer) error {
	encoder := json.NewEncoder(out)
	write := func(line any) error {
		if err := encoder.Encode(line); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		return nil
	}
	if err := write(struct {
		Kind string `json:"kind"`
		TraceSite
	}{kindSite, t.Site}); err != nil {
		return err
	}
	for i := range t.Programs {
		if err := write(struct {
			Kind string `json:"kind"`
			Program
		}{kindProgram, t.Programs[i]}); err != nil {
			return err
		}
	}
	for i := range t.Outcomes {
		if err := write(struct {
			Kind string `json:"kind"`
			Outcome
		}{kindOutcome, t.Outcomes[i]}); err != nil {
			return err
		}
	}
	return nil
}

// ReadTrace reads a trace and checks it in full; all faults are reported
// together, each with its line.
func ReadTrace(in io.Reader) (*Trace, error) {
	trace := &Trace{}
	var faults []error
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maximumTraceLine)
	for line := 1; scanner.Scan(); line++ {
		if err := trace.parse(scanner.Bytes()); err != nil {
			faults = append(faults, fmt.Errorf("%w: line %d: %w", ErrTrace, line, err))
		}
	}
	if err := scanner.Err(); err != nil {
		faults = append(faults, fmt.Errorf("%w: %w", ErrTrace, err))
	}
	if trace.Site.Name == "" {
		faults = append(faults, fmt.Errorf("%w: no line of kind %s", ErrTrace, kindSite))
	}
	return trace, errors.Join(faults...)
}

func (t *Trace) parse(line []byte) error {
	var header struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(line, &header); err != nil {
		return err
	}
	switch header.Kind {
	case kindSite:
		if err := json.Unmarshal(line, &t.Site); err != nil {
			return err
		}
		return t.Site.check()
	case kindProgram:
		var program Program
		if err := json.Unmarshal(line, &program); err != nil {
			return err
		}
		t.Programs = append(t.Programs, program)
		return t.Site.checkProgram(&program)
	case kindOutcome:
		var outcome Outcome
		if err := json.Unmarshal(line, &outcome); err != nil {
			return err
		}
		t.Outcomes = append(t.Outcomes, outcome)
		_, err := StrategyByName(outcome.Policy)
		return err
	default:
		return fmt.Errorf("kind %q: want %s, %s or %s", header.Kind, kindSite, kindProgram, kindOutcome)
	}
}

func (s *TraceSite) check() error {
	_, err := SiteByName(s.Name)
	if s.Duration <= 0 {
		err = errors.Join(err, fmt.Errorf("duration_ns %d: want more than 0", s.Duration))
	}
	if s.Engines < 0 || s.Nodes < 0 {
		err = errors.Join(err, fmt.Errorf("engines %d, nodes %d: want 0 or more", s.Engines, s.Nodes))
	}
	return err
}

// checkProgram validates a program: its class must exist and its calls may depend on
// earlier calls only.
func (s *TraceSite) checkProgram(program *Program) error {
	site, err := s.site()
	if err != nil {
		return err
	}
	known := false
	for i := range site.Classes {
		known = known || site.Classes[i].Name == program.Class
	}
	var faults []error
	if !known {
		faults = append(faults, fmt.Errorf("program %s: class %q is not defined for site %s", program.ID, program.Class, site.Name))
	}
	if len(program.Calls) == 0 {
		faults = append(faults, fmt.Errorf("program %s: no calls", program.ID))
	}
	for i, call := range program.Calls {
		if call.NewTokens < 1 || call.AnswerTokens < 1 || call.Turn < 0 || call.Pause < 0 {
			faults = append(faults, fmt.Errorf("program %s: call %d: token counts must be positive, turn and pause must not be negative", program.ID, i))
		}
		if len(call.After) == 0 && i > 0 {
			faults = append(faults, fmt.Errorf("program %s: call %d: only the first call may have no predecessor", program.ID, i))
		}
		for _, before := range call.After {
			if before < 0 || before >= i {
				faults = append(faults, fmt.Errorf("program %s: call %d waits for call %d, which is not an earlier call", program.ID, i, before))
			}
		}
	}
	return errors.Join(faults...)
}

// site returns the named site with the overrides applied.
func (s *TraceSite) site() (Site, error) {
	site, err := SiteByName(s.Name)
	if err != nil {
		return Site{}, err
	}
	if s.Engines > 0 {
		site.Engines = s.Engines
	}
	if s.Nodes > 0 {
		site.Nodes = s.Nodes
	}
	site.Duration, site.Warmup, site.Prehistory = s.Duration, s.Warmup, 0
	return site, nil
}

// Options returns the options for a replay of the trace with a strategy.
func (t *Trace) Options(strategy Strategy) (Options, error) {
	site, err := t.Site.site()
	return Options{
		Site: site, Strategy: strategy, Load: t.Site.Load, Seed: t.Site.Seed,
		Programs: t.Programs, NoFaults: t.Site.NoFaults,
	}, err
}

// Check returns all deviations of result from the expected outcome, joined into one
// error.
func (o *Outcome) Check(result *Result) error {
	var faults []error
	state := func(measure string, holds bool, got, want any) {
		if !holds {
			faults = append(faults, fmt.Errorf("%s: %s is %v, stated %v", o.Policy, measure, got, want))
		}
	}
	if o.Completed != nil {
		state("completed", result.Completed == *o.Completed, result.Completed, *o.Completed)
	}
	if o.RefusedAtMost != nil {
		state("refused", result.Refused <= *o.RefusedAtMost, result.Refused, *o.RefusedAtMost)
	}
	if o.LatencyP95AtMost != nil {
		state("p95 latency", result.LatencyP95 <= *o.LatencyP95AtMost, result.LatencyP95, *o.LatencyP95AtMost)
	}
	if o.RecomputedAtMost != nil {
		state("recomputed", result.RecomputedTokens <= *o.RecomputedAtMost, result.RecomputedTokens, *o.RecomputedAtMost)
	}
	if o.RecomputedAtLeast != nil {
		state("recomputed", result.RecomputedTokens >= *o.RecomputedAtLeast, result.RecomputedTokens, *o.RecomputedAtLeast)
	}
	if o.WastedAtMost != nil {
		state("wasted share", result.WastedCacheShare <= *o.WastedAtMost, result.WastedCacheShare, *o.WastedAtMost)
	}
	if o.WastedAtLeast != nil {
		state("wasted share", result.WastedCacheShare >= *o.WastedAtLeast, result.WastedCacheShare, *o.WastedAtLeast)
	}
	return errors.Join(faults...)
}
