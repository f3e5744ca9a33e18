// Package router serves routed requests: it finds the route, reserves the budget
// of a program's turn, chooses a replica, passes the answer on as it arrives and
// says of a failed request what is certain about it.
package router

import "stepseam.example/stepseam/internal/exchange"

// HeaderNames are the header fields that clients and replicas use. The platform's
// adapter gives them.
type HeaderNames struct {
	// Replica holds the fields of the exchange with replicas.
	Replica exchange.Names
	// TimeoutMs is how long the sender waits, in milliseconds.
	TimeoutMs string
	// LastEvent is the id of the last event that the client has of a stream.
	LastEvent string
	// Program names the program of a request.
	Program string
	// Finish is how long a program has left until it should be over, in milliseconds.
	Finish string
	// Priority ranks a request at a replica from 0, the most urgent, to 9.
	Priority string
	// Budget is a program's whole budget in tokens.
	Budget string
	// TokenCount is "tokens in,most tokens out".
	TokenCount string
	// PromptPrefix lists the parts of the prompt as "hex id:tokens", by commas.
	PromptPrefix string
	// PreviousTurn is the request id of the turn that this one goes on from.
	PreviousTurn string
	// Key is a client's key. It is never passed on.
	Key string
	// Tenant tells a replica whom a request is for.
	Tenant string
	// Reserved are the fields that only the system tells a replica. Those of a client
	// are dropped.
	Reserved []string
}
