package backend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/pipe"
	"stepseam.example/stepseam/internal/identity"
)

// call is one method of a client.
type call struct {
	name string
	run  func(ctx context.Context, directory backend.Directory, address netip.AddrPort) error
}

func calls() []call {
	stream := identity.StreamID{Call: identity.CallID{Program: "p", Branch: "main", Sequence: 1}, Epoch: 1}
	engine := func(name string, run func(context.Context, backend.Engine) error) call {
		return call{name: name, run: func(ctx context.Context, directory backend.Directory, address netip.AddrPort) error {
			return run(ctx, directory.Engine(address))
		}}
	}
	return []call{
		engine("generate", func(ctx context.Context, e backend.Engine) error {
			_, err := e.Generate(ctx, backend.GenerateRequest{Stream: stream, Model: "m", MaxTokens: 1}, nil)
			return err
		}),
		engine("resume", func(ctx context.Context, e backend.Engine) error {
			_, err := e.Resume(ctx, stream, 0, nil)
			return err
		}),
		engine("cancel", func(ctx context.Context, e backend.Engine) error { return e.Cancel(ctx, stream) }),
		engine("release", func(ctx context.Context, e backend.Engine) error { return e.Release(ctx, "p", "main") }),
		engine("held", func(ctx context.Context, e backend.Engine) error {
			_, err := e.CachedPrefixes(ctx)
			return err
		}),
		engine("load", func(ctx context.Context, e backend.Engine) error {
			_, err := e.Load(ctx)
			return err
		}),
		engine("cache events", func(ctx context.Context, e backend.Engine) error {
			_, err := e.CacheEvents(ctx, 1)
			return err
		}),
		engine("export", func(ctx context.Context, e backend.Engine) error {
			_, err := e.Export(ctx, "p", "main")
			return err
		}),
		engine("import", func(ctx context.Context, e backend.Engine) error {
			return e.Import(ctx, "p", "main", []byte("state"))
		}),
		engine("order", func(ctx context.Context, e backend.Engine) error {
			return e.Order(ctx, backend.Order{Kind: backend.OrderSetRole, Subject: "prefill", Fence: 1})
		}),
		{name: "invoke", run: func(ctx context.Context, directory backend.Directory, address netip.AddrPort) error {
			_, err := directory.Application(address).Invoke(ctx, backend.InvokeRequest{
				Stream: stream, Operation: "enrol", Body: []byte("{}"), IdempotencyKey: "key",
			})
			return err
		}},
	}
}

// withVirtualTime runs test with clients of a server for handler, in virtual time.
func withVirtualTime(t *testing.T, handler http.HandlerFunc, configure func(*backend.Options), test func(t *testing.T, directory backend.Directory, address netip.AddrPort)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		address := netip.MustParseAddrPort("127.0.0.1:80")
		network := pipe.NewNetwork()
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
		listener := network.Listen(address)
		go func() { _ = server.Serve(listener) }()
		options := backend.DefaultOptions()
		options.Dial = network.Dial
		configure(&options)
		directory := backend.NewDirectory(options)
		test(t, directory, address)
		directory.Close()
		_ = server.Close()
	})
}

// serve starts a server for handler on loopback. Its clients have long timeouts, so that the
// tests don't depend on the machine's load.
func serve(t *testing.T, handler http.HandlerFunc) (backend.Directory, netip.AddrPort) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	options := backend.DefaultOptions()
	options.HeaderTimeout, options.IdleTimeout, options.CallTimeout = time.Minute, time.Minute, time.Minute
	directory := backend.NewDirectory(options)
	t.Cleanup(directory.Close)
	return directory, netip.MustParseAddrPort(server.Listener.Addr().String())
}

func TestRefusedConnectionIsNotDelivered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	_ = listener.Close()
	directory := backend.NewDirectory(backend.DefaultOptions())
	for _, call := range calls() {
		t.Run(call.name, func(t *testing.T) {
			is := is.New(t)
			err := call.run(t.Context(), directory, address)
			is.True(errors.Is(err, backend.ErrNotDelivered))
			is.True(!errors.Is(err, backend.ErrOutcomeUnknown))
		})
	}
}

