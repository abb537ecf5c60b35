package qhgroup

import (
	"context"
	"time"
)

// Sleep blocks for the duration or until ctx is done. It returns false if ctx
// was done first.
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
