package exchange

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
)

// TestSurplusRefusalIsNotTakenForTheResponseToTheNextRequest guards against requests that run twice: a refusal
// without an ID that arrived late, behind the response to an earlier request, counted as one of the next request.
func TestSurplusRefusalIsNotTakenForTheResponseToTheNextRequest(t *testing.T) {
	refuse := func(e *replica.Exchange, head ...string) { e.Answer(503, "full", append(head, "Test-Not-Run: 1")...) }
	own := func(e *replica.Exchange) { respond(e, "own") }
	for name, c := range map[string]struct {
		// second responds to the second request, report to a report.
		second, report func(*replica.Exchange)
		repeatable     bool
		status         int
		failure        Reason
		reports        int
		surplus        uint64
		connections    int
	}{
		"surplus, then the response": {second: func(e *replica.Exchange) {
			refuse(e)
			time.Sleep(30 * time.Millisecond)
			own(e)
		}, status: 200, reports: 1, surplus: 1, connections: 2},
		"surplus, then a refusal":            {second: func(e *replica.Exchange) { refuse(e); refuse(e) }, status: 503, connections: 2},
		"surplus, then a refusal with an ID": {second: func(e *replica.Exchange) { refuse(e); refuse(e, "Test-Id: 2") }, status: 503, reports: 1, surplus: 1, connections: 2},
		"surplus, then the end":              {second: func(e *replica.Exchange) { refuse(e); _ = e.Socket.Close() }, failure: ReasonReset, connections: 2},
		"a refusal":                          {second: func(e *replica.Exchange) { refuse(e) }, status: 503, reports: 1, connections: 1},
		"a refusal with an ID":               {second: func(e *replica.Exchange) { refuse(e, "Test-Id: 2") }, status: 503, connections: 1},
		"a refusal, of the report as well":   {second: func(e *replica.Exchange) { refuse(e) }, report: func(e *replica.Exchange) { refuse(e) }, status: 503, reports: 1, connections: 1},
		"a refusal, no such path":            {second: func(e *replica.Exchange) { refuse(e) }, report: func(e *replica.Exchange) { e.Answer(404, "") }, status: 503, reports: 1, connections: 1},
		"a refusal that ends its connection": {second: func(e *replica.Exchange) { refuse(e, "Connection: close") }, status: 503, connections: 2},
		"a refusal, the report too":          {second: func(e *replica.Exchange) { refuse(e) }, report: func(e *replica.Exchange) { e.Answer(200, "{}", "Connection: close") }, status: 503, reports: 1, connections: 2},
		"may be repeated":                    {second: func(e *replica.Exchange) { refuse(e) }, repeatable: true, status: 503, connections: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			started := startScript(t, func(e *replica.Exchange) bool {
				switch {
				case e.Request.URI == "/report" && c.report != nil:
					c.report(e)
				case e.Request.URI == "/report":
					e.Answer(200, `{"running":1}`)
				case e.Request.Header.Get("Test-Id") == "2":
					c.second(e)
				default:
					own(e)
				}
				return true
			})
			client := NewClient(reportingNames)
			target := Target{Instance: "a", Address: started.Address}
			ask := func(id string) (int, string, error) {
				request := newRequest(id)
				request.Repeatable = c.repeatable
				answer, err := client.Send(t.Context(), target, request)
				if err != nil {
					return 0, "", err
				}
				defer answer.Close()
				body := make([]byte, 16)
				n, _ := answer.Body.Read(body)
				_, _ = answer.Body.ReadByte()
				return answer.Status, string(body[:n]), nil
			}
			for _, id := range []string{"1", "2", "3"} {
				status, body, err := ask(id)
				time.Sleep(2 * restTime)
				if id != "2" {
					is.NoErr(err)
					is.Equal(body, "own")
					continue
				}
				var failure *FailureError
				if c.failure != "" {
					is.True(errors.As(err, &failure))
					is.Equal(failure.Reason, c.failure)
					is.Equal(failure.Outcome, OutcomeUnknown)
					continue
				}
				is.NoErr(err)
				is.Equal(fmt.Sprint(status, " ", body), fmt.Sprint(c.status, " ", map[int]string{200: "own", 503: "full"}[c.status]))
			}
			reports := 0
			for _, received := range started.Received() {
				if received.URI == "/report" && received.Method == http.MethodGet {
					reports++
				}
			}
			is.True(reports >= c.reports)
			is.Equal(started.Connections(), c.connections)
			if c.surplus > 0 {
				is.Equal(client.Surplus(SurplusSkipped), c.surplus)
			}
		})
	}
}
