package headsyntax

import (
	"context"
	"net"
	"sync"
)

// DialFunc opens a connection, as in net/http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Checked returns a function that opens connections whose reads fail at the first byte that can't be part of
// the head of a response. Requests on a connection must follow each other, as those of net/http do, and have no
// body or one with a length; any other request fails with ErrRequestLength.
func Checked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: socket}, nil
	}
}

// conn checks the heads of responses.
type conn struct {
	net.Conn

	// mutex guards the fields below.
	mutex    sync.Mutex
	requests requests
	// head is that of the response that is awaited or being read, nil within a body.
	head *Head
	// failure is returned by all further reads.
	failure error
}

// Write implements net.Conn. The first byte of a request begins the wait for a head.
func (c *conn) Write(from []byte) (int, error) {
	if err := c.expectHeads(from); err != nil {
		return 0, err
	}
	return c.Conn.Write(from)
}

func (c *conn) expectHeads(from []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(from) > 0 {
		begins, taken, err := c.requests.next(from)
		if err != nil {
			return err
		}
		if begins {
			c.head = &Head{}
		}
		from = from[taken:]
	}
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i := 0; i < n && c.head != nil && c.failure == nil; i++ {
		c.failure = c.add(into[i])
	}
	if c.failure != nil {
		return 0, c.failure
	}
	return n, err
}

// add checks the next byte of a head. Another one follows an informational response. The caller holds the
// mutex.
func (c *conn) add(one byte) error {
	if err := c.head.Add(one); err != nil {
		return err
	}
	if !c.head.Ended() {
		return nil
	}
	if err := c.head.CheckFraming(); err != nil {
		return err
	}
	if informational := c.head.Status < 200; informational {
		c.head = &Head{}
	} else {
		c.head = nil
	}
	return nil
}
