// Package ctxtime has functions of package time that end with a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for a duration, or until ctx ends: then it returns the error of ctx.
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
