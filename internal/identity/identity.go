// Package identity holds the small value types that name things across
// stepseam: nodes, zones, shards, epochs, programs and their calls. It imports
// nothing of the project, so that every package may use it.
package identity

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// NodeName is the name of a node, unique within a site and stable over restarts.
type NodeName string

// Zone is a failure domain inside a region.
type Zone string

// Region is a group of zones that may lose its links to other regions as a whole.
type Region string

// Incarnation tells two lives of one node name apart. It is the start time in
// Unix nanoseconds, so a later life has a higher incarnation. A node keeps
// nothing over a restart; whatever names a node's memory names its incarnation.
type Incarnation uint64

// Node is one life of one stepseamd process.
type Node struct {
	Name        NodeName
	Zone        Zone
	Region      Region
	Incarnation Incarnation
	// PeerAddress takes the internal protocol over TCP.
	PeerAddress netip.AddrPort
	// ProbeAddress takes membership datagrams over UDP.
	ProbeAddress netip.AddrPort
}

// Reference names one life of a node without its addresses.
type Reference struct {
	Name        NodeName
	Incarnation Incarnation
}

// Reference returns the short name of n's life.
func (n Node) Reference() Reference { return Reference{Name: n.Name, Incarnation: n.Incarnation} }

// ShardID numbers a shard, from 0 to the site's shard count less one.
type ShardID uint32

// Epoch numbers the ownerships of one shard. It rises by one with each valid
// claim; 0 means that the shard was never claimed.
type Epoch uint64

// ProgramID names a program; it is unique over all tenants.
type ProgramID string

// Shard returns the shard that program p belongs to at a site of count shards.
// The mapping never changes while the site's shard count stays.
func (p ProgramID) Shard(count int) ShardID {
	return ShardID(xxhash.Sum64String(string(p)) % uint64(count))
}

// BranchID names one chain of calls inside a program.
type BranchID string

// MainBranch is the branch of calls that name none.
const MainBranch BranchID = "main"

// Sequence is a call's position in its branch, counted from 1.
type Sequence uint64

// CallID names a call for its whole life, whoever owns its shard.
type CallID struct {
	Program  ProgramID
	Branch   BranchID
	Sequence Sequence
}

// String returns program/branch/sequence.
func (c CallID) String() string {
	return fmt.Sprintf("%s/%s/%d", c.Program, c.Branch, c.Sequence)
}

// StreamID names one attempt of one call at one back end. A back end refuses a
// stream that was cancelled before it arrived, which is what fences a late
// dispatch of a former owner.
type StreamID struct {
	Call    CallID
	Epoch   Epoch
	Attempt uint32
}

// String returns program/branch/sequence/epoch/attempt.
func (s StreamID) String() string {
	return fmt.Sprintf("%s/%d/%d", s.Call, s.Epoch, s.Attempt)
}
