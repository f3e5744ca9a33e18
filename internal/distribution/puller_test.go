package distribution

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A node whose clock had stood still while it waited for a peer took its view for one that the store
// would confirm in the seconds to come.
func TestPulledViewIsNotConfirmedForTheFuture(t *testing.T) {
	is := is.New(t)
	topic := NewTopic("t")
	topic.Replace(nil, 1)
	p := &puller{subscription: Subscription{Topic: topic, Confirm: topic.Confirm}, service: &Service{}, avoided: map[netip.AddrPort]time.Time{}}
	request := &pullRequest{Known: true, Position: 1}
	sent := time.Now() // and received at once, by this clock
	p.handle(t.Context(), netip.AddrPort{}, sent, request, &pullResponse{State: stateChanges, Position: 1, AgeKnown: true, Age: time.Millisecond, Waited: 2 * time.Second})
	is.True(!topic.Confirmed().IsZero())
	is.True(!topic.Confirmed().After(time.Now()))
}
