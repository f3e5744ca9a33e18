package knowledge

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The first request prefills 900 tokens from 1.0 s to 1.5 s and ends at 2 s. Another node
// sends the second to the same replica at 1.2 s without information about the first.
const merged = `
building
   2.0000 n1 {"time":"2026-01-01T00:00:09Z","msg":"request ended","status":200,"replica":"a","attempts":1,"took_ms":1010,"ledger_ms":10,"first_byte_ms":510,"prompt":1000,"uncached":900,"unread_ahead":0,"beside":0,"expected_first_ms":500}
   2.2000 n2 {"time":"2026-01-01T00:00:00Z","msg":"request ended","status":200,"replica":"a","attempts":1,"took_ms":1000,"first_byte_ms":700,"prompt":100,"uncached":50,"unread_ahead":0,"beside":0,"expected_first_ms":100}
   2.3000 n2 {"msg":"request ended","status":200,"replica":"b","attempts":1,"took_ms":2000,"first_byte_ms":700,"prompt":100,"uncached":50}
   2.3000 n2 {"msg":"request ended","status":503,"replica":"a","attempts":1,"took_ms":2000,"prompt":100}
   2.3000 n2 {"msg":"replica gone"}
   2.4000 n2 {"msg":"request ended"
`

func TestMeasureUsesLinesOfAllNodes(t *testing.T) {
	is := is.New(t)
	requests, err := Parse(strings.NewReader(merged))
	is.NoErr(err)
	is.Equal(len(requests), 3)
	table := Measure(requests)
	is.Equal(len(table), 3)
	others, pending, first := table[0], table[1], table[2]
	is.Equal(others.Choices, 3)
	is.Equal(others.Underestimated, 1) // only the second request overlaps with another one
	is.Equal(pending.Underestimated, 1)
	is.Equal(others.Actual, Quantiles{P50: 0, P95: 0})
	is.Equal(first.Underestimated, 2)
	actual := actualState(requests[:2], requests[1])
	is.Equal(actual.OtherRequests, 1.0)
	is.Equal(actual.PendingTokens, 900.0)
}

func TestParseUsesNodeTimestampWithoutPrefix(t *testing.T) {
	is := is.New(t)
	requests, err := Parse(strings.NewReader(`{"time":"1970-01-01T00:00:07Z","msg":"request ended","status":200,"replica":"a","attempts":1,"took_ms":1000,"first_byte_ms":500,"prompt":1}`))
	is.NoErr(err)
	is.Equal(requests[0].Sent, 6.0)
	is.Equal(requests[0].First, 6.5)
	is.Equal(requests[0].End, 7.0)
}

func TestParseRejectsLogWithoutRequests(t *testing.T) {
	is := is.New(t)
	_, err := Parse(strings.NewReader("nothing\n"))
	is.True(errors.Is(err, errNoRequests))
	is.Equal(quantiles(nil), Quantiles{})
}
