package exchange

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/emulator/replica"
)

// sendInTurn sends requests to a target one after the other, and returns their statuses and bodies, or the
// reasons of their failures and what became of them.
func sendInTurn(t *testing.T, client *Client, target Target, repeatable bool, ids ...string) []string {
	t.Helper()
	return lo.Map(ids, func(id string, _ int) string {
		defer time.Sleep(2 * restTime)
		request := newRequest(id)
		request.Repeatable = repeatable
		answer, err := client.Send(t.Context(), target, request)
		var failure *FailureError
		if errors.As(err, &failure) {
			return fmt.Sprint(failure.Reason, " ", failure.Outcome)
		}
		defer answer.Close()
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			return err.Error()
		}
		return fmt.Sprint(answer.Status, " ", string(body))
	})
}

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
			results := sendInTurn(t, client, Target{Instance: "a", Address: started.Address}, c.repeatable, "1", "2", "3")
			is.Equal(results[0], "200 own")
			is.Equal(results[2], "200 own")
			want := map[int]string{0: fmt.Sprint(c.failure, " unknown"), 200: "200 own", 503: "503 full"}[c.status]
			is.Equal(results[1], want)
			reports := lo.CountBy(started.Received(), func(received replica.Request) bool { return received.URI == "/report" })
			is.True(reports >= c.reports)
			is.Equal(started.Connections(), c.connections)
			if c.surplus > 0 {
				is.Equal(client.Surplus(SurplusSkipped), c.surplus)
			}
		})
	}
}
