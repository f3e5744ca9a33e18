package ledgerlog

// pendingReservation is a reservation that is being written. Its other fields may be read once
// done is closed.
type pendingReservation struct {
	done    chan struct{}
	err     error
	granted bool
}

// completedReservation returns a reservation that is done.
func completedReservation(err error) *pendingReservation {
	call := &pendingReservation{done: make(chan struct{}), err: err}
	close(call.done)
	return call
}

// unavailableReservation is returned in place of a reservation while the store is unavailable
// and this node is not the coordinator. Otherwise, all nodes to which clients retry would write
// a record for each refused turn and read its partition for the verdict right after the store
// recovers.
var unavailableReservation = completedReservation(ErrStoreUnavailable)

// refusedReservation is returned in place of a reservation that the log would refuse.
var refusedReservation = completedReservation(nil)
