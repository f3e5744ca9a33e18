package weightstore

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestFetchesAreSerialized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		store := New(Options{BytesPerSecond: 100, DefaultBytes: 500, ModelBytes: map[string]int64{"large": 1000}})
		started := time.Now()
		done := make(chan error, 1)
		go func() { done <- store.Fetch(t.Context(), "large", "1") }()
		synctest.Wait()
		wait, err := store.Wait(t.Context(), "small", "1")
		check.NoErr(err)
		check.Equal(wait, 10*time.Second)
		check.NoErr(store.Fetch(t.Context(), "small", "1"))
		check.Equal(time.Since(started), 15*time.Second)
		check.NoErr(<-done)
		check.Equal(store.Fetches(), uint64(2))
	})
}
