package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
)

// A process that was killed within a body without a length ended it like a whole one.
func TestEndOfABodyWithItsConnectionIsConfirmed(t *testing.T) {
	unframed := func(e *replica.Exchange) bool {
		e.Write("HTTP/1.1 200 OK\r\nTest-Id: %s\r\n\r\npart", e.Request.Header.Get("Test-Id"))
		return false
	}
	for name, c := range map[string]struct {
		// idle leaves an idle connection to the replica.
		idle bool
		// ends is called as the body ends.
		ends func(*replica.Replica)
		// connections counts those that are made after the end.
		connections int
		want        error
	}{
		"lives":               {connections: 1},
		"lives, idle":         {idle: true},
		"killed":              {ends: func(r *replica.Replica) { r.End(replica.EndClosed) }, want: ErrReplicaEnded},
		"killed, idle":        {idle: true, ends: func(r *replica.Replica) { r.End(replica.EndClosed) }, want: ErrReplicaEnded},
		"reset":               {idle: true, ends: func(r *replica.Replica) { r.End(replica.EndReset) }, want: ErrReplicaEnded},
		"closes others later": {idle: true, ends: func(r *replica.Replica) { time.AfterFunc(4*time.Millisecond, func() { r.End(replica.EndClosed) }) }, want: ErrReplicaEnded},
		"loses power":         {ends: func(r *replica.Replica) { r.End(replica.EndSilent) }, want: ErrPresenceUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			started, err := replica.Start(func(e *replica.Exchange) bool {
				if e.Request.Header.Get("Test-Id") == "idle" {
					e.Answer(200, "done", "Test-Id: idle")
					return true
				}
				return unframed(e)
			})
			is.NoErr(err)
			t.Cleanup(started.Close)
			client := NewClient(Names{RequestID: "Test-Id", ExpectInstance: "Test-Instance", NotRun: "Test-Not-Run", Stamp: "Test-Stamp"})
			send := func(id string) *Answer {
				answer, err := client.Send(t.Context(), Target{Instance: "a", Address: started.Address}, Request{
					ID: id, Method: "POST", URI: "/", Host: "h", Header: map[string][]string{"Test-Id": {id}}, Repeatable: true,
				})
				is.NoErr(err)
				return answer
			}
			idle, unended := send("idle"), (*Answer)(nil)
			if c.idle {
				unended = send("1") // on another connection
			}
			_, err = io.ReadAll(idle.Body)
			is.NoErr(err)
			if c.idle {
				idle.Close()
			} else {
				idle.connection.close()
				unended = send("1")
			}
			defer unended.Close()
			body, err := io.ReadAll(unended.Body)
			is.NoErr(err)
			is.Equal(string(body), "part")
			before := started.Connections()
			if c.ends != nil {
				c.ends(started)
			}
			if name == "closes others later" {
				client.settle = 100 * time.Millisecond // the end comes within it on a busy machine, too
			}
			began := time.Now()
			err = unended.ConfirmEnd(t.Context())
			is.True(errors.Is(err, c.want))
			is.True(time.Since(began) < 2*(presenceTimeout+settleTime))
			if c.want == nil {
				is.Equal(started.Connections()-before, c.connections)
			}
			is.NoErr(idle.ConfirmEnd(t.Context())) // its length tells its end
		})
	}
}

// TestEndOfABodyIsNotConfirmedByAnotherProcess guards against half a body that looks whole: whichever process
// listened at the address of a replica that had ended counted as that replica.
func TestEndOfABodyIsNotConfirmedByAnotherProcess(t *testing.T) {
	misdirected := func(e *replica.Exchange) bool {
		e.Answer(421, "")
		return true
	}
	for name, c := range map[string]struct {
		// startedAtMs is the target's start, 0 if it publishes none.
		startedAtMs int64
		// after is the time from the end of the replica until another process starts at its address; 0 means
		// that it lives.
		after time.Duration
		// asked is the time from the end of the body until the end is confirmed.
		asked time.Duration
		// other is the script of the other process, and request has it requested before the end is confirmed.
		other   replica.Script
		request bool
		// closes has the replica close connections behind its reports.
		closes bool
		// shutsDown has the replica end a body by closing its sending side only. Its kernel may forget a closed
		// connection at once if its table of those is full, and reset it at the next keepalive probe.
		shutsDown bool
		want      error
	}{
		"another service, after a standstill": {after: time.Millisecond, asked: 1500 * time.Millisecond, other: misdirected, want: ErrPresenceUnknown},
		"another service that was requested":  {after: time.Millisecond, asked: 1500 * time.Millisecond, other: misdirected, request: true, want: ErrPresenceUnknown},
		"restarted":                           {startedAtMs: targetStart, after: time.Millisecond, other: reports(targetStart + 5), want: ErrReplicaEnded},
		"another service":                     {startedAtMs: targetStart, after: time.Millisecond, other: misdirected, want: ErrReplicaEnded},
		"restarted without reports":           {startedAtMs: targetStart, after: time.Millisecond, other: reports(0), want: ErrPresenceUnknown},
		"lives":                               {startedAtMs: targetStart},
		"lives, closes behind reports":        {startedAtMs: targetStart, closes: true},
		"lives, asked late":                   {startedAtMs: targetStart, asked: 1500 * time.Millisecond, shutsDown: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			started := startScript(t, func(e *replica.Exchange) bool {
				if e.Request.URI == "/report" {
					return reports(targetStart)(e) && !c.closes
				}
				e.Write("HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\npart")
				if c.shutsDown {
					_ = e.Socket.(*net.TCPConn).CloseWrite()
				}
				return c.shutsDown
			})
			client := NewClient(reportingNames)
			target := Target{Instance: "a", StartedAtMs: c.startedAtMs, Address: started.Address}
			unended, err := client.Send(t.Context(), target, checked("1", IncarnationUnchecked))
			is.NoErr(err)
			defer unended.Close()
			_, err = io.ReadAll(unended.Body)
			is.NoErr(err)
			if c.after > 0 {
				started.End(replica.EndClosed)
				time.Sleep(c.after)
				other, err := replica.StartAt(started.Address, c.other)
				is.NoErr(err)
				t.Cleanup(other.Close)
			}
			time.Sleep(c.asked)
			if c.request {
				answer, err := client.Send(t.Context(), target, checked("2", IncarnationUnchecked))
				is.NoErr(err)
				is.Equal(answer.Status, 421)
				_, err = io.ReadAll(answer.Body)
				is.NoErr(err)
				answer.Close()
			}
			err = unended.ConfirmEnd(t.Context())
			is.True(errors.Is(err, c.want))
		})
	}
}

func TestConfirmationEndsWithItsRequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	client := NewClient(Names{})
	unended := &Answer{Framing: FramingConnection, client: client, connection: &connection{target: Target{Address: netip.MustParseAddrPort("127.0.0.1:1")}}}
	is.True(errors.Is(unended.ConfirmEnd(ctx), context.Canceled))
}
