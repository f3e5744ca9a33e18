package ledgerlog

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestReadWindowGrowsAndShrinks(t *testing.T) {
	is := is.New(t)
	window := &readWindow{}
	is.Equal(window.size(), initialWindow)
	window.answered(fastRead, false) // there was no more to read
	window.answered(fastRead+1, true)
	is.Equal(window.size(), initialWindow)
	window.answered(fastRead, true)
	is.Equal(window.size(), 2*initialWindow)
	window.unanswered()
	window.unanswered()
	is.Equal(window.size(), initialWindow/2)
}

func TestReadWindowStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := &readWindow{}
		for range rapid.IntRange(0, 50).Draw(t, "reads") {
			if rapid.Bool().Draw(t, "answered") {
				window.answered(time.Duration(rapid.IntRange(0, 200).Draw(t, "took"))*time.Millisecond, true)
			} else {
				window.unanswered()
			}
			if window.size() < minWindow || window.size() > maxWindow {
				t.Fatalf("%d bytes", window.size())
			}
		}
	})
}
