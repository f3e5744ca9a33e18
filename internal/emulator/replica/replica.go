// Package replica emulates a replica of a service that speaks HTTP/1.1. A script decides
// the response to each request, including faults below the HTTP layer.
package replica

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
)

// Request is a request that the replica received.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              string
}

// Exchange is one request on its connection.
type Exchange struct {
	Request Request
	// Socket is the connection, for faults below HTTP.
	Socket net.Conn
	// Number is the request's number at the replica, from 1.
	Number int
	// Replica is the replica that received the request.
	Replica *Replica
}

// Write sends raw text. A closed connection is not an error of the replica. A replica that has
// lost power sends nothing.
func (e *Exchange) Write(format string, values ...any) {
	if e.Replica.silent() {
		return
	}
	_, _ = fmt.Fprintf(e.Socket, format, values...)
}

// TryWrite sends text, and reports whether the connection is still open.
func (e *Exchange) TryWrite(text string) bool {
	if e.Replica.silent() {
		return false
	}
	_, err := io.WriteString(e.Socket, text)
	return err == nil
}

// Answer sends a whole response with Content-Length, after the given header lines.
func (e *Exchange) Answer(status int, body string, head ...string) {
	lines := ""
	if len(head) > 0 {
		lines = strings.Join(head, "\r\n") + "\r\n"
	}
	e.Write("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), lines, len(body), body)
}

// Script handles one exchange and reports whether the connection stays open.
type Script func(*Exchange) bool

// Raw returns a script that answers each request with a text as it is, and closes the connection.
func Raw(text string) Script {
	return func(e *Exchange) bool {
		e.Write("%s", text)
		return false
	}
}

// Early may answer a request whose body has not been read, and reports whether it did. The connection is closed
// then, which resets it if bytes of the body are unread.
type Early func(*Exchange) bool

// Replica listens on loopback until Close.
type Replica struct {
	Address  netip.AddrPort
	listener *net.TCPListener
	script   Script
	// early, if set, gets each request before its body is read.
	early Early

	// mutex guards all fields below.
	mutex       sync.Mutex
	received    []Request
	connections int
	open        map[net.Conn]bool
	// fillers fill the queue of new connections of a replica that has lost power.
	fillers []net.Conn
	// ended is how the replica has ended, or endNone.
	ended End
	// closed is closed by Close.
	closed chan struct{}
}

// Start returns a listening replica.
func Start(script Script) (*Replica, error) {
	return StartAt(netip.MustParseAddrPort("127.0.0.1:0"), script)
}

// StartEarly returns a listening replica that may answer requests before it has read them.
func StartEarly(early Early, script Script) (*Replica, error) {
	return start(netip.MustParseAddrPort("127.0.0.1:0"), early, script)
}

// StartAt returns a replica that listens at an address, for instance that of one that has ended.
func StartAt(at netip.AddrPort, script Script) (*Replica, error) { return start(at, nil, script) }

func start(at netip.AddrPort, early Early, script Script) (*Replica, error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	started := &Replica{Address: address, listener: listener, early: early, script: script, open: map[net.Conn]bool{}, closed: make(chan struct{})}
	go started.accept()
	return started, nil
}

// Close closes the listener and all connections.
func (r *Replica) Close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case <-r.closed:
	default:
		close(r.closed)
	}
	for socket := range r.open {
		_ = socket.Close()
	}
	for _, filler := range r.fillers {
		_ = filler.Close()
	}
}

// Received returns the requests so far.
func (r *Replica) Received() []Request {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Request(nil), r.received...)
}

// Connections returns how many connections were made.
func (r *Replica) Connections() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.connections
}

func (r *Replica) accept() {
	for {
		socket, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		r.connections++
		r.open[socket] = true
		ended := r.ended
		r.mutex.Unlock()
		if ended == EndReset || ended == EndClosed {
			_ = socket.Close()
			continue
		}
		go r.serve(socket)
	}
}

func (r *Replica) serve(socket net.Conn) {
	defer func() {
		_ = socket.Close()
		r.mutex.Lock()
		delete(r.open, socket)
		r.mutex.Unlock()
	}()
	reader := bufio.NewReader(socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		taken := Request{Method: request.Method, URI: request.RequestURI, Host: request.Host, Header: request.Header}
		if r.early != nil && r.early(&Exchange{Request: taken, Socket: socket, Replica: r}) {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if r.silent() {
			<-r.closed
			return
		}
		taken.Body = string(body)
		r.mutex.Lock()
		r.received = append(r.received, taken)
		number := len(r.received)
		r.mutex.Unlock()
		open := r.script(&Exchange{Request: taken, Socket: socket, Number: number, Replica: r})
		if r.silent() {
			<-r.closed
		}
		if !open {
			return
		}
	}
}
