package engine_test

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/pipe"
)

// overPipes runs test with an engine behind its HTTP server and the real HTTP client, in
// virtual time.
func overPipes(t *testing.T, change func(*engine.Parameters), test func(t *testing.T, e *engine.Engine, client backend.Engine)) {
	t.Helper()
	inBubble(t, change, func(t *testing.T, e *engine.Engine) {
		address := netip.MustParseAddrPort("127.0.0.1:80")
		network := pipe.NewNetwork()
		server := &http.Server{Handler: engine.NewServer(e), ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
		listener := network.Listen(address)
		go func() { _ = server.Serve(listener) }()
		options := backend.DefaultOptions()
		options.Dial = network.Dial
		directory := backend.NewDirectory(options)
		test(t, e, directory.Engine(address))
		directory.Close()
		_ = server.Close()
	})
}

// A stream that waits in the queue for longer than the client's idle timeout is not cut
// off.
func TestQueuedStreamOutlastsIdleTimeout(t *testing.T) {
	one := func(p *engine.Parameters) { p.Timing.MaxBatch, p.Timing.DecodeBase = 1, time.Second }
	overPipes(t, one, func(t *testing.T, _ *engine.Engine, client backend.Engine) {
		ended := make(chan error, 2)
		for i := range 2 {
			go func() {
				_, err := client.Generate(t.Context(), request(fmt.Sprint(i), 1), nil)
				ended <- err
			}()
		}
		started := time.Now()
		for range 2 {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
		if waited := time.Since(started); waited < 2*backend.DefaultOptions().IdleTimeout {
			t.Errorf("nothing was proved in %s", waited)
		}
	})
}

// The client ends the streams of a frozen engine after the idle timeout; after the thaw
// they can be resumed in full.
func TestFrozenEngineStreamsTimeOutAndResume(t *testing.T) {
	overPipes(t, nil, func(t *testing.T, e *engine.Engine, client backend.Engine) {
		is := is.New(t)
		first := request("p", 1)
		seen := 0
		started := time.Now()
		_, err := client.Generate(t.Context(), first, func(backend.Token) error {
			if seen++; seen == 5 {
				e.SetFaults(engine.Faults{Frozen: true})
			}
			return nil
		})
		is.True(errors.Is(err, backend.ErrOutcomeUnknown))
		is.True(time.Since(started) < 2*backend.DefaultOptions().IdleTimeout)
		_, err = client.Load(t.Context())
		is.True(errors.Is(err, backend.ErrOutcomeUnknown))

		e.SetFaults(engine.Faults{})
		result, err := client.Resume(t.Context(), first.Stream, seen, func(token backend.Token) error {
			is.Equal(token.Index, seen)
			seen++
			return nil
		})
		is.NoErr(err)
		is.Equal(result.Usage.CompletionTokens, seen)
		is.Equal(len(e.Truth().Arrivals), 1)
	})
}

// A disconnected caller does not stop the stream; a cancel does.
func TestStreamContinuesAfterCallerDisconnects(t *testing.T) {
	overPipes(t, nil, func(t *testing.T, e *engine.Engine, client backend.Engine) {
		is := is.New(t)
		disconnected := errors.New("gone")
		_, err := client.Generate(t.Context(), request("p", 1), func(backend.Token) error { return disconnected })
		is.True(errors.Is(err, disconnected))
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(e.Truth().Arrivals[0].Outcome, engine.OutcomeFinished)

		_, err = client.Generate(t.Context(), request("q", 1), func(backend.Token) error { return disconnected })
		is.True(errors.Is(err, disconnected))
		is.NoErr(client.Cancel(t.Context(), streamID("q", 1, 1)))
		is.Equal(e.Truth().Arrivals[1].Outcome, engine.OutcomeCancelled)
	})
}
