package clientconn

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// trackedPair returns a client's connection and the server's side of it, which rests and waits for a request.
func trackedPair(t *testing.T, limit time.Duration) (*Tracker, net.Conn, *connection) {
	is := is.New(t)
	tracker := NewTracker(slog.New(slog.DiscardHandler), nil)
	tracker.SetIdleLimit(limit)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	listener = tracker.Track(&http.Server{}, listener)
	t.Cleanup(func() { _ = listener.Close() })
	client, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = accepted.Close() })
	tracked := accepted.(*connection)
	tracked.rest()
	is.NoErr(tracked.SetReadDeadline(time.Now().Add(time.Minute)))
	return tracker, client, tracked
}

// A request that arrived after the check for one, or as the server's own deadline passed, was not read.
func TestBytesThatArriveAsAConnectionExpiresAreRead(t *testing.T) {
	for name, expire := range map[string]func(*Tracker, *connection){
		"idle limit":        func(c *Tracker, _ *connection) { c.CloseResting() },
		"stop":              func(c *Tracker, _ *connection) { c.CloseIdle(false) },
		"server's deadline": func(_ *Tracker, t *connection) { t.rest(); _ = t.SetReadDeadline(time.Unix(1, 0)) },
	} {
		for _, arrivesBefore := range []bool{true, false} {
			t.Log(name, arrivesBefore)
			is := is.New(t)
			tracker, client, tracked := trackedPair(t, time.Nanosecond)
			send := func() {
				_, err := client.Write([]byte("GET"))
				is.NoErr(err)
				time.Sleep(20 * time.Millisecond)
			}
			if arrivesBefore {
				send()
			}
			expire(tracker, tracked)
			if !arrivesBefore {
				send()
			}
			count, err := tracked.Read(make([]byte, 9))
			is.NoErr(err)
			is.Equal(count, 3)
			tracker.CloseResting()
			is.Equal(tracker.CloseIdle(true), 1)
			_, err = client.Write([]byte(" /"))
			is.NoErr(err)
			count, err = tracked.Read(make([]byte, 9))
			is.NoErr(err) // the deadline is no longer in the past
			is.Equal(count, 2)
		}
	}
}

func TestExpiredConnectionsAreClosed(t *testing.T) {
	for _, waiting := range []bool{true, false} {
		is := is.New(t)
		tracker, client, tracked := trackedPair(t, time.Nanosecond)
		ended := make(chan error, 1)
		read := func() {
			_, err := tracked.Read(make([]byte, 9))
			ended <- err
		}
		if waiting {
			go read()
			time.Sleep(20 * time.Millisecond)
		} else {
			tracked.rest()
		}
		tracker.CloseResting()
		if !waiting {
			is.NoErr(tracked.SetReadDeadline(time.Now().Add(time.Minute))) // that of the server for an idle connection
			go read()
		}
		is.True(errors.Is(<-ended, os.ErrDeadlineExceeded))
		_, err := client.Read(make([]byte, 1))
		is.True(errors.Is(err, io.EOF))
	}
}

// A lowered limit closed connections at once that their clients could still use by the former one.
func TestLoweredIdleLimitHoldsForConnectionsThatRestLater(t *testing.T) {
	is := is.New(t)
	tracker, _, tracked := trackedPair(t, time.Hour)
	tracker.SetIdleLimit(time.Nanosecond)
	tracker.CloseResting()
	is.Equal(tracked.closing, closeReason(""))
	tracked.rest()
	tracker.CloseResting()
	is.Equal(tracked.closing, closedIdle)

	tracker, _, tracked = trackedPair(t, time.Nanosecond)
	tracker.SetIdleLimit(0)
	tracker.SetIdleLimit(time.Nanosecond)
	tracker.CloseResting()
	is.Equal(tracked.closing, closeReason(""))
}

// A connection that was accepted as the listener closed was not waited for.
func TestClosedListenerHasTrackedWhatItAccepted(t *testing.T) {
	is := is.New(t)
	for range 50 {
		tracker := NewTracker(slog.New(slog.DiscardHandler), nil)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		listener = tracker.Track(&http.Server{}, listener)
		accepted := make(chan bool)
		go func() {
			socket, err := listener.Accept()
			if err == nil {
				defer func() { _ = socket.Close() }()
			}
			accepted <- err == nil
			accepted <- true
		}()
		if client, err := net.Dial("tcp4", listener.Addr().String()); err == nil {
			defer func() { _ = client.Close() }()
		}
		_ = listener.Close()
		count := tracker.Count()
		is.Equal(<-accepted, count == 1)
		<-accepted
	}
}

// A stop waits for requests under way, and a while for the first one of a connection.
func TestDrainClosesConnectionsAsTheyBecomeIdle(t *testing.T) {
	is := is.New(t)
	tracker, _, tracked := trackedPair(t, time.Minute)
	read := func() { _, _ = tracked.Read(make([]byte, 9)); _ = tracked.Close() }
	drain := func(timeout time.Duration, freshUntil time.Time) int {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		return tracker.Drain(ctx, freshUntil)
	}
	later := time.Now().Add(time.Hour)
	tracked.phase = phaseActive
	is.Equal(drain(50*time.Millisecond, time.Time{}), 1)
	tracked.phase = phaseFresh
	is.Equal(drain(50*time.Millisecond, later), 1)
	go read()
	is.Equal(drain(10*time.Second, time.Now().Add(50*time.Millisecond)), 0)

	tracker, _, tracked = trackedPair(t, time.Minute)
	go read()
	is.Equal(drain(10*time.Second, later), 0)
}
