// Package router implements the HTTP handler for routed requests. It matches the route,
// authenticates and rate-limits the tenant, reserves the budget of a program's turn,
// selects a replica and streams its response to the client. The status of a failed request
// tells the client whether the request may have run.
package router

import "stepseam.example/stepseam/internal/exchange"

// HeaderNames defines the names of the header fields used with clients and replicas. They
// are set by the platform's adapter.
type HeaderNames struct {
	// Replica holds the field names of the protocol with replicas.
	Replica exchange.Names
	// TimeoutMs is the sender's timeout in milliseconds.
	TimeoutMs string
	// LastEvent is the ID of the last event of a stream that the client has received.
	LastEvent string
	// Resumes is the request ID of the attempt that brought the first event of the stream
	// that a client resumes. It is not forwarded.
	Resumes string
	// Program is the ID of the request's program, Session that of its line of turns.
	Program, Session string
	// Finish is the program's remaining time until its objective, in milliseconds.
	Finish string
	// Priority is the rank of a request at a replica, from 0 (most urgent) to 9.
	Priority string
	// Budget is the program's total budget in tokens.
	Budget string
	// TokenCount has the form "input tokens,maximum output tokens".
	TokenCount string
	// PromptPrefix lists the segments of the prompt as comma-separated "hex ID:tokens"
	// pairs.
	PromptPrefix string
	// PreviousTurn is the request ID of the turn that this one continues.
	PreviousTurn string
	// Key is the client's key. It is never forwarded.
	Key string
	// Tenant identifies the request's tenant to replicas.
	Tenant string
	// Reserved lists the fields that only the router may set. They are removed from
	// clients' requests.
	Reserved []string
}
