package exchange

import (
	"context"
	"errors"
	"io"
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

func TestConfirmationEndsWithItsRequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	client := NewClient(Names{})
	unended := &Answer{Framing: FramingConnection, client: client, connection: &connection{target: Target{Address: netip.MustParseAddrPort("127.0.0.1:1")}}}
	is.True(errors.Is(unended.ConfirmEnd(ctx), context.Canceled))
}
