// Package ctxtime provides functions of package time that a context can cancel.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for a duration. If ctx ends first, it returns the error of ctx.
func Sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
