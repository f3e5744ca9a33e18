package siteservices

import "time"

// The headers of the HTTP protocol of the platform's services. Records are base64 strings in
// JSON.
const (
	// CallerHeader is the name of the caller. Emulators use it to inject faults for one
	// caller.
	CallerHeader = "Platform-Caller"
	// EffectHeader is set to EffectNone on an error response if the service guarantees that
	// the request had no effect.
	EffectHeader = "Platform-Effect"
	// EffectNone is the only value of EffectHeader.
	EffectNone = "none"
)

// The limits of the protocol.
const (
	// MaxBodyBytes is the maximum size of a request or response body. A snapshot of a shard
	// is one record, which base64 makes larger by a third.
	MaxBodyBytes = 64 << 20
	// MaxWait is the maximum duration of a long poll.
	MaxWait = time.Minute
)

// AppendBody is the body of POST /v1/streams/{stream}/records.
type AppendBody struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer is the response to an append.
type AppendAnswer struct {
	Offset Offset `json:"offset"`
}

// ReadAnswer is the response to GET /v1/streams/{stream}/records.
type ReadAnswer struct {
	Records [][]byte `json:"records"`
	From    Offset   `json:"from"`
	End     Offset   `json:"end"`
}

// MachinesAnswer is the response to GET /v1/machines.
type MachinesAnswer struct {
	Machines []Machine `json:"machines"`
}

// WaitAnswer is the response to GET /v1/weights/{model}/{version}/wait.
type WaitAnswer struct {
	WaitSeconds float64 `json:"wait_seconds"`
}
