package trace

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/table"
)

// check validates a trace across fields and events: references to undefined
// names, programs used before their creation, times out of order and
// contradictory outcomes.
func check(t *Trace) []Finding {
	c := &checker{trace: t, programs: map[identity.ProgramID]bool{}, publications: map[string]bool{}}
	c.classes = c.table(1, "site.table", t.Header.Site.Table)
	c.backends(t.Header.Site)
	var last Duration
	for _, event := range t.Events {
		c.line = event.Line
		if event.At < 0 {
			c.add("at", "is before the start of the trace")
		}
		if event.At < last {
			c.add("at", "is earlier than the previous event")
		}
		last = max(last, event.At)
		c.event(event.Body)
	}
	return c.findings
}

type checker struct {
	trace        *Trace
	classes      map[string]table.Class
	programs     map[identity.ProgramID]bool
	publications map[string]bool
	line         int
	findings     []Finding
}

func (c *checker) add(field, format string, arguments ...any) {
	c.findings = append(c.findings, Finding{File: c.trace.File, Line: c.line, Field: field, Message: fmt.Sprintf(format, arguments...)})
}

// table parses a table, reports its findings and returns its classes, nil if it
// is invalid.
func (c *checker) table(line int, field string, lines []string) map[string]table.Class {
	c.line = line
	parsed, err := table.Parse(TableContent(lines))
	var invalid *table.InvalidError
	if errors.As(err, &invalid) {
		for _, finding := range invalid.Findings {
			c.add(field, "%s", finding)
		}
		return nil
	}
	if err != nil {
		c.add(field, "%v", err)
		return nil
	}
	return parsed.Classes
}

// TableContent joins the lines of a table into CSV with a final newline.
func TableContent(lines []string) []byte { return []byte(strings.Join(lines, "\n") + "\n") }

func (c *checker) backends(site Site) {
	names := map[string]bool{}
	for _, one := range slices.Concat(site.Engines, site.Applications) {
		if names[one.Name] {
			c.add("site", "two back ends have the name %q", one.Name)
		}
		names[one.Name] = true
	}
	for _, one := range site.Engines {
		if len(one.Models) == 0 {
			c.add("site.engines", "%q has no models", one.Name)
		}
	}
}

func (c *checker) event(body Body) {
	switch event := body.(type) {
	case Create:
		c.create(event)
	case Call:
		c.call(event)
	case End:
		c.program(event.Program)
		c.node("node", event.Node)
	case Cancel:
		c.program(event.Program)
		c.node("node", event.Node)
	case Kill:
		c.node("node", event.Node)
	case Freeze:
		c.node("node", event.Node)
	case Drain:
		c.node("node", event.Node)
	case Cut:
		c.node("from", event.From)
		c.node("to", event.To)
	case CutZone:
		if !slices.Contains(c.trace.Header.Site.Zones, event.Zone) {
			c.add("zone", "the site has no zone %q", event.Zone)
		}
	case Engine:
		c.backend(event.Name, c.trace.Header.Site.Engines)
	case RestartEngine:
		c.backend(event.Name, c.trace.Header.Site.Engines)
	case Application:
		c.backend(event.Name, c.trace.Header.Site.Applications)
	case Leave:
		c.backend(event.Name, c.trace.Header.Site.Engines, c.trace.Header.Site.Applications)
	case Publish:
		c.publish(event)
	default:
		c.expectation(body)
	}
}

func (c *checker) expectation(body Body) {
	switch event := body.(type) {
	case ExpectOrder:
		c.program(event.Program)
	case ExpectConversation:
		c.program(event.Program)
	case ExpectSpent:
		c.program(event.Program)
	case ExpectMemory:
		c.program(event.Program)
	case ExpectState:
		c.program(event.Program)
	case ExpectNoNewWork:
		c.backend(event.Name, c.trace.Header.Site.Engines)
	}
}

func (c *checker) create(event Create) {
	if c.programs[event.Program] {
		c.add("program", "%q is created twice", event.Program)
	}
	c.programs[event.Program] = true
	if _, known := c.classes[event.Class]; !known {
		c.add("class", "the first table has no class %q", event.Class)
	}
	c.node("node", event.Node)
}

func (c *checker) program(program identity.ProgramID) {
	if !c.programs[program] {
		c.add("program", "no earlier line creates %q", program)
	}
}

func (c *checker) node(field string, reference NodeReference) {
	if reference == "" {
		return
	}
	if program, named := reference.OwnerOf(); named {
		if !c.programs[program] {
			c.add(field, "no earlier line creates %q", program)
		}
		return
	}
	for index := range c.trace.Header.Site.Nodes {
		if NodeReference(NodeName(index)) == reference {
			return
		}
	}
	c.add(field, "the site has no node %q", reference)
}

func (c *checker) backend(name string, lists ...[]Backend) {
	if !slices.ContainsFunc(slices.Concat(lists...), func(one Backend) bool { return one.Name == name }) {
		c.add("name", "the site has no back end %q", name)
	}
}

func (c *checker) call(event Call) {
	c.program(event.Program)
	c.node("node", event.Node)
	if event.Pause != nil && *event.Pause < 0 {
		c.add("pause", "is negative")
	}
	switch event.Call.Kind {
	case api.CallModel:
		if len(event.Call.Messages) == 0 {
			c.add("call.messages", "is missing")
		}
	case api.CallApplication:
		if event.Call.Application == "" || event.Call.Operation == "" {
			c.add("call", "an application call needs application and operation")
		}
	default:
		c.add("call.kind", "is %q, want model or application", event.Call.Kind)
	}
	if event.Call.Sequence == 0 {
		c.add("call.sequence", "is missing")
	}
	c.outcome(event.Outcome)
}

func (c *checker) outcome(expected Outcome) {
	refused := expected.Kind == OutcomeRefused
	switch {
	case refused && !slices.Contains(api.Codes(), expected.Code):
		c.add("outcome.code", "%q is not a problem code", expected.Code)
	case !refused && (expected.Code != "" || expected.NotRun):
		c.add("outcome", "code and not_run are allowed for a refusal only")
	}
	if answered := expected.Kind == OutcomeAnswered || expected.Kind == OutcomeReplayed; expected.Digest != "" && !answered {
		c.add("outcome.digest", "is allowed for an answer only")
	}
}

func (c *checker) publish(event Publish) {
	if c.publications[event.ID] {
		c.add("id", "%q is published twice", event.ID)
	}
	c.publications[event.ID] = true
	c.node("node", event.Node)
	if (event.Outcome == "") == (event.RaceOf == "") {
		c.add("outcome", "exactly one of outcome and race_of is required")
	}
	if event.Outcome != PublicationInvalid {
		c.table(c.line, "table", event.Table)
	}
}
