package client_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/client"
	"stepseam.example/stepseam/internal/emulator/replica"
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

// The documents that a node answers with.
const (
	programDocument = `{"id":"p","state":"running"}`
	refusalDocument = `{"title":"t","status":503,"code":"overloaded","not_run":true}`
	answerEvent     = "data: {\"kind\":\"answer\",\"answer\":{\"text\":\"whole\"}}\n\n"
)

// TestInvalidHeadsAreNoAnswersOfNodes guards against responses with invalid heads that the client takes for a node's:
// a status that doesn't exist, names of fields with blanks or control bytes, a body that is not the node's. As a
// refusal they promise that a call has not run.
func TestInvalidHeadsAreNoAnswersOfNodes(t *testing.T) {
	t.Parallel()
	for name, form := range map[string]string{
		"status 000":                          "HTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n%s",
		"status 999":                          "HTTP/1.1 999 OK\r\nContent-Length: %d\r\n\r\n%s",
		"a blank in a name":                   "HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: %d\r\n\r\n%s",
		"a blank in a name, refused":          "HTTP/1.1 503 No\r\nX Odd: v\r\nContent-Length: %d\r\n\r\n%s",
		"a control byte in a name":            "HTTP/1.1 200 OK\r\nX\x01Odd: v\r\nContent-Length: %d\r\n\r\n%s",
		"a blank behind the name of encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nX-Length: %d\r\n\r\n%s",
		"a folded line":                       "HTTP/1.1 200 OK\r\nX-Odd: v\r\n folded\r\nContent-Length: %d\r\n\r\n%s",
	} {
		for _, document := range []string{programDocument, refusalDocument, answerEvent} {
			t.Run(name+" "+document[:8], func(t *testing.T) {
				t.Parallel()
				checkNoAnswer(t, serveRaw(t, fmt.Sprintf(form, len(document), document)))
			})
		}
	}
}

// TestPartsOfAnswersAreNoAnswersOfNodes guards against answers without a length that the client takes for whole
// although the node ended within them.
func TestPartsOfAnswersAreNoAnswersOfNodes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		head, document string
		ask            func(*client.Client) error
		// whole reports whether an error is that of the whole document.
		whole func(error) bool
	}{
		{"HTTP/1.1 200 OK\r\n\r\n", programDocument, askProgram, func(err error) bool { return err == nil }},
		{"HTTP/1.1 200 OK\r\n\r\n", strings.TrimSuffix(answerEvent, "\n"), askCall, func(err error) bool { return err == nil }},
		{"HTTP/1.1 503 No\r\n\r\n", refusalDocument, askProgram, client.NotRun},
		{"HTTP/1.1 503 No\r\n\r\n", refusalDocument, askCall, client.NotRun},
	} {
		for cut := range len(c.document) {
			checkNoAnswer(t, serveRaw(t, c.head+c.document[:cut]))
		}
		if err := ask(t, serveRaw(t, c.head+c.document), c.ask); !c.whole(err) {
			t.Errorf("%q: %v", c.document, err)
		}
	}
}

func ask(t *testing.T, node string, what func(*client.Client) error) error {
	t.Helper()
	made, err := client.New(client.Options{Nodes: []string{node}, Patience: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer made.Close()
	return what(made)
}

func askProgram(c *client.Client) error {
	_, err := c.Program(context.Background(), "p")
	return err
}

func askCall(c *client.Client) error {
	_, err := c.Call(context.Background(), "p", api.CallRequest{Sequence: 1})
	return err
}

// checkNoAnswer fails if a request gets an answer from a node, or a promise that nothing ran.
func checkNoAnswer(t *testing.T, node string) {
	t.Helper()
	for name, what := range map[string]func(*client.Client) error{"program": askProgram, "call": askCall} {
		if err := ask(t, node, what); !errors.Is(err, client.ErrUnreachable) || client.NotRun(err) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
