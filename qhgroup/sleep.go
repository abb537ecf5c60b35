package qhgroup

import (
	"context"
	"time"
)

// Sleep waits and tells whether the time passed before ctx ended.
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
