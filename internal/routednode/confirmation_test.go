package routednode

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/guardedstore"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/routing"
)

// confirmedStore is a store whose breakers a test opens.
type confirmedStore struct {
	*store.Store
	open bool
	// afterRead is called after each read, whose result it may change; it may be nil.
	afterRead func(*logstore.ChangesResult)
}

func (s *confirmedStore) Available(logstore.Partition) bool { return !s.open }

// Changes implements logstore.Store.
func (s *confirmedStore) Changes(ctx context.Context, request logstore.ReadRequest) (logstore.ChangesResult, error) {
	result, err := s.Store.Changes(ctx, request)
	if s.afterRead != nil && request.Partition.Topic == "replicas" {
		s.afterRead(&result)
	}
	return result, err
}

const confirmDelay = 10 * time.Millisecond

// confirmedViews returns views of one replica of v1 and of the configuration, the store behind them and
// their confirmer.
func confirmedViews(readsPerSecond float64) (*views, *confirmedStore, *viewConfirmer) {
	v, kept := testViews(), &confirmedStore{Store: store.New()}
	v.adapter.Replicas, v.adapter.Configuration = logstore.Partition{Topic: "replicas"}, logstore.Partition{Topic: "configuration"}
	v.adapter.ConfigurationKey = "configuration"
	v.adapter.DecodeEvacuation = testEvacuations(nil).decode
	v.evacuations = testEvacuations(nil)
	v.adapter.DecodeConfiguration = func(encoded []byte) (*routing.Configuration, error) {
		version, err := strconv.ParseUint(string(encoded), 10, 64)
		return &routing.Configuration{Version: version}, err
	}
	kept.Put(v.adapter.Replicas, "a", versioned("a", "v1").Value)
	kept.Put(v.adapter.Configuration, "configuration", []byte("1"))
	v.replaceEntries([]logstore.Item{versioned("a", "v1")}, 1)
	v.replaceOperatorRecords([]logstore.Item{{Key: "configuration", Value: []byte("1")}}, 1)
	kept.Fail(store.Fault{Delay: confirmDelay})
	return v, kept, newViewConfirmer(v, kept, readsPerSecond, func() int { return 5 }, nil)
}

// A node whose view is old learns of what joined before it vouches for the only version.
func TestConfirmedViewHasWhatTheStoreHadBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v, kept, confirmer := confirmedViews(0)
		kept.Put(v.adapter.Replicas, "b", versioned("b", "v2").Value)
		kept.Put(v.adapter.Configuration, "configuration", []byte("2"))
		arrived := time.Now()
		is.NoErr(confirmer.Confirm(t.Context(), arrived))
		is.Equal(time.Since(arrived), confirmDelay) // both at the same time
		is.Equal(v.fleet.Size(), 2)
		is.True(v.fleet.VersionSpan("s", 0).Several)
		is.Equal(v.router.Configuration().Version, uint64(2))
		is.True(!v.versionsConfirmed().Before(arrived))
		calls := kept.Calls("read")
		is.Equal(calls, 2)
		is.NoErr(confirmer.Confirm(t.Context(), arrived)) // known by now
		is.Equal(kept.Calls("read"), calls)
	})
}

// A view may only be confirmed by the store's response to a read that was sent after the request arrived,
// and that reached the store's end.
func TestViewIsNotConfirmedWithoutTheStoresEnd(t *testing.T) {
	for name, spoil := range map[string]func(v *views, kept *confirmedStore){
		"the store refuses":         func(_ *views, kept *confirmedStore) { kept.Fail(store.Fault{Busy: true}) },
		"the store does not answer": func(_ *views, kept *confirmedStore) { kept.Fail(store.Fault{Silent: true}) },
		"its breaker is open":       func(_ *views, kept *confirmedStore) { kept.open = true },
		"it answers after the bound": func(_ *views, kept *confirmedStore) {
			kept.Fail(store.Fault{Delay: 2 * confirmingTimeout})
		},
		"changes were trimmed": func(v *views, kept *confirmedStore) {
			for i := range 5 {
				kept.Put(v.adapter.Replicas, "b", []byte(strconv.Itoa(i)))
			}
			kept.Trim(v.adapter.Replicas, 3)
		},
		"the store went back": func(v *views, _ *confirmedStore) {
			v.replaceEntries([]logstore.Item{versioned("a", "v1")}, 100)
		},
		"the view goes back meanwhile": func(v *views, kept *confirmedStore) {
			kept.Put(v.adapter.Replicas, "b", versioned("b", "v2").Value)
			kept.afterRead = func(*logstore.ChangesResult) {
				v.replicas.Replace(nil, 0)
			}
		},
		"the response ends before the store's end": func(v *views, kept *confirmedStore) {
			kept.Put(v.adapter.Replicas, "b", versioned("b", "v2").Value)
			kept.afterRead = func(result *logstore.ChangesResult) { result.Items, result.Next = nil, 1 }
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v, kept, confirmer := confirmedViews(0)
				v.replicas.Confirm(time.Now().Add(-time.Nanosecond))
				v.confirmOperators(time.Now().Add(-time.Nanosecond))
				spoil(v, kept)
				arrived := time.Now()
				err := confirmer.Confirm(t.Context(), arrived)
				is.True(err != nil)
				is.Equal(errors.Is(err, guardedstore.ErrCircuitOpen), kept.open)
				is.True(time.Since(arrived) <= confirmingTimeout)
				is.True(v.versionsConfirmed().Before(arrived))
				time.Sleep(2 * confirmingTimeout) // the read ends
			})
		})
	}
}

