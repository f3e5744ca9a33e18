// Package wait provides sleeps that end early when a context is done.
package wait

import (
	"context"
	"time"
)

// For sleeps for duration. It returns early with ctx's error if ctx is done first.
func For(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
