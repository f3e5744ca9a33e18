// Package quarantine keeps requests under which replicas have ended from ending further ones.
//
// A request is known by its content, which all its client attempts share. The node at which an
// attempt breaks off finds out whether the replica has ended, and copies a record of the attempt to
// the holders of the content's key before it repeats the request or answers the client. From the
// second attempt on under which a replica has ended or may have, all nodes are told. Once MaxEnded
// replicas have ended, no node sends the request until its record expires.
//
// Records are sets of attempts whose states only advance, so that they can be merged in any order.
package quarantine

import (
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/fleet"
)

// MaxEnded is the number of replicas that may end under a request. After that it is not sent any
// more.
const MaxEnded = 3

// SettleTime is how long after the last end under a content that does not identify its request a
// whole answer to an equal one may arrive, which shows that it is not the cause.
const SettleTime = 200 * time.Millisecond

var (
	// ErrQuarantined means that MaxEnded replicas have ended under the request.
	ErrQuarantined = errors.New("quarantine: replicas have ended under the request")
	// ErrUnclear means that the request may not be sent until it is known how earlier attempts
	// ended, or that another one is under way.
	ErrUnclear = errors.New("quarantine: the ends of earlier attempts are not known yet")
	// ErrSettling is an ErrUnclear that lasts for SettleTime at most: MaxEnded replicas have ended
	// under equal requests, of which another may still be answered.
	ErrSettling = fmt.Errorf("%w: equal requests may still be answered", ErrUnclear)
	// ErrStarting means that this node has just started and does not know yet which requests are
	// quarantined.
	ErrStarting = errors.New("quarantine: this node has just started")
)

// state is what is known of an attempt. It only advances.
type state uint8

const (
	// stateWatched is an attempt that broke off although its replica seems to live. Only the node
	// that made the attempt knows of it.
	stateWatched state = 1 + iota
	// stateOpen is an attempt that is under way, or after which the replica is silent.
	stateOpen
	// stateEnded is an attempt under which the replica ended.
	stateEnded
	// stateCleared is an attempt that its replica outlived.
	stateCleared
)

// counts reports whether an attempt counts: its replica has ended, or may have.
func (s state) counts() bool { return s == stateOpen || s == stateEnded }

// Replica names an incarnation of a replica.
type Replica struct {
	Instance    string
	StartedAtMs int64
}

// String returns the ID of the incarnation.
func (r Replica) String() string {
	one := fleet.Replica{Instance: r.Instance, StartedAtMs: r.StartedAtMs}
	return one.IncarnationID()
}

// attempt is one attempt at a replica. Times are monotonic readings of the node that holds it.
type attempt struct {
	id      uint64
	replica Replica
	state   state
	// began is when the request was sent, brokeAt when the attempt broke off if it has. until is
	// when it is over at the latest.
	began, brokeAt, until time.Duration
	broken                bool
	// silent is set if the replica had sent nothing for some time then.
	silent bool
	// absent is set while the replica has no entry, since absentSince.
	absent      bool
	absentSince time.Duration
	// sequence is that of the replica's entry as first known after renewedAfter, if sequenceKnown.
	sequence      uint64
	sequenceKnown bool
	// own is set at the node that made the attempt.
	own bool
}

// Request identifies a request to the service.
type Request struct {
	Key Key
	// Identified reports whether the content names the program, so that equal contents are
	// attempts of one request. Requests of several clients may share a content otherwise.
	Identified bool
	// Lifetime is how long the request may come back.
	Lifetime time.Duration
	// ClientLeft is how long its client waits, over all its attempts.
	ClientLeft time.Duration
}

// lifetime is how long a record is kept.
func (r *Request) lifetime() time.Duration { return max(r.Lifetime, minLifetime) }

// Send is an attempt that is about to be made, or was.
type Send struct {
	Replica Replica
	// Began is when the request was sent, Until when the attempt is over at the latest.
	Began, Until time.Duration
	// Silence is how long the replica had sent nothing when the attempt broke off.
	Silence time.Duration
}
