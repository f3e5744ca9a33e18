package settings

import (
	"fmt"
	"strings"
)

// Finding is one error in the settings, with its location.
type Finding struct {
	// Place is "file:line" of a file, or "flag --name".
	Place string
	// Field is the field's path, such as addresses.peer.
	Field   string
	Message string
}

// String returns "place: field: message".
func (f Finding) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", f.Place, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", f.Place, f.Field, f.Message)
}

// FindingsError is the error that carries all findings of the settings.
type FindingsError struct{ Findings []Finding }

// Error returns one line per finding.
func (e *FindingsError) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	lines = append(lines, fmt.Sprintf("settings: %d finding(s)", len(e.Findings)))
	for _, finding := range e.Findings {
		lines = append(lines, "  "+finding.String())
	}
	return strings.Join(lines, "\n")
}
