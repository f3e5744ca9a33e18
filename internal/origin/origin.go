// Package origin records which service and software version began each stream, so that an
// interrupted stream goes on at that version from whichever node its client comes back to.
//
// The node that forwards a stream's first event keeps the record and copies it to a few holders,
// which any node finds by rendezvous hashing over its members from the stream's ID alone. A node
// that needs a record asks the holders. Records expire with the client's timeout; nothing is
// written to the store. Record holders of other builds and dead ones are replaced by the next in
// rank.
package origin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/identity"
)

// Key identifies a stream: its tenant and the request ID of the attempt that brought the first
// event. It is a digest, so that records have a fixed size whatever clients send, and a client
// can't name another tenant's stream.
type Key [16]byte

// KeyOf returns the key of a stream. tenant is empty for requests without one.
func KeyOf(tenant, requestID string) Key {
	digest := sha256.New()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(tenant)))
	// Writing to a digest does not fail.
	_, _ = digest.Write(size[:])
	_, _ = digest.Write([]byte(tenant))
	_, _ = digest.Write([]byte(requestID))
	return Key(digest.Sum(nil))
}

// Origin is what began a stream: the service and the version of the replica whose first event
// was sent to the client.
type Origin struct{ Service, Version string }

// maxTextBytes bounds a service's name and a version in records.
const maxTextBytes = 255

// recordable reports whether an origin may be in a record.
func (o Origin) recordable() bool {
	return o.Service != "" && o.Version != "" && len(o.Service) <= maxTextBytes && len(o.Version) <= maxTextBytes
}

// Record is a stream's origin with the remaining time for which its client may come back.
type Record struct {
	Key    Key
	Origin Origin
	Left   time.Duration
}

// Source is where an origin was learned.
type Source string

// The sources of origins.
const (
	// SourceHere is a record of this node.
	SourceHere Source = "here"
	// SourceHolder is a record of another node.
	SourceHolder Source = "holder"
	// SourceOnlyVersion means that the stream has no known record, but the service had only one
	// version for longer than any stream lasts, until after the request arrived.
	SourceOnlyVersion Source = "only_version"
)

// Found is the origin of a stream with its source. Node is the node that had the record for
// SourceHolder, and the one whose history was the longest for SourceOnlyVersion; empty for this node.
type Found struct {
	Origin
	Source   Source
	Node     identity.NodeName
	Evidence Evidence
}

// Evidence is what a stream without a record goes on by, or is refused for.
type Evidence struct {
	// Here and There are for how long this node and Node have known of one version only, Window for how
	// long that is required.
	Here, There, Window time.Duration
	// Confirmed is set if the store confirmed this node's view after the request arrived. ViewAge is
	// the time between the last confirmation and the arrival, if ViewKnown is set; negative if it came
	// after it.
	Confirmed, ViewKnown bool
	ViewAge              time.Duration
	// ConfirmedBy is another node whose view the store confirmed after the request arrived, if not this one's.
	ConfirmedBy identity.NodeName
	// Asked and Answered count the nodes that were asked for a record and their answers.
	Asked, Answered int
}

// setView records when the store last confirmed this node's view, zero if it is not known, against a
// request's arrival.
func (e *Evidence) setView(confirmed, arrived time.Time) {
	if e.ViewKnown = !confirmed.IsZero(); e.ViewKnown {
		e.Confirmed, e.ViewAge = !confirmed.Before(arrived), arrived.Sub(confirmed)
	}
}

var (
	// ErrUnknown means that nothing is known of what began a stream.
	ErrUnknown = errors.New("origin: no record of the stream")
	// ErrConflicting means that records of one stream differ.
	ErrConflicting = errors.New("origin: records of the stream differ")
	// ErrUnconfirmed means that the store has not confirmed this node's view of the versions.
	ErrUnconfirmed = errors.New("origin: the store has not confirmed this node's view")
)

// Versions returns for how long all replicas of a service have had one version and the route has
// led to this service alone, as far as this node knows. If the node's view is not up to date, only
// StreamLifetime and Confirmed are set.
type Versions func(route, service string) fleet.VersionSpan

// Confirm brings this node's view of the versions up to date. It returns nil once the store had nothing
// that the view lacks at some time after since, and an error if that can't be learned in time.
type Confirm func(ctx context.Context, since time.Time) error
