package peer

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A process that was stopped itself does not take its own silence for the other
// side's; a silence that goes on afterwards still ends the connection.
func TestStallOfThisProcessIsForgivenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		options := Options{}.withDefaults()
		c := newConnection(near, &options, &Stats{}, true)
		go c.writeLoop()
		c.begin()
		time.Sleep(time.Second)
		// As if the timer of that second fired ten seconds late.
		c.mutex.Lock()
		c.start = c.start.Add(-10 * time.Second)
		c.lastTick = c.lastTick.Add(-10 * time.Second)
		c.mutex.Unlock()
		time.Sleep(time.Second)
		neverLeft, err := c.failure(0)
		is.NoErr(err)
		is.True(!neverLeft) // pings left
		time.Sleep(2 * time.Second)
		_, err = c.failure(0)
		is.True(err != nil)
	})
}
