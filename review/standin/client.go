package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// turnsConfiguration has one route, whose turns are kept and may be resumed.
const turnsConfiguration = `{"version":7,"routes":[
{"name":"r-turns","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":3000,"sloMs":200,"priority":1,
"service":"huvo11a","maxAttempts":2,"retain":true,"retainS":60.0,"sticky":true,"resumable":true,"targetGapMs":300}],
"services":[{"name":"huvo11a","healthPath":"/health","maxConns":160,"protocol":"h1","tls":false,
"engine":{"slots":12,"kvCapacity":490370,"kvTokenBytes":327680,"linkMbps":2900000.0,"moves":true,"backups":true,"tokensPerEvent":25,
"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// turnTimeout is how long a client waits for a turn.
const turnTimeout = 3000 * time.Millisecond

// attempt is one client attempt of a turn.
type attempt struct {
	id, previous, input, program string
	// resumes is the attempt that brought the first event of the stream that this one resumes.
	resumes           string
	lastEvent         int
	timeout           time.Duration
	budget, maxTokens int
}

// outcome is what the client got.
type outcome struct {
	status     int
	events     []string
	lastEvent  int
	whole      bool
	retryAfter time.Duration
	err        error
}

// send sends an attempt on a new connection. onEvent is called with each event.
func (s *site) send(target *node, one attempt, onEvent func(number int)) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), one.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.clients()+"/lohu930/2f", strings.NewReader(one.input))
	if err != nil {
		return outcome{lastEvent: one.lastEvent, err: err}
	}
	request.Host = "ficu95.example"
	header := map[string]string{
		"X-Stepseam-Request-Id": one.id, "X-Stepseam-Program-Id": one.program,
		"X-Stepseam-Session-Id": "s" + one.program, "X-Stepseam-Finish-Ms": "9000",
		"X-Stepseam-Token-Budget": strconv.Itoa(one.budget), "X-Stepseam-Token-Count": fmt.Sprintf("1840,%d", one.maxTokens),
		"X-Stepseam-Model": "m", "X-Stepseam-Prompt-Prefix": "5c1e07a2:800",
		"X-Stepseam-Timeout-Ms": strconv.FormatInt(one.timeout.Milliseconds(), 10),
	}
	if one.previous != "" {
		header["X-Stepseam-Previous-Turn"] = one.previous
	}
	if one.lastEvent >= 0 {
		header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(one.lastEvent), one.resumes
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	s.note("sent     %s to %s previous=%q last-event-id=%d", one.id, target.name, one.previous, one.lastEvent)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.note("answered %s no answer: %v", one.id, err)
		return outcome{lastEvent: one.lastEvent, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got := outcome{status: response.StatusCode, lastEvent: one.lastEvent}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		got.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	got.readEvents(response.Body, onEvent)
	s.note("answered %s status=%d events=%d last=%d whole=%v", one.id, got.status, len(got.events), got.lastEvent, got.whole)
	return got
}

// readEvents reads a stream of events with one data line each.
func (o *outcome) readEvents(body io.Reader, onEvent func(number int)) {
	reader := bufio.NewReader(body)
	number, data := -1, ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			o.whole, o.err = err == io.EOF && line == "", err
			return
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			number, _ = strconv.Atoi(strings.TrimPrefix(line, "id: "))
		case strings.HasPrefix(line, "data: "):
			data = strings.TrimPrefix(line, "data: ")
		case line == "" && number >= 0:
			o.events, o.lastEvent = append(o.events, data), number
			onEvent(number)
			number = -1
		}
	}
}
