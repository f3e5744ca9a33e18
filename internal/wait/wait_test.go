package wait

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestForEndsWithTimerOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		is.NoErr(For(t.Context(), time.Second))
		is.Equal(time.Since(began), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(For(ctx, time.Minute), context.DeadlineExceeded))
		is.Equal(time.Since(began), 2*time.Second)
	})
}
