// Package knowledge compares what nodes believed of engines when they chose them with
// what the log lines of all nodes together show. It reads the lines that nodes write at
// the end of each request, and is pure but for the reader it is given.
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

// endMessage is the message of the lines that are read.
const endMessage = "request ended"

// longestLine bounds a line in bytes.
const longestLine = 1 << 20

// errNoRequests tells that no line is of a request at an engine.
var errNoRequests = errors.New("knowledge: no line of a served request with a prompt")

// Request is one request that an engine has served at the first attempt. Times are in
// seconds from any beginning that all nodes share.
type Request struct {
	Replica string
	// Sent, First and End are when it was sent, got its first event and ended.
	Sent, First, End float64
	// UncachedTokens is what the replica was taken to have to read for it.
	UncachedTokens int
	Believed       Belief
}

// Belief is what a node believed of the replica when it sent a request.
type Belief struct {
	// Others is how many other requests were under way there, UnreadTokens how much of
	// their prompts was yet to be read, FirstMilliseconds the time to the first event.
	Others, UnreadTokens, FirstMilliseconds float64
}

// line is a log line of a request; fields that other lines lack are zero there.
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

// Parse reads log lines of all nodes. Before the JSON object a line may hold a time in
// seconds and a node's name, which a merged log has; the nodes' own clocks count
// otherwise. Lines of anything else are passed over.
func Parse(input io.Reader) ([]Request, error) {
	var requests []Request
	lines := bufio.NewScanner(input)
	lines.Buffer(nil, longestLine)
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
		return Request{}, false // another program's line
	}
	const served = 200
	if read.Message != endMessage || read.Status != served || read.Prompt == 0 || read.Attempts != 1 || read.First == 0 {
		return Request{}, false
	}
	end := float64(read.Time.UnixNano()) / float64(time.Second)
	if fields := strings.Fields(prefix); len(fields) > 0 {
		if told, err := strconv.ParseFloat(fields[0], 64); err == nil {
			end = told
		}
	}
	const milliseconds = 1000
	arrived := end - read.Took/milliseconds
	return Request{
		Replica: read.Replica, Sent: arrived + read.Ledger/milliseconds, First: arrived + read.First/milliseconds, End: end,
		UncachedTokens: read.Uncached,
		Believed:       Belief{Others: read.Beside, UnreadTokens: read.Unread, FirstMilliseconds: read.Expected},
	}, true
}

// Comparison is what was believed of one quantity, what was so, and how far apart they
// were in absolute terms: the middle of all requests and the 95th of 100.
type Comparison struct {
	Quantity                string
	Believed, Real          Quantiles
	Error                   Quantiles
	Underestimated, Choices int
}

// Quantiles are the 50th and 95th of 100 values in order.
type Quantiles struct{ Middle, High float64 }

// Measure compares the beliefs of all requests with what was so: who else was at the
// replica, and what of their prompts was unread, by the nodes' own lines; and the time
// to the first event.
func Measure(requests []Request) []Comparison {
	var others, unread, first []pair
	for _, group := range lo.GroupBy(requests, func(request Request) string { return request.Replica }) {
		for _, request := range group {
			so := at(group, request)
			others = append(others, pair{request.Believed.Others, so.Others})
			unread = append(unread, pair{request.Believed.UnreadTokens, so.UnreadTokens})
			first = append(first, pair{request.Believed.FirstMilliseconds, so.FirstMilliseconds})
		}
	}
	return []Comparison{
		compare("other requests", others), compare("unread tokens ahead", unread), compare("ms to the first event", first),
	}
}

// at returns what was so at the replica of group when request was sent.
func at(group []Request, request Request) Belief {
	const milliseconds = 1000
	so := Belief{FirstMilliseconds: (request.First - request.Sent) * milliseconds}
	for _, other := range group {
		if other.Sent >= request.Sent || other.End <= request.Sent {
			continue
		}
		so.Others++
		if other.First > request.Sent {
			so.UnreadTokens += float64(other.UncachedTokens)
		}
	}
	return so
}

// pair is a value as believed and as it was.
type pair struct{ believed, real float64 }

func compare(quantity string, pairs []pair) Comparison {
	values := func(of func(pair) float64) Quantiles {
		return quantiles(lo.Map(pairs, func(one pair, _ int) float64 { return of(one) }))
	}
	return Comparison{
		Quantity: quantity, Choices: len(pairs),
		Believed:       values(func(one pair) float64 { return one.believed }),
		Real:           values(func(one pair) float64 { return one.real }),
		Error:          values(func(one pair) float64 { return math.Abs(one.believed - one.real) }),
		Underestimated: lo.CountBy(pairs, func(one pair) bool { return one.believed < one.real }),
	}
}

func quantiles(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	slices.Sort(values)
	const high = 0.95
	return Quantiles{Middle: values[len(values)/2], High: values[int(high*float64(len(values)-1))]}
}
