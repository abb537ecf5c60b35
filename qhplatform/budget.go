package qhplatform

import "sync"

const (
	// maxRetries is how many retries may follow each other without an answer.
	maxRetries = 10
	// retryShare is the part of a retry that each answered call earns.
	retryShare = 0.1
)

// budget bounds retries to a share of the calls that are answered, so that a
// platform that is slow or down is not called more often than by first tries.
type budget struct {
	mu sync.Mutex
	// left is how many retries may be made, from 0 to maxRetries.
	left float64
}

func newBudget() *budget { return &budget{left: maxRetries} }

// answered earns a share of a retry.
func (b *budget) answered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(maxRetries, b.left+retryShare)
}

// retry tells whether a retry may be made, and takes it.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
