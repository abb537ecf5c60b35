package qhfeed

import (
	"context"
	"math/rand/v2"
	"time"

	"quetzalhaven.dev/qhgroup"
)

// minBackoff and maxBackoff bound the mean of the random backoff after a failed write.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// retryBackoff is a random backoff whose mean doubles with each wait, from
// minBackoff to maxBackoff.
type retryBackoff struct{ mean time.Duration }

func newRetryBackoff() *retryBackoff { return &retryBackoff{mean: minBackoff} }

func (b *retryBackoff) reset() { b.mean = minBackoff }

// wait sleeps for a random time between half and one and a half times the mean.
func (b *retryBackoff) wait(ctx context.Context) {
	mean := b.mean
	b.mean = min(2*b.mean, maxBackoff)
	qhgroup.Sleep(ctx, mean/2+rand.N(mean))
}
