package journal

import (
	"fmt"

	"stepseam.example/stepseam/internal/identity"
)

// Held returns the epoch in which this node may act as the owner of shard now,
// or ErrNotOwner. Whoever acts in the shard's name asks right before each act,
// as serving does by Shard.CheckLease. An interim owner only acts by the fences of
// engine streams, not by that of the epoch, and so is none here.
func (m *Manager) Held(shard identity.ShardID) (identity.Epoch, error) {
	if int(shard) >= len(m.slots) {
		return 0, fmt.Errorf("%w: there is no shard %d", ErrNotOwner, shard)
	}
	owned := m.slots[shard].load()
	// An interim owner has the epoch of the owner before it, so that epoch fences
	// nothing against that one.
	if owned == nil || owned.term > 0 {
		return 0, fmt.Errorf("%w: shard %d", ErrNotOwner, shard)
	}
	// The epoch is read before the lease is checked: one that rises in between
	// makes the fence lower than need be, never higher.
	epoch := owned.Epoch()
	if err := owned.CheckLease(); err != nil {
		return 0, err
	}
	return epoch, nil
}
