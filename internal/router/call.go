package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/heldbytes"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/limits"
	"stepseam.example/stepseam/internal/origin"
	"stepseam.example/stepseam/internal/quarantine"
	"stepseam.example/stepseam/internal/residency"
	"stepseam.example/stepseam/internal/routing"
)

const (
	// defaultTimeout applies if neither the client nor the route specifies a timeout.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds request bodies if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
)

// call is one request of a client.
type call struct {
	id     string
	method string
	uri    string
	host   string
	header http.Header
	body   []byte
	// inputBytes is the length of the client's own input at the end of body, without a turn's
	// history.
	inputBytes int
	// held counts the bytes of body.
	held *heldbytes.Holder
	// contentKey identifies the request over all its attempts; nil until content computes it.
	contentKey *quarantine.Key
	route      *routing.Route
	service    routing.Service
	// sentAt is when the last attempt began, as a reading of Router.Now, and heardAt when its
	// replica last sent something; zero if it did not. registered is its registration with the
	// quarantine, if it has one.
	sentAt     time.Duration
	heardAt    time.Time
	registered quarantine.Attempt
	// sentTo is the replica of the attempt that is under way or was the last; nil once it has failed.
	sentTo *fleet.Replica
	// tenant is the account of the request by the configuration at its arrival; nil if no
	// key is required.
	tenant *routing.Tenant
	// priority is the request's priority; 0 is the highest.
	priority int
	// allowedRegions are the regions where the request's data may be.
	allowedRegions residency.AllowedRegions
	// permit is the token taken from the tenant's limit for one run at a replica. permitUsed
	// is set while a replica may have run the request with it.
	permit     limits.Permit
	permitUsed bool
	version    uint64
	arrived    time.Time
	deadline   time.Time
	// sendBegan is when the call was last sent, and given the time that its replica got; zero if it was
	// not sent.
	sendBegan time.Time
	given     time.Duration
	// cancel ends the context in which the call is served.
	cancel context.CancelFunc

	prompt    balance.Prompt
	maxTokens uint32
	// programTimeLeft is the program's remaining time until its objective. late reports
	// that the objective has passed.
	programTimeLeft time.Duration
	late            bool
	turn            turn
	// clientTimeout is how long the client waits, over all its attempts from this one on.
	clientTimeout time.Duration
	// resuming is set if the client resumes a stream. lastEvent is the ID of the last event that
	// it has received, or -1. resumes is the request ID of the attempt that brought the stream's
	// first event, or empty if the client does not name it.
	resuming  bool
	lastEvent int64
	// positionKnown is set if lastEvent could be read.
	positionKnown bool
	resumes       string
	// origin is what began the stream that the call continues, or nil for a new stream.
	origin *origin.Found
	// configuration is the one in effect at the request's arrival.
	configuration *routing.Configuration
}

// turn identifies the program's turn. budgeted is false for requests without a budget.
type turn struct {
	budgeted bool
	program  ledger.ProgramID
	budget   uint32
	previous ledger.TurnID
}

// left returns the remaining time until the deadline.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// tokensPerEvent returns the tokens that count for an event.
func (c *call) tokensPerEvent() uint32 { return uint32(max(c.service.TokensPerEvent, 1)) }

// hopByHopFields are the header fields that apply to a single connection.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeader returns the header without hop-by-hop fields, including those listed in
// Connection.
func endToEndHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		forwarded[name] = values
	}
	for _, listed := range header["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			delete(forwarded, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopFields {
		delete(forwarded, name)
	}
	return forwarded
}

// requestHeader returns the header to send to a replica: the client's end-to-end fields
// without reserved ones, plus the authenticated tenant. The request ID is always included,
// even if the client lists it in Connection.
func (n *HeaderNames) requestHeader(header http.Header, tenant *routing.Tenant) http.Header {
	forwarded := endToEndHeader(header)
	for _, name := range n.Reserved {
		delete(forwarded, textproto.CanonicalMIMEHeaderKey(name))
	}
	if tenant != nil && n.Tenant != "" {
		forwarded.Set(n.Tenant, tenant.Name)
	}
	if id, given := header[n.Replica.RequestID]; given {
		forwarded[n.Replica.RequestID] = id
	}
	return forwarded
}

