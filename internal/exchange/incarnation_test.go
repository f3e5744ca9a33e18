package exchange

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
)

var reportingNames = Names{
	RequestID: "Test-Id", ExpectInstance: "Test-Instance", NotRun: "Test-Not-Run", Stamp: "Test-Stamp",
	ReportPath: "/report", ReportedStart: "born",
}

const targetStart = 1700000000123

func startScript(t *testing.T, script replica.Script) *replica.Replica {
	t.Helper()
	started, err := replica.Start(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

// reports is a replica's script that reports a start and echoes other requests.
func reports(startedAtMs int64) replica.Script {
	return func(e *replica.Exchange) bool {
		if e.Request.URI == "/report" {
			e.Answer(http.StatusOK, fmt.Sprintf(`{"running":2,"born":%d}`, startedAtMs))
			return true
		}
		e.Answer(http.StatusOK, "done", "Test-Id: "+e.Request.Header.Get("Test-Id"))
		return true
	}
}

func checked(id string, check IncarnationCheck) Request {
	return Request{ID: id, Method: "POST", URI: "/", Host: "h", Header: map[string][]string{"Test-Id": {id}}, Repeatable: true, Stream: true, Incarnation: check}
}

// TestRequestsReachOnlyTheIncarnationOfTheirTarget guards against requests that another process of a replica
// gets, which has started again under its ID and at its address.
func TestRequestsReachOnlyTheIncarnationOfTheirTarget(t *testing.T) {
	silent := func(*replica.Exchange) bool { time.Sleep(2 * reportTimeout); return false }
	answers := func(report string) replica.Script {
		return func(e *replica.Exchange) bool {
			if e.Request.URI == "/report" {
				e.Write("%s", report)
				return true
			}
			return reports(0)(e)
		}
	}
	whole := func(status int, body string, head string) string {
		return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	}
	for name, c := range map[string]struct {
		script replica.Script
		// notOther and confirmed are the results of a request with that check.
		notOther, confirmed Reason
		known               Incarnation
	}{
		"same":                  {script: reports(targetStart), known: IncarnationSame},
		"later":                 {script: reports(targetStart + 1), notOther: ReasonMoved, confirmed: ReasonMoved},
		"earlier":               {script: reports(targetStart - 1), notOther: ReasonMoved, confirmed: ReasonMoved},
		"other, then closes":    {script: answers(whole(200, `{"born":1}`, "Connection: close\r\n")), notOther: ReasonMoved, confirmed: ReasonMoved},
		"another instance":      {script: answers(whole(421, "", "")), notOther: ReasonMoved, confirmed: ReasonMoved},
		"no report":             {script: answers(whole(404, "", "")), confirmed: ReasonIncarnation, known: IncarnationUnreported},
		"full":                  {script: answers(whole(503, "", "Test-Not-Run: 1\r\n")), confirmed: ReasonIncarnation, known: IncarnationUnreported},
		"no start":              {script: answers(whole(200, `{"running":2}`, "")), confirmed: ReasonIncarnation, known: IncarnationUnreported},
		"start is a text":       {script: answers(whole(200, `{"born":"1700000000123"}`, "")), confirmed: ReasonIncarnation, known: IncarnationUnreported},
		"start is a fraction":   {script: answers(whole(200, `{"born":1700000000123.5}`, "")), confirmed: ReasonIncarnation, known: IncarnationUnreported},
		"nested start":          {script: answers(whole(200, `{"runs":{"born":1700000000123}}`, "")), confirmed: ReasonIncarnation, known: IncarnationUnreported},
		"no JSON":               {script: answers(whole(200, `born`, "")), confirmed: ReasonIncarnation, known: IncarnationUnreported},
		"long":                  {script: answers(whole(200, `{"born":1700000000123,"runs":"`+strings.Repeat("x", maxReportBytes/2)+`"}`, "")), known: IncarnationSame},
		"too long":              {script: answers(whole(200, `{"born":1700000000123,"runs":"`+strings.Repeat("x", maxReportBytes)+`"}`, "")), confirmed: ReasonIncarnation},
		"deeply nested":         {script: answers(whole(200, `{"born":1700000000123,"runs":`+strings.Repeat("[", 20000), "")), confirmed: ReasonIncarnation, known: IncarnationUnreported},
		"surplus bytes":         {script: answers(whole(200, `{"born":1700000000123}`, "") + "HTTP/1.1 200 OK\r\n"), confirmed: ReasonIncarnation},
		"closes":                {script: answers(whole(200, `{"born":1700000000123}`, "Connection: close\r\n")), confirmed: ReasonIncarnation},
		"late response":         {script: answers(whole(200, `{"born":1700000000123}`, "Test-Id: 7\r\n")), confirmed: ReasonIncarnation},
		"informational":         {script: answers("HTTP/1.1 103 x\r\n\r\n" + whole(200, `{"born":1700000000123}`, "")), confirmed: ReasonIncarnation},
		"no HTTP":               {script: answers("born 1700000000123\n\n"), confirmed: ReasonIncarnation},
		"never answers reports": {script: func(e *replica.Exchange) bool { return e.Request.URI == "/report" && silent(e) || reports(0)(e) }, confirmed: ReasonIncarnation},
	} {
		for check, want := range map[IncarnationCheck]Reason{IncarnationNotOther: c.notOther, IncarnationConfirmed: c.confirmed} {
			t.Run(fmt.Sprint(name, " ", check), func(t *testing.T) {
				is := is.New(t)
				started := startScript(t, c.script)
				client := NewClient(reportingNames)
				target := Target{Instance: "a", StartedAtMs: targetStart, Address: started.Address}
				answer, err := client.Send(t.Context(), target, checked("1", check))
				requests := 0
				for _, received := range started.Received() {
					if received.URI == "/" {
						requests++
					}
				}
				if want == "" {
					is.NoErr(err)
					defer answer.Close()
					is.Equal(answer.Incarnation, c.known)
					is.Equal(requests, 1)
					return
				}
				var failure *FailureError
				is.True(errors.As(err, &failure))
				is.Equal(failure.Reason, want)
				is.Equal(failure.Outcome, OutcomeNotRun)
				is.Equal(requests, 0)
			})
		}
	}
}

func TestConnectionIsAskedOnceForItsIncarnation(t *testing.T) {
	is := is.New(t)
	started := startScript(t, reports(targetStart))
	client := NewClient(reportingNames)
	target := Target{Instance: "a", StartedAtMs: targetStart, Address: started.Address}
	for i, check := range []IncarnationCheck{IncarnationUnchecked, IncarnationNotOther, IncarnationConfirmed, IncarnationUnchecked} {
		answer, err := client.Send(t.Context(), target, checked(fmt.Sprint(i), check))
		is.NoErr(err)
		_, err = answer.Body.ReadString('e')
		is.NoErr(err)
		_, err = answer.Body.ReadByte()
		is.True(err != nil)
		answer.Close()
		is.Equal(answer.Incarnation == IncarnationSame, i > 0)
	}
	is.Equal(started.Connections(), 1)
	is.Equal(client.Asked(IncarnationSame), uint64(1))
}

// A connection that its replica had closed while it was idle is no sign of another incarnation.
func TestStaleConnectionIsReplacedToAskForTheIncarnation(t *testing.T) {
	is := is.New(t)
	var answered atomic.Int64
	started := startScript(t, func(e *replica.Exchange) bool {
		if e.Request.URI == "/report" && e.Number == 2 {
			return false // as if the request had crossed with the end of an idle connection
		}
		answered.Add(1)
		return reports(targetStart)(e)
	})
	client := NewClient(reportingNames)
	target := Target{Instance: "a", StartedAtMs: targetStart, Address: started.Address}
	for i, check := range []IncarnationCheck{IncarnationUnchecked, IncarnationConfirmed} {
		answer, err := client.Send(t.Context(), target, checked(fmt.Sprint(i), check))
		is.NoErr(err)
		for err == nil {
			_, err = answer.Body.ReadByte()
		}
		answer.Close()
	}
	is.Equal(started.Connections(), 2)
	is.Equal(answered.Load(), int64(3))
}

// Instances that do not publish their start have one incarnation.
func TestInstancesWithoutAStartAreNotAsked(t *testing.T) {
	is := is.New(t)
	started := startScript(t, reports(targetStart))
	answer, err := NewClient(reportingNames).Send(t.Context(), Target{Instance: "a", Address: started.Address}, checked("1", IncarnationConfirmed))
	is.NoErr(err)
	defer answer.Close()
	is.Equal(answer.Incarnation, IncarnationSame)
	is.Equal(len(started.Received()), 1)
}
