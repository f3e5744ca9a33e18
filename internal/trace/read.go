package trace

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
)

// Finding is one error in a trace with its location.
type Finding struct {
	File string
	Line int
	// Field is the path of the field, such as call.sequence; it is empty if the
	// finding concerns the whole line.
	Field   string
	Message string
}

// String returns "file:line: field: message".
func (f Finding) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Message)
}

// InvalidError contains all findings of a trace.
type InvalidError struct{ Findings []Finding }

// Error returns one line per finding.
func (e *InvalidError) Error() string {
	lines := []string{fmt.Sprintf("trace: %d finding(s)", len(e.Findings))}
	for _, finding := range e.Findings {
		lines = append(lines, "  "+finding.String())
	}
	return strings.Join(lines, "\n")
}

// bodies maps each kind to its type.
var bodies = func() map[Kind]reflect.Type {
	known := map[Kind]reflect.Type{}
	for _, body := range []Body{
		Create{},
		Call{},
		End{},
		Cancel{},
		Kill{},
		Freeze{},
		Drain{},
		Cut{},
		CutZone{},
		Log{},
		Engine{},
		RestartEngine{},
		Application{},
		Leave{},
		Publish{},
		ExpectExecutions{},
		ExpectOrder{},
		ExpectConversation{},
		ExpectSpent{},
		ExpectVersion{},
		ExpectMemory{},
		ExpectState{},
		ExpectNoNewWork{},
	} {
		known[body.Kind()] = reflect.TypeOf(body)
	}
	return known
}()

// ReadFile reads the trace in the file at path.
func ReadFile(path string) (*Trace, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	return Read(filepath.Base(path), bytes.NewReader(content))
}

// Read decodes and validates a trace. The error is an *InvalidError with all
// findings unless the source can't be read. The checks across events run only if
// every line is valid by itself.
func Read(file string, source io.Reader) (*Trace, error) {
	content, err := io.ReadAll(source)
	if err != nil {
		return nil, fmt.Errorf("trace: read %s: %w", file, err)
	}
	r := &reader{file: file}
	read := &Trace{File: file}
	for index, line := range bytes.Split(bytes.TrimSuffix(content, []byte("\n")), []byte("\n")) {
		if index == 0 {
			r.header(line, &read.Header)
			continue
		}
		if event, whole := r.event(index+1, line); whole {
			read.Events = append(read.Events, event)
		}
	}
	if len(r.findings) == 0 {
		r.findings = check(read)
	}
	if len(r.findings) > 0 {
		slices.SortStableFunc(r.findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
		return nil, &InvalidError{Findings: r.findings}
	}
	return read, nil
}

// reader collects findings and continues after each one.
type reader struct {
	file     string
	findings []Finding
}

func (r *reader) add(line int, field, format string, arguments ...any) {
	r.findings = append(r.findings, Finding{File: r.file, Line: line, Field: field, Message: fmt.Sprintf(format, arguments...)})
}

func (r *reader) header(line []byte, header *Header) {
	before := len(r.findings)
	r.object(1, "", line, reflect.ValueOf(header).Elem())
	if header.Version != 0 && header.Version != FormatVersion {
		r.add(1, "stepseam_trace", "unsupported version %d, want %d", header.Version, FormatVersion)
	}
	if len(r.findings) == before {
		r.validate(1, *header)
	}
}

// eventHead has the fields that all event lines share.
type eventHead struct {
	At    *Duration `json:"at"`
	Event Kind      `json:"event"`
}

// event decodes one line; whole is false if the line has findings.
func (r *reader) event(number int, line []byte) (event Event, whole bool) {
	before := len(r.findings)
	fields, err := objectFields(line)
	if err != nil {
		r.add(number, "", "%v", err)
		return Event{}, false
	}
	var head eventHead
	own, rest := splitFields(fields, "at", "event")
	r.fields(number, "", own, reflect.ValueOf(&head).Elem())
	if head.At == nil && len(r.findings) == before {
		r.add(number, "at", "is missing")
	}
	bodyType, known := bodies[head.Event]
	if !known {
		r.add(number, "event", "unknown kind %q", head.Event)
		return Event{}, false
	}
	body := reflect.New(bodyType)
	r.fields(number, "", rest, body.Elem())
	if len(r.findings) > before {
		return Event{}, false
	}
	r.validate(number, body.Elem().Interface())
	return Event{Line: number, At: *head.At, Body: body.Elem().Interface().(Body)}, len(r.findings) == before
}
