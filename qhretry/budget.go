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
}

// NewBudget returns a full budget where repeats are percent of first attempts.
func NewBudget(percent qhid.Percent) *Budget {
	budget := &Budget{percent: int64(percent)}
	if percent > 0 {
		budget.tokens.Store(burstTokens)
	}
	return budget
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	if b.tokens.Load() < burstTokens { // may overshoot by the deposits under way
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
	services sync.Map // of qhid.Service to *Budget
}

// NewBudgets returns budgets of percent each.
func NewBudgets(percent qhid.Percent) *Budgets { return &Budgets{percent: percent} }

// Of returns the budget of a service of the configuration.
func (b *Budgets) Of(service qhid.Service) *Budget {
	if budget, ok := b.services.Load(service); ok {
		return budget.(*Budget)
	}
	budget, _ := b.services.LoadOrStore(service, NewBudget(b.percent))
	return budget.(*Budget)
}
