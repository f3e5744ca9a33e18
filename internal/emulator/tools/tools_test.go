package tools

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestToolsTakeTimeFailAndHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		service := New(Options{Seed: 1, MinimumLatency: time.Second, MaximumLatency: 2 * time.Second})
		started := time.Now()
		result, err := service.Call(t.Context(), "transcript", []byte(`{"a":1}`))
		check.NoErr(err)
		check.Equal(result, Result{Tool: "transcript", Number: 1, Input: []byte(`{"a":1}`)})
		took := time.Since(started)
		check.True(took >= time.Second && took <= 2*time.Second)

		service.SetOptions(Options{Fail: 1})
		_, err = service.Call(t.Context(), "transcript", nil)
		check.True(errors.Is(err, ErrFailed))

		service.SetOptions(Options{Hang: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err = service.Call(ctx, "transcript", nil)
		check.True(errors.Is(err, context.DeadlineExceeded))
		check.Equal(service.Calls(), map[string]uint64{"transcript": 3})
	})
}