func TestCancelledContextIsNotDelivered(t *testing.T) {
	var arrived atomic.Int32
	directory, address := serve(t, func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, call := range calls() {
		t.Run(call.name, func(t *testing.T) {
			is := is.New(t)
			is.True(errors.Is(call.run(ctx, directory, address), backend.ErrNotDelivered))
			is.Equal(arrived.Load(), int32(0))
		})
	}
}

func TestErrorDocumentsMapToErrorsByCode(t *testing.T) {
	sentinels := []error{
		backend.ErrRefused, backend.ErrDraining, backend.ErrStreamCancelled, backend.ErrStreamUnknown, backend.ErrStaleFence,
	}
	for _, sentinel := range sentinels {
		document, known := backend.NewErrorDocument(fmt.Errorf("place: %w", sentinel))
		if !known {
			t.Fatalf("%v has no error document", sentinel)
		}
		directory, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/problem+json; charset=utf-8")
			w.WriteHeader(document.Status)
			_, _ = fmt.Fprintf(w, `{"code":%q,"detail":"why"}`, document.Code)
		})
		for _, call := range calls() {
			t.Run(string(document.Code)+"/"+call.name, func(t *testing.T) {
				is := is.New(t)
				err := call.run(t.Context(), directory, address)
				for _, other := range sentinels {
					wanted := other == sentinel || (sentinel == backend.ErrDraining && other == backend.ErrRefused)
					is.Equal(errors.Is(err, other), wanted)
				}
				is.True(!errors.Is(err, backend.ErrOutcomeUnknown))
			})
		}
	}
}

// TestOtherFailuresHaveUnknownOutcome checks that every failure after the request was sent,
// except known error codes, has an unknown outcome.
func TestOtherFailuresHaveUnknownOutcome(t *testing.T) {
	answers := map[string]http.HandlerFunc{
		"connection closed": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no response":       func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"no data after the header": func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
		"status without a document": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		"unknown code": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, `{"code":"no_such_code"}`)
		},
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		},
		"response too large": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `"`+strings.Repeat("x", 4096)+`"`)
		},
		"truncated body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "[")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	}
	for name, handler := range answers {
		readBody := func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			handler(w, r)
		}
		limit := func(options *backend.Options) { options.MaxBodyBytes, options.MaxEventBytes = 1024, 1024 }
		for _, call := range calls() {
			t.Run(name+"/"+call.name, func(t *testing.T) {
				withVirtualTime(t, readBody, limit, func(t *testing.T, directory backend.Directory, address netip.AddrPort) {
					err := call.run(t.Context(), directory, address)
					if !errors.Is(err, backend.ErrOutcomeUnknown) || backend.NotRun(err) {
						t.Errorf("got %v", err)
					}
				})
			})
		}
	}
}

// TestPartOfABodyWithoutALengthIsNoAnswer guards against a part of an application's answer, or of the state of a cache,
// that counts as whole, since only the end of the connection delimits it.
func TestPartOfABodyWithoutALengthIsNoAnswer(t *testing.T) {
	answer := func(head, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			socket, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+head+"\r\n"+body)
			_ = socket.Close()
		}
	}
	for _, c := range []struct {
		head, body    string
		invoke, state bool
	}{
		{"", `{"course":"alg`, false, false},
		{"", `{"seat":12`, false, false},
		{"", `"alg`, false, false},
		{"", `12`, false, false}, // may be the begin of 123
		{"", ` -1.5`, false, false},
		{"", ``, false, false},
		{"", "12\n", true, false},
		{"", `{"seat":12}`, true, false},
		{"", `[12]`, true, false},
		{"", `"algebra"`, true, false},
		{"", `null`, true, false},
		{"Content-Length: 2\r\n", `12`, true, true},
		{"Content-Length: 3\r\n", `12`, false, false},
		{"Transfer-Encoding: chunked\r\n", "2\r\n12\r\n0\r\n\r\n", true, true},
		{"Transfer-Encoding: chunked\r\n", "2\r\n12\r\n", false, false},
	} {
		t.Run(c.head+c.body, func(t *testing.T) {
			directory, address := serve(t, answer(c.head, c.body))
			body, err := directory.Application(address).Invoke(t.Context(), backend.InvokeRequest{Operation: "enrol"})
			if whole := err == nil; whole != c.invoke || !whole && !errors.Is(err, backend.ErrOutcomeUnknown) {
				t.Errorf("answer %q, %v", body, err)
			}
			state, err := directory.Engine(address).Export(t.Context(), "p", "main")
			if whole := err == nil; whole != c.state || !whole && !errors.Is(err, backend.ErrOutcomeUnknown) {
				t.Errorf("state %q, %v", state, err)
			}
		})
	}
}