// newCall builds a call from the header of a request.
func (r *Router) newCall(request *http.Request, route *routing.Route, tenant *routing.Tenant, configuration *routing.Configuration) *call {
	names := &r.config.Names
	call := &call{
		id: request.Header.Get(names.Replica.RequestID), method: request.Method,
		uri: request.RequestURI, host: request.Host, header: names.requestHeader(request.Header, tenant),
		route: route, tenant: tenant, priority: routing.PriorityOf(route, tenant), allowedRegions: routing.AllowedRegionsOf(route, tenant), version: configuration.Version, configuration: configuration, arrived: time.Now(), lastEvent: -1,
	}
	call.setService(r.splitter.Pick(route, r.config.Random()))
	call.deadline = call.arrived.Add(requestTimeout(request.Header.Get(names.TimeoutMs), route.Timeout))
	call.clientTimeout = clientTimeout(request.Header.Get(names.TimeoutMs), route.Timeout)
	call.prompt.Segments = parsePrompt(request.Header.Get(names.PromptPrefix))
	input, maxOutput, _ := strings.Cut(request.Header.Get(names.TokenCount), ",")
	call.prompt.Tokens = int(parseUint32(input))
	call.maxTokens = parseUint32(maxOutput)
	call.readResumption(names, request.Header)
	if left, err := strconv.ParseInt(request.Header.Get(names.Finish), 10, 64); err == nil {
		call.programTimeLeft = time.Duration(left) * time.Millisecond
		call.late = left <= 0
	}
	call.turn = turn{
		program:  ledger.ProgramID(request.Header.Get(names.Program)),
		budget:   parseUint32(request.Header.Get(names.Budget)),
		previous: turnID(tenant, request.Header.Get(names.PreviousTurn)),
	}
	if call.maxTokens == 0 {
		// Without a maximum, the turn may use the whole remaining budget.
		call.maxTokens = call.turn.budget
	}
	call.turn.budgeted = route.Kind == routing.KindStreaming && call.turn.program != "" && request.Header.Get(names.Budget) != ""
	return call
}

// readResumption reads the fields of a client that resumes a stream. Replicas get the position
// that was read here, and the stream's name only with a resumption.
func (c *call) readResumption(names *HeaderNames, header http.Header) {
	last, given := header[textproto.CanonicalMIMEHeaderKey(names.LastEvent)]
	if c.route.Kind != routing.KindStreaming || !given {
		c.header.Del(names.Resumes)
		return
	}
	// A position that can't be read may mean something to a replica.
	c.resuming = true
	c.header.Set(names.LastEvent, last[0])
	if position, err := strconv.ParseInt(strings.TrimSpace(last[0]), 10, 64); err == nil {
		c.lastEvent, c.positionKnown = position, true
	}
	if streams := header[textproto.CanonicalMIMEHeaderKey(names.Resumes)]; len(streams) == 1 {
		c.resumes = strings.TrimSpace(streams[0])
	}
}

// content returns the key of the request's content, which is the same for all attempts of its
// client. Computing it costs time in proportion to the body.
func (r *Router) content(call *call) quarantine.Key {
	if call.contentKey != nil {
		return *call.contentKey
	}
	names := &r.config.Names
	made := quarantine.Content{
		Host: call.host, Method: call.method, URI: call.uri,
		Program: call.header.Get(names.Program), Session: call.header.Get(names.Session), PreviousTurn: call.header.Get(names.PreviousTurn),
		PromptPrefix: call.header.Get(names.PromptPrefix), TokenCount: call.header.Get(names.TokenCount),
		Body: call.body[len(call.body)-call.inputBytes:],
	}
	if call.tenant != nil {
		made.Tenant = call.tenant.Name
	}
	key := made.Key()
	call.contentKey = &key
	return key
}

