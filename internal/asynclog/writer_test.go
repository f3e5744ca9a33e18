package asynclog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (s *stuckWriter) Write(batch []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written.Write(batch)
}

func (s *stuckWriter) text() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written.String()
}

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		output := &stuckWriter{release: make(chan struct{})}
		w := NewWriter(output)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		began := time.Now()
		for range 4 * bufferBytes / len(line) {
			_, err := w.Write(line)
			is.NoErr(err)
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.True(w.Dropped() > 0)
		w.Close() // times out
		is.True(time.Since(began) >= closeTimeout)
		close(output.release)
		synctest.Wait()
		is.True(strings.Contains(output.text(), "log lines dropped"))
	})
}

func TestCloseWritesBufferedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		output := &stuckWriter{release: make(chan struct{})}
		close(output.release)
		w := NewWriter(output)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := w.Write([]byte(line))
			is.NoErr(err)
		}
		w.Close()
		is.Equal(output.text(), "a\nb\nc\n")
	})
}
