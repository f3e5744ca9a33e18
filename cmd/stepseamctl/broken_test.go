package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/emulator/sockets"
)

// serveRaw answers each request with a text, and closes the connection.
func serveRaw(t *testing.T, text string) string {
	node, err := replica.Start(replica.Raw(text))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return node.Address.String()
}

const brokenDocument = `{"id":"p","state":"cancelled"}`

// TestInvalidHeadsAreNoAnswersOfNodes guards against responses with invalid heads that operators see as a node's, such
// as a program cancelled by a response with status 000. The next node is asked, too.
func TestInvalidHeadsAreNoAnswersOfNodes(t *testing.T) {
	for name, form := range map[string]string{
		"status 000":                          "HTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n%s",
		"a blank in a name":                   "HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: %d\r\n\r\n%s",
		"a control byte in a name":            "HTTP/1.1 200 OK\r\nX\x01Odd: v\r\nContent-Length: %d\r\n\r\n%s",
		"a blank behind the name of encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nX-Length: %d\r\n\r\n%s",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := serveRaw(t, fmt.Sprintf(form, len(brokenDocument), brokenDocument))
			code, out, _ := runLine("--address", broken, "program", "cancel", "p")
			is.Equal(code, exitUnreachable)
			is.Equal(out, "")
			sound := serveRaw(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(brokenDocument), brokenDocument))
			code, _, _ = runLine("--address", broken, "--address", sound, "program", "cancel", "p")
			is.Equal(code, 0)
		})
	}
}

// TestPartsOfDocumentsAreNoAnswersOfNodes guards against documents without a length that operators see as whole
// although the node ended within them.
func TestPartsOfDocumentsAreNoAnswersOfNodes(t *testing.T) {
	for cut := range len(brokenDocument) + 1 {
		var document map[string]any
		client := newClient([]string{serveRaw(t, "HTTP/1.1 200 OK\r\n\r\n"+brokenDocument[:cut])}, time.Second)
		if err := client.get(t.Context(), "/", &document); (err == nil) != (cut == len(brokenDocument)) {
			t.Errorf("%d bytes: %v, %v", cut, document, err)
		}
	}
}

// serveSOCKS serves a SOCKS5 proxy (RFC 1928) without authentication to addresses of IPv4.
func serveSOCKS(t *testing.T) *url.URL {
	listener, err := sockets.Accept(func(socket net.Conn) {
		var greeting [3]byte
		var connect [10]byte
		_, _ = io.ReadFull(socket, greeting[:])
		_, _ = socket.Write([]byte{5, 0})
		_, _ = io.ReadFull(socket, connect[:])
		node, err := net.Dial("tcp4", netip.AddrPortFrom(netip.AddrFrom4([4]byte(connect[4:8])), binary.BigEndian.Uint16(connect[8:])).String())
		if err != nil {
			return
		}
		defer func() { _ = node.Close() }()
		_, _ = socket.Write([]byte{5, 0, 0, 1, 0, 0, 0, 0, 0, 0})
		go func() { _, _ = io.Copy(node, socket) }()
		_, _ = io.Copy(socket, node)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return &url.URL{Scheme: "socks5", Host: listener.Addr().String()}
}

// TestNodesAreReachedThroughSOCKS guards against a handshake with a proxy that is taken for a response with an invalid
// head.
func TestNodesAreReachedThroughSOCKS(t *testing.T) {
	is := is.New(t)
	proxy := http.ProxyURL(serveSOCKS(t))
	get := func(text string) error {
		client := newClient([]string{serveRaw(t, text)}, time.Second)
		client.http.Transport = newTransport(proxy)
		var document map[string]any
		return client.get(t.Context(), "/", &document)
	}
	is.NoErr(get("HTTP/1.1 200 OK\r\n\r\n" + brokenDocument))
	is.True(get("HTTP/1.1 000 OK\r\n\r\n"+brokenDocument) != nil)
}
