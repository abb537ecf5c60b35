// Package qhretry implements retry budgets, which bound the retries to a share
// of the first attempts.
package qhretry

import (
	"sync"
	"sync/atomic"

	"quetzalhaven.dev/qhid"
)

const (
	// tokensPerRetry is the price of a retry, so that a percentage is a whole
	// number of tokens.
	tokensPerRetry = 100
	// maxBurstTokens is the capacity of a bucket, which bounds bursts of
	// retries.
	maxBurstTokens = 10 * tokensPerRetry
)

// Budget is a token bucket: each first attempt deposits a fraction of the
// tokens that a retry withdraws. It is safe for concurrent use.
type Budget struct {
	tokens  atomic.Int64
	percent int64
	// maxTokens returns the capacity of the bucket.
	maxTokens func() int64
}

// NewBudget returns a full budget that allows retries for percent of the first
// attempts.
func NewBudget(percent qhid.Percent) *Budget {
	return newBudget(percent, func() int64 { return maxBurstTokens })
}

func newBudget(percent qhid.Percent, maxTokens func() int64) *Budget {
	budget := &Budget{percent: int64(percent), maxTokens: maxTokens}
	if percent > 0 {
		budget.tokens.Store(maxTokens())
	}
	return budget
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	if b.tokens.Load() < b.maxTokens() { // concurrent deposits may exceed the limit slightly
		b.tokens.Add(b.percent)
	}
}

// TryWithdraw withdraws the tokens of one retry, or returns false if too few are
// left; then the retry must not be sent.
func (b *Budget) TryWithdraw() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokensPerRetry) {
			return true
		}
	}
}

// Budgets holds a separate budget for each service, so that a failing service
// does not use up the retries of others.
type Budgets struct {
	percent   qhid.Percent
	maxTokens func() int64
	services  sync.Map // of qhid.Service to *Budget
}

// NewBudgets returns budgets that allow retries for percent of the first attempts
// of each service.
func NewBudgets(percent qhid.Percent) *Budgets {
	return &Budgets{percent: percent, maxTokens: func() int64 { return maxBurstTokens }}
}

// safetyFactor is the part of the bound for all nodes that their retries use
// up. The rest is reserved for downstream calls: a retried call makes its
// target repeat its own calls, which no node can count.
const safetyFactor = 0.5

// NewSharedBudgets returns one node's part of retry budgets that all nodes share.
// In any window, the retries of a service on all nodes are at most ratio times
// its calls plus slack. nodes returns the number of nodes that share the budgets.
func NewSharedBudgets(ratio, slack float64, nodes func() int) *Budgets {
	return &Budgets{
		percent:   qhid.Percent(max(1, safetyFactor*ratio*tokensPerRetry)),
		maxTokens: func() int64 { return int64(safetyFactor * slack * tokensPerRetry / float64(max(nodes(), 1))) },
	}
}

// ForService returns the budget of a service.
func (b *Budgets) ForService(service qhid.Service) *Budget {
	if budget, ok := b.services.Load(service); ok {
		return budget.(*Budget)
	}
	budget, _ := b.services.LoadOrStore(service, newBudget(b.percent, b.maxTokens))
	return budget.(*Budget)
}
