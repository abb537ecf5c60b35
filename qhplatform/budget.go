package qhplatform

import "sync"

const (
	// maxRetryBalance is the number of retries that the budget allows without any
	// answered call in between.
	maxRetryBalance = 10
	// retryRatio is the share of a retry that each answered call earns.
	retryRatio = 0.1
)

// retryBudget limits retries to a share of the answered calls, so that a platform
// that is slow or down gets few calls besides first attempts.
type retryBudget struct {
	mu sync.Mutex
	// balance is the number of retries left, from 0 to maxRetryBalance.
	balance float64
}

func newRetryBudget() *retryBudget { return &retryBudget{balance: maxRetryBalance} }

// deposit adds what an answered call earns.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxRetryBalance, b.balance+retryRatio)
}

// tryWithdraw takes one retry from the budget, or returns false if none is left.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
