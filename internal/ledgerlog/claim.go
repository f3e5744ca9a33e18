package ledgerlog

import (
	"context"

	"stepseam.example/stepseam/internal/ledger"
)

// claim makes this life the partition's owner, in the background, unless it is.
// While the present owner lives, it is given time to release, and a stand-in gives it more.
func (h *holder) claim(standIn bool) {
	patience := releasePatience
	if standIn {
		patience = standInPatience
	}
	if !h.partition.follower.heard() {
		h.learnOwner(standIn)
		return
	}
	owner := h.partition.follower.owner()
	now := h.clock()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if owner == h.life || h.claiming || h.claimedAt > 0 && now-h.claimedAt < ownPause {
		return
	}
	if h.wantedSince == 0 {
		h.wantedSince = now
	}
	if owner != "" && h.members.IsAlive(owner) && now-h.wantedSince < patience {
		return
	}
	h.leaving, h.wantedSince = false, 0
	h.claimedAt = now
	h.write(ledger.OwnershipClaim{Incarnation: h.life})
}

// learnOwner reads the partition for the first time, in the background, and claims
// it then.
func (h *holder) learnOwner(standIn bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.claiming {
		return
	}
	h.claiming = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
		defer cancel()
		// After a failed read, the next turn tries again.
		err := h.partition.follower.readToEnd(ctx)
		h.mutex.Lock()
		h.claiming = false
		h.mutex.Unlock()
		if err == nil {
			h.claim(standIn)
		}
	}()
}

// release gives the ownership back. Nothing is ahead of the log here any more.
func (h *holder) release() {
	owner := h.partition.follower.owner()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if owner == h.life && !h.claiming {
		h.write(ledger.OwnershipRelease{Incarnation: h.life})
	}
}

// write writes a record of the ownership and reads the partition up to it, in the
// background. It needs the mutex.
func (h *holder) write(record ledger.Record) {
	h.claiming = true
	waiting := h.partition.submitNow(ledger.Encode(record))
	go func() {
		outcome := <-waiting.outcome
		if outcome.err == nil {
			// A failed read is repeated by the next who needs it.
			_ = h.partition.follower.readTo(context.Background(), outcome.first)
		}
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.claiming = false
	}()
}