func TestIncompleteStreamsHaveUnknownOutcome(t *testing.T) {
	const token = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"ba \"}}]}\n\n"
	const last = "data: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":1}}\n\n"
	streams := map[string]string{
		"no end":                       token,
		"no usage":                     token + "data: [DONE]\n\n",
		"missing token":                last + "data: [DONE]\n\n",
		"duplicate token":              token + token + last + "data: [DONE]\n\n",
		"invalid JSON":                 "data: {\n\n",
		"end without a complete event": token + last + "data: [DONE]",
	}
	for name, text := range streams {
		t.Run(name, func(t *testing.T) {
			directory, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, text)
			})
			_, err := directory.Engine(address).Generate(t.Context(), backend.GenerateRequest{MaxTokens: 1}, nil)
			if !errors.Is(err, backend.ErrOutcomeUnknown) {
				t.Errorf("got %v", err)
			}
		})
	}
	t.Run("whole", func(t *testing.T) {
		is := is.New(t)
		directory, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, ": waiting\n\n"+token+last+"data: [DONE]\n\n")
		})
		result, err := directory.Engine(address).Generate(t.Context(), backend.GenerateRequest{MaxTokens: 1}, nil)
		is.NoErr(err)
		is.Equal(result.Text, "ba ")
	})
}

// TestSlowReaderDoesNotTimeOut checks that time spent in onToken does not count for the idle
// timeout.
func TestSlowReaderDoesNotTimeOut(t *testing.T) {
	withVirtualTime(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"ba \"}}]}\n\n")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":1}}\n\ndata: [DONE]\n\n")
	}, func(*backend.Options) {}, func(t *testing.T, directory backend.Directory, address netip.AddrPort) {
		_, err := directory.Engine(address).Generate(t.Context(), backend.GenerateRequest{MaxTokens: 1}, func(backend.Token) error {
			time.Sleep(time.Hour)
			return nil
		})
		if err != nil {
			t.Error(err)
		}
	})
}

// TestDialTimeoutIsNotDelivered checks that a dial that never completes times out and is
// reported as not delivered.
func TestDialTimeoutIsNotDelivered(t *testing.T) {
	dialUntilCancelled := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, call := range calls() {
		t.Run(call.name, func(t *testing.T) {
			withVirtualTime(t, nil, func(options *backend.Options) { options.Dial = dialUntilCancelled }, func(t *testing.T, directory backend.Directory, address netip.AddrPort) {
				if err := call.run(t.Context(), directory, address); !errors.Is(err, backend.ErrNotDelivered) {
					t.Errorf("got %v", err)
				}
			})
		})
	}
}

// TestAnOperationIsSentAtMostOnce guards against retries by net/http, which repeats requests
// on a reused connection that breaks, and also POST requests with an Idempotency-Key.
func TestAnOperationIsSentAtMostOnce(t *testing.T) {
	for _, body := range []string{"", "{}"} {
		t.Run("body "+body, func(t *testing.T) {
			is := is.New(t)
			var arrived atomic.Int32
			directory, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if arrived.Add(1) == 1 {
					_, _ = io.WriteString(w, "{}")
					return
				}
				panic(http.ErrAbortHandler)
			})
			application := directory.Application(address)
			request := backend.InvokeRequest{Operation: "enrol", Body: []byte(body), IdempotencyKey: "key"}
			_, err := application.Invoke(t.Context(), request)
			is.NoErr(err)
			_, err = application.Invoke(t.Context(), request)
			is.True(errors.Is(err, backend.ErrOutcomeUnknown))
			is.Equal(arrived.Load(), int32(2))
		})
	}
}
