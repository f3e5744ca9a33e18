// Package identity defines the value types that identify nodes, zones, shards, epochs,
// programs and their calls. It imports no other package of the project, so that all of them
// may use it.
package identity

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// NodeName is the name of a node, unique within a site and stable across restarts.
type NodeName string

// Zone is a failure domain inside a region.
type Zone string

// Region is a group of zones that may lose its connection to other regions as a whole.
type Region string

// Incarnation identifies one run of a node. It is the start time in Unix nanoseconds, so
// that later runs have higher incarnations. A node has no persistent state, so anything
// that refers to its memory must include the incarnation.
type Incarnation uint64

// Node is one incarnation of a node.
type Node struct {
	Name        NodeName
	Zone        Zone
	Region      Region
	Incarnation Incarnation
	// PeerAddress is the TCP address of the peer protocol.
	PeerAddress netip.AddrPort
	// ProbeAddress is the UDP address for membership datagrams.
	ProbeAddress netip.AddrPort
}

// Reference identifies one incarnation of a node without its addresses.
type Reference struct {
	Name        NodeName
	Incarnation Incarnation
}

// Reference returns the reference to n's incarnation.
func (n Node) Reference() Reference { return Reference{Name: n.Name, Incarnation: n.Incarnation} }

// ShardID identifies a shard, from 0 to the site's number of shards less one.
type ShardID uint32

// Epoch counts the ownerships of one shard. It increases by one with each valid claim; 0
// means that the shard has never been claimed.
type Epoch uint64

// ProgramID identifies a program. It is unique across tenants.
type ProgramID string

// Shard returns the shard of program p at a site with count shards. The mapping depends on
// nothing else.
func (p ProgramID) Shard(count int) ShardID {
	return ShardID(xxhash.Sum64String(string(p)) % uint64(count))
}

// BranchID identifies a sequence of calls within a program.
type BranchID string

// MainBranch is the branch of calls that specify none.
const MainBranch BranchID = "main"

// Sequence is a call's position in its branch, counted from 1.
type Sequence uint64

// CallID identifies a call. It does not depend on the owner of the call's shard.
type CallID struct {
	Program  ProgramID
	Branch   BranchID
	Sequence Sequence
}

// String returns program/branch/sequence.
func (c CallID) String() string {
	return fmt.Sprintf("%s/%s/%d", c.Program, c.Branch, c.Sequence)
}

// StreamID identifies one attempt of a call at a backend. A backend refuses a stream that
// was cancelled before it arrived, which fences delayed dispatches by a former owner.
type StreamID struct {
	Call    CallID
	Epoch   Epoch
	Attempt uint32
}

// String returns program/branch/sequence/epoch/attempt.
func (s StreamID) String() string {
	return fmt.Sprintf("%s/%d/%d", s.Call, s.Epoch, s.Attempt)
}
