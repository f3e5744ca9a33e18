// Package wait holds pauses that end early with a context.
package wait

import (
	"context"
	"time"
)

// For waits for duration. It returns ctx's error if that ends first.
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
