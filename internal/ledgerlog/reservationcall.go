package ledgerlog

// reservationCall is a reservation under way. What is set before done is closed may be read
// after it.
type reservationCall struct {
	done    chan struct{}
	err     error
	granted bool
}

// ended returns a call that is over already.
func ended(err error) *reservationCall {
	call := &reservationCall{done: make(chan struct{}), err: err}
	close(call.done)
	return call
}

// notReserved stands for a reservation that is not made: a node that is not the home
// leaves it to the home while the store is away. Else all nodes that clients come back to
// would write a record for each turn that they refuse, and read its whole partition for the
// verdict, in the first second after the store's return.
var notReserved = ended(ErrStoreUnavailable)

// refusedCall stands for a reservation that need not be asked for: the log would refuse it.
var refusedCall = ended(nil)
