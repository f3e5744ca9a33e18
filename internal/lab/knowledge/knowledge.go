// Package knowledge compares the estimates on which nodes selected replicas with the
// actual values, reconstructed from the log lines that all nodes write at the end of
// each request.
package knowledge

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

// endMessage is the message of the log lines that are evaluated.
const endMessage = "request ended"

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// errNoRequests is returned if the input has no line of a served request.
var errNoRequests = errors.New("knowledge: no log line of a served request with a prompt")

// Request is a request that a replica served at the first attempt. Times are in seconds
// relative to an arbitrary origin that all nodes share.
type Request struct {
	Replica string
	// Sent, First and End are the times of the dispatch, the first event and the end.
	Sent, First, End float64
	// UncachedTokens is the node's estimate of the prompt tokens to prefill.
	UncachedTokens int
	Estimated      Estimate
}

// Estimate is the state of a replica at the dispatch of a request, as estimated by the
// node or as reconstructed.
type Estimate struct {
	// OtherRequests counts the other requests in flight, PendingTokens their prompt tokens
	// that were not yet prefilled. FirstMilliseconds is the time to the first event.
	OtherRequests, PendingTokens, FirstMilliseconds float64
}

// line is a log line; fields that it doesn't contain are zero.
type line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Status   int       `json:"status"`
	Replica  string    `json:"replica"`
	Attempts int       `json:"attempts"`
	Took     float64   `json:"took_ms"`
	Ledger   float64   `json:"ledger_ms"`
	First    float64   `json:"first_byte_ms"`
	Prompt   int       `json:"prompt"`
	Uncached int       `json:"uncached"`
	Unread   float64   `json:"unread_ahead"`
	Beside   float64   `json:"beside"`
	Expected float64   `json:"expected_first_ms"`
}

// Parse reads the log lines of all nodes. In a merged log, a time in seconds and a node
// name may precede the JSON object; that time then replaces the node's own timestamp.
// Other lines are ignored.
func Parse(input io.Reader) ([]Request, error) {
	var requests []Request
	lines := bufio.NewScanner(input)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if request, found := parseLine(lines.Text()); found {
			requests = append(requests, request)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("knowledge: %w", err)
	}
	if len(requests) == 0 {
		return nil, errNoRequests
	}
	return requests, nil
}

func parseLine(text string) (Request, bool) {
	prefix, _, found := strings.Cut(text, "{")
	if !found {
		return Request{}, false
	}
	var read line
	if json.Unmarshal([]byte(text[len(prefix):]), &read) != nil {
		return Request{}, false // not a node's log line
	}
	const served = 200
	if read.Message != endMessage || read.Status != served || read.Prompt == 0 || read.Attempts != 1 || read.First == 0 {
		return Request{}, false
	}
	end := float64(read.Time.UnixNano()) / float64(time.Second)
	if fields := strings.Fields(prefix); len(fields) > 0 {
		if merged, err := strconv.ParseFloat(fields[0], 64); err == nil {
			end = merged
		}
	}
	const milliseconds = 1000
	arrived := end - read.Took/milliseconds
	return Request{
		Replica: read.Replica, Sent: arrived + read.Ledger/milliseconds, First: arrived + read.First/milliseconds, End: end,
		UncachedTokens: read.Uncached,
		Estimated:      Estimate{OtherRequests: read.Beside, PendingTokens: read.Unread, FirstMilliseconds: read.Expected},
	}, true
}

// Comparison has the quantiles of the estimates of one quantity, of its actual values
// and of the absolute errors. Choices counts the requests, Underestimated those whose
// estimate was below the actual value.
type Comparison struct {
	Quantity                string
	Estimated, Actual       Quantiles
	Error                   Quantiles
	Underestimated, Choices int
}

// Quantiles has the 50th and the 95th percentile.
type Quantiles struct{ P50, P95 float64 }

// Measure compares the estimates of all requests with the actual values: the other
// requests in flight on the replica, their pending prompt tokens and the time to the
// first event.
func Measure(requests []Request) []Comparison {
	var others, pending, first []pair
	for _, group := range lo.GroupBy(requests, func(request Request) string { return request.Replica }) {
		for _, request := range group {
			actual := actualState(group, request)
			others = append(others, pair{request.Estimated.OtherRequests, actual.OtherRequests})
			pending = append(pending, pair{request.Estimated.PendingTokens, actual.PendingTokens})
			first = append(first, pair{request.Estimated.FirstMilliseconds, actual.FirstMilliseconds})
		}
	}
	return []Comparison{
		compare("other requests", others), compare("unread tokens ahead", pending), compare("ms to the first event", first),
	}
}

// actualState returns the state of the replica that served group when request was sent.
func actualState(group []Request, request Request) Estimate {
	const milliseconds = 1000
	actual := Estimate{FirstMilliseconds: (request.First - request.Sent) * milliseconds}
	for _, other := range group {
		if other.Sent >= request.Sent || other.End <= request.Sent {
			continue
		}
		actual.OtherRequests++
		if other.First > request.Sent {
			actual.PendingTokens += float64(other.UncachedTokens)
		}
	}
	return actual
}

// pair is an estimated and an actual value.
type pair struct{ estimated, actual float64 }

func compare(quantity string, pairs []pair) Comparison {
	values := func(of func(pair) float64) Quantiles {
		return quantiles(lo.Map(pairs, func(one pair, _ int) float64 { return of(one) }))
	}
	return Comparison{
		Quantity: quantity, Choices: len(pairs),
		Estimated:      values(func(one pair) float64 { return one.estimated }),
		Actual:         values(func(one pair) float64 { return one.actual }),
		Error:          values(func(one pair) float64 { return math.Abs(one.estimated - one.actual) }),
		Underestimated: lo.CountBy(pairs, func(one pair) bool { return one.estimated < one.actual }),
	}
}

func quantiles(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	slices.Sort(values)
	const high = 0.95
	return Quantiles{P50: values[len(values)/2], P95: values[int(high*float64(len(values)-1))]}
}
