package table

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// Kind is the kind of a row.
type Kind string

// The kinds of rows.
const (
	KindModel   Kind = "model"
	KindAdapter Kind = "adapter"
	KindClass   Kind = "class"
)

// kinds lists the kinds in the order in which Format writes them.
var kinds = []Kind{KindModel, KindAdapter, KindClass}

// The names of the two columns that every row has.
const (
	columnKind = "kind"
	columnName = "name"
)

const (
	maxNameLength = 128
	maxCount      = 1_000_000
	maxTokens     = 1 << 40
	maxWeight     = 1_000_000
	maxPriority   = 100
	maxDuration   = 30 * 24 * time.Hour
)

// row is one row of the table during parsing and formatting; only the field for its
// kind is used.
type row struct {
	kind    Kind
	name    string
	model   Model
	adapter Adapter
	class   Class
}

// Column describes one column for documentation and clients.
type Column struct {
	Name string
	// Kinds lists the kinds of rows that have the column; it is empty in others.
	Kinds []Kind
	// Default is the value of an empty cell, as it would be written in the table.
	// Required columns have no default.
	Default  string
	Required bool
	// Values describes the valid values.
	Values string
	// Meaning describes the effect of the column.
	Meaning string
}

// column is a Column with the accessors of its field in a row.
type column struct {
	Column
	set func(r *row, text string) error
	get func(r *row) string
}

// Columns returns all columns except kind and name, in the order of Format.
func Columns() []Column {
	all := make([]Column, 0, len(columns))
	for _, c := range columns {
		all = append(all, c.Column)
	}
	return all
}

var (
	onlyModels  = []Kind{KindModel}
	onlyClasses = []Kind{KindClass}
)

// columns defines all columns except kind and name. Parse, Format, Diff and the
// operators' reference are derived from it.
var columns = []column{
	textColumn("version", []Kind{KindModel, KindAdapter}, true, "which weights to load from the weight store", func(r *row) *string {
		if r.kind == KindModel {
			return &r.model.Version
		}
		return &r.adapter.Version
	}),
	textColumn("service", onlyModels, true, "the pool of engines that may serve the model", func(r *row) *string { return &r.model.Service }),
	textColumn("model", []Kind{KindAdapter, KindClass}, true, "the model an adapter belongs to, or a class uses unless a call names another", func(r *row) *string {
		if r.kind == KindAdapter {
			return &r.adapter.Model
		}
		return &r.class.Model
	}),
	textColumn("adapter", onlyClasses, false, "the adapter that a class uses", func(r *row) *string { return &r.class.Adapter }),
	numberColumn("weight", kinds, "1", positive(maxWeight), "share of capacity against other rows of the same kind", weightOf),
	countColumn("min_replicas", onlyModels, "1", 0, maxCount, "engines that keep the model loaded at least", func(r *row) *int { return &r.model.MinReplicas }),
	countColumn("max_replicas", onlyModels, "0", 0, maxCount, "engines that have the model loaded at most; 0 is no bound", func(r *row) *int { return &r.model.MaxReplicas }),
	countColumn("context_tokens", onlyModels, "", 1, math.MaxInt32, "the longest prompt plus answer", func(r *row) *int { return &r.model.ContextTokens }),
	countColumn("priority", onlyClasses, "0", -maxPriority, maxPriority, "order of waiting calls; higher runs first", func(r *row) *int { return &r.class.Priority }),
	tokensColumn("budget_tokens", onlyClasses, "what one program may spend, prompt and answer tokens together", func(r *row) *int64 { return &r.class.BudgetTokens }),
	countColumn("max_calls", onlyClasses, "", 1, maxCount, "calls of one program before it is stopped", func(r *row) *int { return &r.class.MaxCalls }),
	countColumn("max_branches", onlyClasses, "1", 1, maxCount, "branches of one program, the main one included", func(r *row) *int { return &r.class.MaxBranches }),
	durationColumn("max_duration", onlyClasses, "", time.Second, "how long one program may live", func(r *row) *time.Duration { return &r.class.MaxDuration }),
	durationColumn("idle_timeout", onlyClasses, "", time.Second, "pause after which a program counts as dead", func(r *row) *time.Duration { return &r.class.IdleTimeout }),
	durationColumn("call_timeout", onlyClasses, "", time.Second, "how long one call may take", func(r *row) *time.Duration { return &r.class.CallTimeout }),
	countColumn("max_tokens", onlyClasses, "", 1, math.MaxInt32, "the longest answer, and the default of calls that name none", func(r *row) *int { return &r.class.MaxTokens }),
	countColumn("max_concurrent", onlyClasses, "0", 0, maxCount, "calls of the class that run at once at the site; 0 is no bound", func(r *row) *int { return &r.class.MaxConcurrent }),
	numberColumn("tenant_share", onlyClasses, "1", positive(1), "largest share of the class's capacity for one tenant", func(r *row) *float64 { return &r.class.TenantShare }),
	durationColumn("keep_warm", onlyClasses, "0s", 0, "how long a paused program's cache is kept by preference", func(r *row) *time.Duration { return &r.class.KeepWarm }),
}

