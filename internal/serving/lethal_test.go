package serving_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
)

// endEngines restarts each engine soon after it has received a call, until the returned function is
// called.
func (s *site) endEngines(call api.CallRequest) (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		received := make([]int, len(s.engines))
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for i, e := range s.engines {
				count := 0
				for _, arrival := range e.Truth().Arrivals {
					if uint64(arrival.Stream.Call.Sequence) == call.Sequence {
						count++
					}
				}
				if count > received[i] {
					received[i] = count
					e.Restart()
				}
			}
		}
	}()
	return func() { close(done); <-stopped }
}

// Each owner of a shard, and each repeat of its caller, sends a call that ends engines to others anew.
func TestCallIsNotSentAfterThreeEnginesEndedUnderIt(t *testing.T) {
	for name, takeover := range map[string]bool{"one owner": false, "owners that take over": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 6)
				defer s.close()
				owner, held := s.open()
				s.create(owner, p1)
				lethal := modelCall(1, "one")
				stop := s.endEngines(lethal)
				for range 5 {
					reply := s.start(owner, p1, lethal, 0)
					if takeover {
						time.Sleep(500 * time.Millisecond)
						held.lose()
						owner, held = s.open()
					}
					<-reply
					time.Sleep(time.Second)
				}
				time.Sleep(10 * time.Second)
				stop()
				attempts := len(s.arrivals(callID(1)))
				t.Logf("%d attempts", attempts)
				is.True(attempts <= 3)
			})
		})
	}
}