// A configuration that could not be decoded may lead the route elsewhere.
func TestUnusableConfigurationIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v, kept, confirmer := confirmedViews(0)
		kept.Put(v.adapter.Configuration, "configuration", []byte("?"))
		_ = confirmer.Confirm(t.Context(), time.Now())
		is.True(v.versionsConfirmed().IsZero())
	})
}

// The load of the store: requests that arrive while a read is under way share the next one, and all nodes
// together stay within a fraction of its capacity.
func TestConfirmationsShareReads(t *testing.T) {
	for readsPerSecond, most := range map[float64]int{0: 2 * (1 + 10), 2000: 2 * (1 + 2)} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			_, kept, confirmer := confirmedViews(readsPerSecond)
			var waiting sync.WaitGroup
			const requests = 100 // one each millisecond
			for range requests {
				waiting.Go(func() { is.NoErr(confirmer.Confirm(t.Context(), time.Now())) })
				time.Sleep(time.Millisecond)
			}
			waiting.Wait()
			t.Logf("%d requests: %d reads with a capacity of %v", requests, kept.Calls("read"), readsPerSecond)
			is.True(kept.Calls("read") <= most)
		})
	}
}

// Entries that expired while replicas could not renew them must not be dropped at once by the first read
// after an outage.
func TestConfirmingReadAfterAnOutageKeepsReplicasThatMayLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v, kept, confirmer := confirmedViews(0)
		v.replicas.Confirm(time.Now())
		time.Sleep(outageAge + time.Second)
		kept.Put(v.adapter.Replicas, "a", nil)
		is.NoErr(confirmer.Confirm(t.Context(), time.Now()))
		is.Equal(len(v.fleet.Usable("s", v.router.Now()+time.Second)), 1)
	})
}

// A read that was under way as a request arrived may have missed what was there by then.
func TestReadThatWasSentBeforeConfirmsNothingLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v, kept, confirmer := confirmedViews(0)
		var once sync.Once
		kept.afterRead = func(*logstore.ChangesResult) {
			once.Do(func() {
				kept.Put(v.adapter.Replicas, "b", versioned("b", "v2").Value)
				time.Sleep(confirmDelay) // the response is on its way
			})
		}
		var first sync.WaitGroup
		first.Go(func() { is.NoErr(confirmer.Confirm(t.Context(), time.Now())) })
		time.Sleep(confirmDelay + confirmDelay/2)
		is.Equal(v.fleet.Size(), 1)
		is.NoErr(confirmer.Confirm(t.Context(), time.Now()))
		is.Equal(v.fleet.Size(), 2)
		first.Wait()
	})
}

// A response that ends before the store's end confirms nothing until the rest was read.
func TestConfirmationReadsToTheStoresEnd(t *testing.T) {
	for name, failing := range map[string]bool{"the rest is read": false, "the rest can't be read": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v, kept, confirmer := confirmedViews(0)
				for _, instance := range []string{"b", "c", "d"} {
					kept.Put(v.adapter.Replicas, instance, versioned(instance, "v1").Value)
				}
				kept.Put(v.adapter.Replicas, "e", versioned("e", "v2").Value)
				kept.afterRead = func(result *logstore.ChangesResult) {
					if len(result.Items) > 1 {
						result.Next -= logstore.Offset(len(result.Items) - 1)
						result.Items = result.Items[:1]
					}
					if failing {
						kept.Fail(store.Fault{Busy: true})
					}
				}
				arrived := time.Now()
				err := confirmer.Confirm(t.Context(), arrived)
				is.Equal(err != nil, failing)
				is.Equal(v.fleet.VersionSpan("s", 0).Several, !failing)
				is.Equal(v.versionsConfirmed().Before(arrived), failing)
			})
		})
	}
}
