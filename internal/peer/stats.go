package peer

import "sync/atomic"

// countedKinds is the number of kinds that are counted apart; kinds above it
// are counted together.
const countedKinds = 1024

// Stats counts what a transport did since it was made. It is safe for
// concurrent use.
type Stats struct {
	BytesSent        atomic.Int64
	BytesReceived    atomic.Int64
	MessagesSent     atomic.Int64
	MessagesReceived atomic.Int64
	// Dials counts connections asked for, DialFailures those not made.
	Dials        atomic.Int64
	DialFailures atomic.Int64
	// Broken counts connections that ended with requests under way.
	Broken atomic.Int64
	// Refused counts requests that were handed to no handler for lack of room.
	Refused atomic.Int64

	sentByKind [countedKinds]atomic.Int64
}

// SentBytes returns the bytes of messages of kind that were sent, without framing.
func (s *Stats) SentBytes(kind Kind) int64 { return s.sentByKind[min(kind, countedKinds-1)].Load() }

func (s *Stats) countSent(kind Kind, bytes int) {
	s.MessagesSent.Add(1)
	s.sentByKind[min(kind, countedKinds-1)].Add(int64(bytes))
}
