package ledgerlog

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestReadsGrowWhileSwiftAndShrinkWhenLost(t *testing.T) {
	is := is.New(t)
	window := &readWindow{}
	is.Equal(window.size(), firstWindow)
	window.answered(swiftRead, false) // there was no more to read
	window.answered(swiftRead+1, true)
	is.Equal(window.size(), firstWindow)
	window.answered(swiftRead, true)
	is.Equal(window.size(), 2*firstWindow)
	window.unanswered()
	window.unanswered()
	is.Equal(window.size(), firstWindow/2)
}

func TestReadWindowStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := &readWindow{}
		for range rapid.IntRange(0, 50).Draw(t, "reads") {
			if rapid.Bool().Draw(t, "answered") {
				window.answered(time.Duration(rapid.IntRange(0, 200).Draw(t, "took"))*time.Millisecond, true)
			} else {
				window.unanswered()
			}
			if window.size() < leastWindow || window.size() > mostWindow {
				t.Fatalf("%d bytes", window.size())
			}
		}
	})
}
