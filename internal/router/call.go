package router

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/limits"
	"stepseam.example/stepseam/internal/residency"
	"stepseam.example/stepseam/internal/routing"
)

const (
	// defaultTimeout holds a request whose client and route name none.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds a body where the configuration doesn't.
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
	// inputBytes is the length of the own input at the end of body.
	inputBytes int
	route      *routing.Route
	service    routing.Service
	// tenant is whom the request is served for, by the configuration that it was
	// admitted under; nil where no key is asked for.
	tenant *routing.Tenant
	// priority is the request's rank; 0 is the highest.
	priority int
	// homes are where the request's data may be.
	homes residency.AllowedRegions
	// permit is a token of the tenant's limit.
	permit limits.Permit
	// ran tells that a replica ran the request, or may have.
	ran      bool
	version  uint64
	arrived  time.Time
	deadline time.Time

	prompt     balance.Prompt
	mostTokens uint32
	// finish is how long the program has left; late tells that this is nothing.
	finish time.Duration
	late   bool
	turn   turn
	// lastEvent is the last event that the client has, or -1.
	lastEvent int64
}

// turn is what a request says of its program; budgeted is false for other requests.
type turn struct {
	budgeted bool
	program  ledger.ProgramID
	budget   uint32
	previous ledger.TurnID
}

// left is how long the client and the route still wait.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// perConnection are the header fields that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardable returns the fields of header that are passed on.
func forwardable(header http.Header) http.Header {
	passed := make(http.Header, len(header))
	for name, values := range header {
		passed[name] = values
	}
	for _, listed := range header["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			delete(passed, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range perConnection {
		delete(passed, name)
	}
	return passed
}

// requestHeader returns the fields of a client's header that a replica is sent: none
// that only the system tells replicas, and the tenant that the client's key has proved.
// The request's id goes out also where the client lists it as its connection's.
func (n *HeaderNames) requestHeader(header http.Header, tenant *routing.Tenant) http.Header {
	passed := forwardable(header)
	for _, name := range n.Reserved {
		delete(passed, textproto.CanonicalMIMEHeaderKey(name))
	}
	if tenant != nil && n.Tenant != "" {
		passed.Set(n.Tenant, tenant.Name)
	}
	if id, given := header[n.Replica.RequestID]; given {
		passed[n.Replica.RequestID] = id
	}
	return passed
}

// newCall reads what the router needs from a request's head.
func (r *Router) newCall(request *http.Request, route *routing.Route, tenant *routing.Tenant, configuration *routing.Configuration) *call {
	names := &r.config.Names
	made := &call{
		id: request.Header.Get(names.Replica.RequestID), method: request.Method,
		uri: request.RequestURI, host: request.Host, header: names.requestHeader(request.Header, tenant),
		route: route, tenant: tenant, priority: routing.PriorityOf(route, tenant), homes: routing.AllowedRegionsOf(route, tenant), version: configuration.Version, arrived: time.Now(), lastEvent: -1,
	}
	service := r.splitter.Pick(route, r.config.Random())
	made.service = configuration.Services[service]
	made.service.Name = service
	made.deadline = made.arrived.Add(holdTime(request.Header.Get(names.TimeoutMs), route.Timeout))
	made.prompt.Segments = parsePrompt(request.Header.Get(names.PromptPrefix))
	in, most, _ := strings.Cut(request.Header.Get(names.TokenCount), ",")
	made.prompt.Tokens = int(parseUint32(in))
	made.mostTokens = parseUint32(most)
	if last, err := strconv.ParseInt(request.Header.Get(names.LastEvent), 10, 64); err == nil {
		made.lastEvent = last
	}
	if left, err := strconv.ParseInt(request.Header.Get(names.Finish), 10, 64); err == nil {
		made.finish = time.Duration(left) * time.Millisecond
		made.late = left <= 0
	}
	made.turn = turn{
		program:  ledger.ProgramID(request.Header.Get(names.Program)),
		budget:   parseUint32(request.Header.Get(names.Budget)),
		previous: turnOf(tenant, request.Header.Get(names.PreviousTurn)),
	}
	if made.mostTokens == 0 {
		// A turn that does not say how much it hands out may take all that is left.
		made.mostTokens = made.turn.budget
	}
	made.turn.budgeted = route.Kind == routing.KindStreaming && made.turn.program != "" && request.Header.Get(names.Budget) != ""
	return made
}

// turnOf returns the id of a tenant's turn in the ledger, empty for no request. It names
// the tenant, so that the turn of another one is as absent as one that never was.
func turnOf(tenant *routing.Tenant, requestID string) ledger.TurnID {
	if requestID == "" || tenant == nil {
		return ledger.TurnID(requestID)
	}
	return ledger.TurnID(tenant.Name + "/" + requestID)
}

// holdTime is the shorter of what the client waits and what the route allows.
func holdTime(clientMs string, routeTimeout time.Duration) time.Duration {
	hold := defaultTimeout
	if routeTimeout > 0 {
		hold = routeTimeout
	}
	if milliseconds, err := strconv.ParseInt(clientMs, 10, 64); err == nil && milliseconds >= 0 {
		hold = min(hold, time.Duration(milliseconds)*time.Millisecond)
	}
	return hold
}

func parseUint32(text string) uint32 {
	value, err := strconv.ParseUint(strings.TrimSpace(text), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(value)
}

// parsePrompt reads "id:tokens,id:tokens"; it stops at what it can't read, since a
// prompt's parts only help to choose.
func parsePrompt(list string) []balance.Segment {
	if list == "" {
		return nil
	}
	var parts []balance.Segment
	for field := range strings.SplitSeq(list, ",") {
		id, tokens, found := strings.Cut(strings.TrimSpace(field), ":")
		count, err := strconv.Atoi(tokens)
		if !found || err != nil {
			break
		}
		parts = append(parts, balance.Segment{ID: xxhash.Sum64String(id), Tokens: count})
	}
	return parts
}

var errBodyTooLarge = errors.New("router: the body is larger than allowed")

// headBytes is about how long a request's head is on the wire.
func headBytes(request *http.Request) int {
	const perField = len(": \r\n")
	total := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			total += len(name) + len(value) + perField
		}
	}
	return total
}

// readBodyUntil is readBody with a time by which the body must have come.
func readBodyUntil(writer http.ResponseWriter, request *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	controller := http.NewResponseController(writer)
	// A connection without deadlines is left as it is.
	_ = controller.SetReadDeadline(deadline)
	body, err := readBody(request, limit)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// readBody takes the whole body, which is needed for a further attempt.
func readBody(request *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if request.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if request.ContentLength == 0 {
		return nil, nil
	}
	if request.ContentLength > 0 {
		body := make([]byte, request.ContentLength)
		if _, err := io.ReadFull(request.Body, body); err != nil {
			return nil, fmt.Errorf("router: read body: %w", err)
		}
		// The end must be read too, before the client's leaving can be seen.
		_, err := request.Body.Read(make([]byte, 1))
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("router: read body: %w", err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("router: read body: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, nil
}
