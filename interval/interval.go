// Package interval runs the periodic work of supervised services.
package interval

import (
	"context"
	"time"
)

// Run calls f every interval until the context ends, and returns the error of
// the context. A call that takes longer than the interval delays the next one.
func Run(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f()
		}
	}
}
