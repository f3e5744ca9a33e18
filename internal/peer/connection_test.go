package peer

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A pause of this process must not count as a heartbeat timeout, but lack of data after it
// must.
func TestProcessPauseResetsHeartbeatTimeoutOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		options := Options{}.withDefaults()
		c := newConnection(near, &options, &Stats{}, true)
		go c.writeLoop()
		c.beginRequest()
		time.Sleep(time.Second)
		// Simulates that the timer fires ten seconds late.
		c.mutex.Lock()
		c.start = c.start.Add(-10 * time.Second)
		c.lastTick = c.lastTick.Add(-10 * time.Second)
		c.mutex.Unlock()
		time.Sleep(time.Second)
		notSent, err := c.failure(0)
		is.NoErr(err)
		is.True(!notSent) // pings were sent
		time.Sleep(2 * time.Second)
		_, err = c.failure(0)
		is.True(err != nil)
	})
}
