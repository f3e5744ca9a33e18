package coordinator

import (
	"testing"

	"github.com/matryer/is"
)

func TestOnlyTheFirstEndOfATurnCounts(t *testing.T) {
	is := is.New(t)
	var told []uint32
	turn := &Turn{finish: func(used uint32) { told = append(told, used) }}
	turn.Finish(7)
	turn.Finish(9)
	is.Equal(told, []uint32{7})
}