func weightOf(r *row) *float64 {
	switch r.kind {
	case KindModel:
		return &r.model.Weight
	case KindAdapter:
		return &r.adapter.Weight
	}
	return &r.class.Weight
}

func textColumn(name string, rowKinds []Kind, required bool, meaning string, field func(*row) *string) column {
	return column{
		Column: Column{Name: name, Kinds: rowKinds, Required: required, Values: "a name", Meaning: meaning},
		set: func(r *row, text string) error {
			*field(r) = text
			return checkName(text)
		},
		get: func(r *row) string { return *field(r) },
	}
}

// bounds is the range of numbers above 0 up to maximum.
type bounds struct{ maximum float64 }

func positive(maximum float64) bounds { return bounds{maximum: maximum} }

func numberColumn(name string, rowKinds []Kind, defaultText string, limits bounds, meaning string, field func(*row) *float64) column {
	values := fmt.Sprintf("a number above 0, at most %s", formatNumber(limits.maximum))
	return column{
		Column: Column{Name: name, Kinds: rowKinds, Default: defaultText, Values: values, Meaning: meaning},
		set: func(r *row, text string) error {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil || math.IsNaN(value) {
				return fmt.Errorf("is %q, want %s", text, values)
			}
			if value <= 0 || value > limits.maximum {
				return fmt.Errorf("is %s, want %s", text, values)
			}
			*field(r) = value
			return nil
		},
		get: func(r *row) string { return formatNumber(*field(r)) },
	}
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

func countColumn(name string, rowKinds []Kind, defaultText string, minimum, maximum int, meaning string, field func(*row) *int) column {
	return column{
		Column: Column{
			Name: name, Kinds: rowKinds, Default: defaultText, Required: defaultText == "",
			Values: fmt.Sprintf("a whole number from %d to %d", minimum, maximum), Meaning: meaning,
		},
		set: func(r *row, text string) error {
			value, err := parseInteger(text, int64(minimum), int64(maximum))
			*field(r) = int(value)
			return err
		},
		get: func(r *row) string { return strconv.Itoa(*field(r)) },
	}
}

func tokensColumn(name string, rowKinds []Kind, meaning string, field func(*row) *int64) column {
	return column{
		Column: Column{
			Name: name, Kinds: rowKinds, Required: true,
			Values: fmt.Sprintf("a whole number from 1 to %d", int64(maxTokens)), Meaning: meaning,
		},
		set: func(r *row, text string) error {
			value, err := parseInteger(text, 1, maxTokens)
			*field(r) = value
			return err
		},
		get: func(r *row) string { return strconv.FormatInt(*field(r), 10) },
	}
}

func parseInteger(text string, minimum, maximum int64) (int64, error) {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("is %q, want a whole number without separators", text)
	}
	if value < minimum || value > maximum {
		return 0, fmt.Errorf("is %d, want %d to %d", value, minimum, maximum)
	}
	return value, nil
}

func durationColumn(name string, rowKinds []Kind, defaultText string, minimum time.Duration, meaning string, field func(*row) *time.Duration) column {
	values := fmt.Sprintf("a duration from %s to %s, such as 90s, 15m or 1h30m", formatDuration(minimum), formatDuration(maxDuration))
	return column{
		Column: Column{Name: name, Kinds: rowKinds, Default: defaultText, Required: defaultText == "", Values: values, Meaning: meaning},
		set: func(r *row, text string) error {
			value, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("is %q, want a duration such as 90s, 15m or 1h30m", text)
			}
			if value < minimum || value > maxDuration {
				return fmt.Errorf("is %s, want %s to %s", text, formatDuration(minimum), formatDuration(maxDuration))
			}
			*field(r) = value
			return nil
		},
		get: func(r *row) string { return formatDuration(*field(r)) },
	}
}

// formatDuration formats d without trailing zero units: 1h instead of 1h0m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

var errName = errors.New("want letters, digits and . _ - : / without spaces, starting with a letter or digit")

// checkName accepts names that need no escaping in URLs, logs and spreadsheets. It
// rejects spreadsheet formulas.
func checkName(name string) error {
	if len(name) > maxNameLength {
		return fmt.Errorf("is %d bytes long, at most %d are allowed", len(name), maxNameLength)
	}
	for i, char := range name {
		plain := unicode.IsLetter(char) || unicode.IsDigit(char)
		if !plain && (i == 0 || !strings.ContainsRune("._-:/", char)) {
			return fmt.Errorf("is %q, %w", name, errName)
		}
	}
	return nil
}
