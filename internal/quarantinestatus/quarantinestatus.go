// Package quarantinestatus defines what a node tells operators of requests under which replicas have
// ended.
package quarantinestatus

// Status is one node's view.
type Status struct {
	Node string `json:"node"`
	// Contents are the contents of requests under which replicas have ended or may have, those with
	// the most ends first.
	Contents []Content `json:"contents"`
}

// Content is the content of one request or of several equal ones.
type Content struct {
	// Key is the digest that logs name.
	Key string `json:"key"`
	// Quarantined reports whether the request is not sent any more.
	Quarantined bool `json:"quarantined"`
	// Identified reports whether the content names a program, so that it belongs to one request.
	Identified bool `json:"identified"`
	// LeftMs is how long the record is kept, in milliseconds.
	LeftMs int64 `json:"left_ms"`
	Ends   []End `json:"ends"`
}

// End is the end of a replica under a request.
type End struct {
	Replica string `json:"replica"`
	// AgoMs is how long ago the attempt broke off, in milliseconds.
	AgoMs int64 `json:"ago_ms"`
	// Certain is false while the replica may still live.
	Certain bool `json:"certain"`
}

// Lifted is the response to an operator who lets a content be sent again.
type Lifted struct {
	Node string `json:"node"`
	Key  string `json:"key"`
}
