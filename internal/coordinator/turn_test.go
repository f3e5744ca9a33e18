package coordinator

import (
	"testing"

	"github.com/matryer/is"
)

func TestOnlyFirstFinishCounts(t *testing.T) {
	is := is.New(t)
	var reported []uint32
	turn := &Turn{finish: func(used uint32) { reported = append(reported, used) }}
	turn.Finish(7)
	turn.Finish(9)
	is.Equal(reported, []uint32{7})
}
