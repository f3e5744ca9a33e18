package backends_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/controller/backends"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
)

// countingListener counts the bytes of all its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return countingConnection{Conn: connection, bytes: l.bytes}, err
}

type countingConnection struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c countingConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

// BenchmarkLoadReport measures one poll of an emulated engine over loopback HTTP,
// client and server together, with the bytes of request and response.
func BenchmarkLoadReport(b *testing.B) {
	e, err := engine.New(engine.DefaultParameters("engine-1", "advisor"))
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(engine.NewServer(e))
	server.Listener = countingListener{Listener: server.Listener, bytes: &bytes}
	server.Start()
	defer server.Close()
	directory := backend.NewDirectory(backend.DefaultOptions())
	defer directory.Close()
	client := directory.Engine(netip.MustParseAddrPort(server.Listener.Addr().String()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Load(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wirebytes/op")
}

// BenchmarkObserve measures recording one answered call.
func BenchmarkObserve(b *testing.B) {
	board, controller := largeFleet()
	controller.Reconcile(board.Machines.Load())
	result := backends.Result{
		Address: board.Machines.Load()[0].Address, FirstToken: time.Second, Total: 10 * time.Second,
		Usage: backend.Usage{PromptTokens: 4000, CachedTokens: 3000, CompletionTokens: 300},
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		result.Stream.Call = identity.CallID{Program: identity.ProgramID(fmt.Sprint(i % 1000)), Branch: "main"}
		controller.Observe(b.Context(), result)
	}
}

// BenchmarkReview measures one review of 600 back ends; a node does four per
// second.
func BenchmarkReview(b *testing.B) {
	board, controller := largeFleet()
	controller.Reconcile(board.Machines.Load())
	b.ReportAllocs()
	for b.Loop() {
		controller.Review()
	}
}

// BenchmarkMemory measures the heap of a controller with 600 back ends and a full
// cache map of 8,192 prefixes.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		board, controller := largeFleet()
		controller.Reconcile(board.Machines.Load())
		for i := range 8192 {
			controller.CacheMap().Record(time.Now(), fmt.Sprintf("engine-%d", i%600), identity.ProgramID(fmt.Sprintf("program-%08d", i)), "main", 4000)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heapbytes")
		runtime.KeepAlive(controller)
		runtime.KeepAlive(board)
	}
}
