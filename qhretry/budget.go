// Package qhretry bounds how often calls are sent again.
package qhretry

import (
	"sync"
	"sync/atomic"

	"quetzalhaven.dev/qhid"
)

// The token bucket of a budget, in hundredths of a repeat.
const (
	repeatTokens = 100
	// burstTokens bounds what is saved up for bursts.
	burstTokens = 10 * repeatTokens
)

// Budget is a token bucket: every first attempt puts a share of a token in, and
// every repeat takes a whole one out.
type Budget struct {
	tokens  atomic.Int64
	percent int64
	// burst returns the most that is saved up.
	burst func() int64
}

// NewBudget returns a full budget where repeats are percent of first attempts.
func NewBudget(percent qhid.Percent) *Budget {
	return newBudget(percent, func() int64 { return burstTokens })
}

func newBudget(percent qhid.Percent, burst func() int64) *Budget {
	budget := &Budget{percent: int64(percent), burst: burst}
	if percent > 0 {
		budget.tokens.Store(burst())
	}
	return budget
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	if b.tokens.Load() < b.burst() { // may overshoot by the deposits under way
		b.tokens.Add(b.percent)
	}
}

// Withdraw tells whether a repeat may be sent, and counts it.
func (b *Budget) Withdraw() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < repeatTokens {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-repeatTokens) {
			return true
		}
	}
}

// Budgets has a budget for each service, so that one that fails does not use up
// the repeats of the others.
type Budgets struct {
	percent  qhid.Percent
	burst    func() int64
	services sync.Map // of qhid.Service to *Budget
}

// NewBudgets returns budgets of percent each.
func NewBudgets(percent qhid.Percent) *Budgets {
	return &Budgets{percent: percent, burst: func() int64 { return burstTokens }}
}

// safetyShare is the part of a bound for all nodes that they use by themselves:
// a repeated call makes the calls of its target again, which no node can count.
const safetyShare = 0.5

// NewSharedBudgets returns the part of one node in budgets that all nodes share: in any
// window, repeats of a service are at most ratio times its calls plus slack.
// nodes returns how many nodes share it.
func NewSharedBudgets(ratio, slack float64, nodes func() int) *Budgets {
	return &Budgets{
		percent: qhid.Percent(max(1, safetyShare*ratio*repeatTokens)),
		burst:   func() int64 { return int64(safetyShare * slack * repeatTokens / float64(max(nodes(), 1))) },
	}
}

// ForService returns the budget of a service of the configuration.
func (b *Budgets) ForService(service qhid.Service) *Budget {
	if budget, ok := b.services.Load(service); ok {
		return budget.(*Budget)
	}
	budget, _ := b.services.LoadOrStore(service, newBudget(b.percent, b.burst))
	return budget.(*Budget)
}
