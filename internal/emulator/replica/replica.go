// Package replica is a stand-in for a replica of a service that speaks HTTP/1.1.
// A script decides what it does with each request, faults below HTTP included.
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

// Request is what the replica has received.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              string
}

// Exchange is one request on its connection.
type Exchange struct {
	Request Request
	// Socket is the connection, for faults.
	Socket net.Conn
	// Number counts the requests of the replica from 1.
	Number int
}

// Write sends raw text. A caller that is gone is not an error of the replica.
func (e *Exchange) Write(format string, values ...any) {
	_, _ = fmt.Fprintf(e.Socket, format, values...)
}

// Answer sends a whole answer with length, after the given head lines.
func (e *Exchange) Answer(status int, body string, head ...string) {
	lines := ""
	if len(head) > 0 {
		lines = strings.Join(head, "\r\n") + "\r\n"
	}
	e.Write("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), lines, len(body), body)
}

// Script handles one exchange and tells whether the connection stays open.
type Script func(*Exchange) bool

// Replica listens on loopback until Close.
type Replica struct {
	Address  netip.AddrPort
	listener net.Listener
	script   Script

	// mutex guards all below.
	mutex       sync.Mutex
	received    []Request
	connections int
	open        map[net.Conn]bool
}

// Start returns a listening replica.
func Start(script Script) (*Replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	started := &Replica{Address: address, listener: listener, script: script, open: map[net.Conn]bool{}}
	go started.accept()
	return started, nil
}

// Close ends the replica and its connections.
func (r *Replica) Close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for socket := range r.open {
		_ = socket.Close()
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
		r.mutex.Unlock()
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
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		taken := Request{Method: request.Method, URI: request.RequestURI, Host: request.Host, Header: request.Header, Body: string(body)}
		r.mutex.Lock()
		r.received = append(r.received, taken)
		number := len(r.received)
		r.mutex.Unlock()
		if !r.script(&Exchange{Request: taken, Socket: socket, Number: number}) {
			return
		}
	}
}
