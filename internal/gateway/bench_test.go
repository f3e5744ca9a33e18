package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/gateway"
	"stepseam.example/stepseam/internal/serving"
)

// BenchmarkHandler measures the gateway without sockets, with calls that return
// at once.
func BenchmarkHandler(b *testing.B) {
	handler := gateway.New(gateway.Config{Programs: &programs{}, Board: blackboard.NewBoard()}).Handler()
	for _, bench := range []struct{ name, path, body, accept string }{
		{"call", "/v1/programs/p/calls", modelCall, ""},
		{"stream", "/v1/programs/p/calls", modelCall, "text/event-stream"},
		{"chat", "/v1/chat/completions", chatBody, ""},
	} {
		b.Run(bench.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request := httptest.NewRequest(http.MethodPost, bench.path, bytes.NewBufferString(bench.body))
				request.Header.Set("Content-Type", "application/json")
				request.Header.Set("Accept", bench.accept)
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, request)
				if recorder.Code != http.StatusOK {
					b.Fatal(recorder.Body)
				}
			}
		})
	}
}

// manyTokens is a fake serving.Programs whose calls stream count tokens.
type manyTokens struct {
	programs
	count int
}

func (p *manyTokens) Call(_ context.Context, _ serving.CallRequest, onToken serving.TokenFunc) (api.Answer, error) {
	for index := range p.count {
		if onToken == nil {
			break
		}
		if err := onToken(index, "token "); err != nil {
			return api.Answer{}, err
		}
	}
	return api.Answer{}, nil
}

// BenchmarkLoopback measures requests per second over sockets, including the
// client: JSON answers, and streams of 100 tokens.
func BenchmarkLoopback(b *testing.B) {
	b.Run("call", func(b *testing.B) { loopback(b, "application/json") })
	b.Run("stream_100_tokens", func(b *testing.B) { loopback(b, "text/event-stream") })
}

func loopback(b *testing.B, accept string) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	node := gateway.New(gateway.Config{Programs: &manyTokens{count: 100}, Board: blackboard.NewBoard()})
	go func() { _ = node.Serve(listener) }()
	defer func() { _ = node.Close() }()
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	url := fmt.Sprintf("http://%s/v1/programs/p/calls", listener.Addr())
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			request, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString(modelCall))
			if err != nil {
				b.Error(err)
				return
			}
			request.Header.Set("Content-Type", "application/json")
			request.Header.Set("Accept", accept)
			response, err := client.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
