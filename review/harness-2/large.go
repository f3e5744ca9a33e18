package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// largeInput is the input of a large turn: less than maxBodyBytes (4 MiB), more than one call of the store.
	largeInput = 2200000
	// usualInput is the largest input on the deployment's sheet.
	usualInput = 31000
	// keptConnections is the number of connections on which turns are sent, allowedLosses how many may end
	// without a whole answer.
	keptConnections, allowedLosses = 5, 3
)

// largeTurns sends turns on kept connections. Their inputs are large if there is to be trouble.
func largeTurns(s *site, trouble bool) (bool, error) {
	size := usualInput
	if trouble {
		size = largeInput
	}
	losses := 0
	for i := range keptConnections {
		lost, err := s.sendOnKept(s.nodes[i%len(s.nodes)], size)
		if err != nil {
			return false, err
		}
		if lost {
			losses++
		}
	}
	s.note("%d of %d turns on kept connections ended without a whole answer", losses, keptConnections)
	return losses > allowedLosses, nil
}

// sendOnKept sends a small turn and then one of a size on the same connection, and reports whether the connection
// ended without a whole answer to the second.
func (s *site) sendOnKept(n *node, size int) (lost bool, err error) {
	connection, err := net.DialTimeout("tcp4", n.front, time.Second)
	if err != nil {
		return false, err
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	exchange := func(input string) (string, error) {
		id := newID()
		_ = connection.SetDeadline(time.Now().Add(8 * time.Second))
		s.note("client: turn %s of %d bytes is sent to %s", id, len(input), n.name)
		if _, err := fmt.Fprintf(connection, "POST %s4b HTTP/1.1\r\nHost: %s\r\nX-Stepseam-Request-Id: %s\r\nX-Stepseam-Program-Id: %s\r\nX-Stepseam-Session-Id: 77d20b\r\nX-Stepseam-Token-Budget: 10000\r\nX-Stepseam-Token-Count: 100,50\r\nX-Stepseam-Finish-Ms: 20000\r\nX-Stepseam-Timeout-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s",
			turnPath, routeHost, id, newID(), len(input), input); err != nil {
			return "", err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(response.Body)
		s.note("client: turn %s: status %d, %d events, end %v", id, response.StatusCode, strings.Count(string(body), "id: "), err)
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		return id, err
	}
	if _, err := exchange("small."); err != nil {
		return false, errors.New("the small turn was not answered")
	}
	_, err = exchange(strings.Repeat("x", size))
	return err != nil, nil
}
