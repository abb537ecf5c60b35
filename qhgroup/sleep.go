package qhgroup

import (
	"context"
	"time"
)

// Sleep blocks for the duration. It returns false if ctx is done before.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
