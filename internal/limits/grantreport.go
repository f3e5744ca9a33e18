package limits

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// GrantRecord is what one node granted of a tenant's limit in a period, or how many requests
// it sent again, as its log says.
type GrantRecord struct {
	Node string `json:"node"`
	// Began is the start of the period, by the node's wall clock.
	Began time.Time `json:"began"`
	// Allocator identifies the process that granted tokens; 0 if the record has only
	// repeats.
	Allocator uint64 `json:"allocator,omitempty"`
	// Granted and Returned count tokens, Fraction is the greatest leased fraction of the
	// limit.
	Granted  int     `json:"granted"`
	Returned int     `json:"returned"`
	Fraction float64 `json:"fraction"`
	Repeats  int     `json:"repeats"`
}

// net returns the tokens that may have been spent.
func (r GrantRecord) net() int { return r.Granted - r.Returned }

// logLine has the fields of a log line that GrantRecord needs.
type logLine struct {
	Time             time.Time `json:"time"`
	Message          string    `json:"msg"`
	Node             string    `json:"node"`
	Tenant           string    `json:"tenant"`
	Allocator        uint64    `json:"allocator"`
	Granted          int       `json:"granted"`
	Returned         int       `json:"returned"`
	Fraction         float64   `json:"fraction"`
	Repeats          int       `json:"repeats"`
	PeriodBeganMsAgo int64     `json:"period_began_ms_ago"`
}

// maxLogLineBytes bounds a line of a log.
const maxLogLineBytes = 1 << 20

// ReadGrants returns the records of a tenant in a node's log in JSON, in their order. It
// ignores all other lines.
func ReadGrants(log io.Reader, tenant string) ([]GrantRecord, error) {
	var found []GrantRecord
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Tenant != tenant || line.Message != grantMessage && line.Message != repeatMessage {
			continue
		}
		found = append(found, GrantRecord{
			Node: line.Node, Began: line.Time.Add(-time.Duration(line.PeriodBeganMsAgo) * time.Millisecond), Allocator: line.Allocator,
			Granted: line.Granted, Returned: line.Returned, Fraction: line.Fraction, Repeats: line.Repeats,
		})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("limits: read a log: %w", err)
	}
	return found, nil
}

// WorstGrants returns the records of the window in which most tokens were granted and not
// returned, by the starts of their periods, and that number.
func WorstGrants(records []GrantRecord, window time.Duration) (worst []GrantRecord, tokens int) {
	sorted := slices.SortedStableFunc(slices.Values(records), func(a, b GrantRecord) int { return a.Began.Compare(b.Began) })
	first, sum := 0, 0
	for last, record := range sorted {
		sum += record.net()
		for record.Began.Sub(sorted[first].Began) >= window {
			sum -= sorted[first].net()
			first++
		}
		if sum >= tokens {
			worst, tokens = sorted[first:last+1], sum
		}
	}
	return worst, tokens
}
