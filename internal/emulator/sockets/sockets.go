// Package sockets serves connections of protocols that are no HTTP, or that a test writes byte by byte.
package sockets

import (
	"fmt"
	"net"
)

// Accept handles each connection to an address of loopback in a goroutine of its own, and closes it then. It ends
// with the listener that it returns.
func Accept(handle func(net.Conn)) (net.Listener, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("sockets: %w", err)
	}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = socket.Close() }()
				handle(socket)
			}()
		}
	}()
	return listener, nil
}