// turnID returns the ID of a tenant's turn in the ledger, or an empty one for an empty
// request ID. The ID contains the tenant's name, so that turns of other tenants cannot be
// referenced.
func turnID(tenant *routing.Tenant, requestID string) ledger.TurnID {
	if requestID == "" || tenant == nil {
		return ledger.TurnID(requestID)
	}
	return ledger.TurnID(tenant.Name + "/" + requestID)
}

// requestTimeout returns the smaller of the client's and the route's timeout.
func requestTimeout(clientMs string, routeTimeout time.Duration) time.Duration {
	timeout := defaultTimeout
	if routeTimeout > 0 {
		timeout = routeTimeout
	}
	if milliseconds, err := strconv.ParseInt(clientMs, 10, 64); err == nil && milliseconds >= 0 {
		timeout = min(timeout, time.Duration(milliseconds)*time.Millisecond)
	}
	return timeout
}

// clientTimeout returns how long a client waits over all its attempts. Without its timeout, it is
// that of one attempt.
func clientTimeout(clientMs string, routeTimeout time.Duration) time.Duration {
	if milliseconds, err := strconv.ParseInt(clientMs, 10, 64); err == nil && milliseconds >= 0 {
		return time.Duration(min(milliseconds, math.MaxInt32)) * time.Millisecond
	}
	return max(routeTimeout, defaultTimeout)
}

func parseUint32(text string) uint32 {
	value, err := strconv.ParseUint(strings.TrimSpace(text), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(value)
}

// parsePrompt parses a list "id:tokens,id:tokens". It stops at the first malformed entry,
// since segments serve only as a hint for replica selection.
func parsePrompt(list string) []balance.Segment {
	if list == "" {
		return nil
	}
	var segments []balance.Segment
	for field := range strings.SplitSeq(list, ",") {
		id, tokens, found := strings.Cut(strings.TrimSpace(field), ":")
		count, err := strconv.Atoi(tokens)
		if !found || err != nil {
			break
		}
		segments = append(segments, balance.Segment{ID: xxhash.Sum64String(id), Tokens: count})
	}
	return segments
}

var errBodyTooLarge = errors.New("router: request body exceeds the limit")

// headerBytes returns the approximate size of a request's header on the wire.
func headerBytes(request *http.Request) int {
	const perField = len(": \r\n")
	total := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			total += len(name) + len(value) + perField
		}
	}
	return total
}

// readBodyUntil is like readBody with a read deadline.
func readBodyUntil(writer http.ResponseWriter, request *http.Request, limit int64, held *heldbytes.Holder, deadline time.Time) ([]byte, error) {
	controller := http.NewResponseController(writer)
	// The error means that the connection does not support deadlines.
	_ = controller.SetReadDeadline(deadline)
	body, err := readBody(request, limit, held)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// minBodyBuffer is the initial size in bytes of the buffer for a body of unknown length.
const minBodyBuffer = 4 << 10

// readBody reads the complete body, so that the request can be retried. Its bytes are held whatever
// its framing.
func readBody(request *http.Request, limit int64, held *heldbytes.Holder) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if request.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if request.ContentLength == 0 {
		return nil, nil
	}
	if request.ContentLength < 0 {
		return readBodyOfUnknownLength(request.Body, limit, held)
	}
	if err := held.Grow(request.ContentLength); err != nil {
		return nil, err
	}
	body := make([]byte, request.ContentLength)
	if _, err := io.ReadFull(request.Body, body); err != nil {
		return nil, fmt.Errorf("router: read request body: %w", err)
	}
	// The server detects a disconnect of the client only after EOF has been read.
	_, err := request.Body.Read(make([]byte, 1))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("router: read request body: %w", err)
	}
	return body, nil
}

func readBodyOfUnknownLength(reader io.Reader, limit int64, held *heldbytes.Holder) ([]byte, error) {
	if err := held.Grow(minBodyBuffer); err != nil {
		return nil, err
	}
	body := make([]byte, 0, minBodyBuffer)
	for {
		if len(body) == cap(body) {
			// Both buffers exist while the bytes are copied.
			larger := min(2*int64(cap(body)), limit+1)
			if err := held.Grow(larger + int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, larger), body...)
			held.Shrink(larger)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, fmt.Errorf("router: read request body: %w", err)
		}
	}
}
