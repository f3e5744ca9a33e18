package siteservices

import "time"

// The HTTP protocol of the platform's services, as the clients of this package
// speak it. Records travel as base64 strings in JSON.
const (
	// CallerHeader names the caller, so that a stand-in can cut off one caller.
	CallerHeader = "Platform-Caller"
	// EffectHeader carries EffectNone on an answer by which the service itself
	// states that the request had no effect.
	EffectHeader = "Platform-Effect"
	// EffectNone is the one value of EffectHeader.
	EffectNone = "none"
)

// Bounds of the protocol.
const (
	// MaxBodyBytes bounds the body of any request or answer. A snapshot of a
	// shard is one record, and base64 makes it a third larger.
	MaxBodyBytes = 64 << 20
	// MaxWait bounds one long poll.
	MaxWait = time.Minute
)

// AppendBody is the body of POST /v1/streams/{stream}/records.
type AppendBody struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer answers an append.
type AppendAnswer struct {
	Offset Offset `json:"offset"`
}

// ReadAnswer answers GET /v1/streams/{stream}/records.
type ReadAnswer struct {
	Records [][]byte `json:"records"`
	From    Offset   `json:"from"`
	End     Offset   `json:"end"`
}

// MachinesAnswer answers GET /v1/machines.
type MachinesAnswer struct {
	Machines []Machine `json:"machines"`
}

// WaitAnswer answers GET /v1/weights/{model}/{version}/wait.
type WaitAnswer struct {
	WaitSeconds float64 `json:"wait_seconds"`
}
