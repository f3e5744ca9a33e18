package shares

import (
	"slices"
	"strings"

	"stepseam.example/stepseam/internal/identity"
)

// Holder identifies who holds a share: a node's name, and its address for other nodes after
// an "@". At most one process can be bound to an address, so that two processes of one name,
// such as one that drains and its replacement on another machine, do not hold one share. A
// table of a build before addresses has names alone, which any process of the name matches.
type Holder string

const addressSeparator = "@"

// HolderOf returns the holder that a node is.
func HolderOf(node identity.Node) Holder {
	if !node.PeerAddress.IsValid() {
		return Holder(node.Name)
	}
	return Holder(string(node.Name) + addressSeparator + node.PeerAddress.String())
}

// Name returns the node's name.
func (h Holder) Name() identity.NodeName {
	if end := strings.LastIndex(string(h), addressSeparator); end >= 0 {
		return identity.NodeName(h[:end])
	}
	return identity.NodeName(h)
}

// IsAmong reports whether a table with these holders gives h a share.
func (h Holder) IsAmong(holders []Holder) bool {
	return slices.Contains(holders, h) || slices.Contains(holders, Holder(h.Name()))
}
