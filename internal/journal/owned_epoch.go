package journal

import (
	"fmt"

	"stepseam.example/stepseam/internal/identity"
)

// OwnedEpoch returns the epoch under which this node may act as the owner of shard, or
// ErrNotOwner. Callers check it immediately before each action on the shard's
// behalf, as serving does with Shard.CheckLease. Interim owners are excluded: they
// rely on the fences of engine streams, not on the fence of the epoch.
func (m *Manager) OwnedEpoch(shard identity.ShardID) (identity.Epoch, error) {
	if int(shard) >= len(m.slots) {
		return 0, fmt.Errorf("%w: there is no shard %d", ErrNotOwner, shard)
	}
	owned := m.slots[shard].load()
	// An interim owner has the epoch of its predecessor, so the epoch does not fence
	// that one.
	if owned == nil || owned.term > 0 {
		return 0, fmt.Errorf("%w: shard %d", ErrNotOwner, shard)
	}
	// The epoch is read before the lease is checked: if it rises in between, the
	// fence is lower than necessary, never higher.
	epoch := owned.Epoch()
	if err := owned.CheckLease(); err != nil {
		return 0, err
	}
	return epoch, nil
}
