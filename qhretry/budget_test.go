package qhretry

import (
	"testing"

	"pgregory.net/rapid"

	"quetzalhaven.dev/qhid"
	_ "quetzalhaven.dev/qhsuite" // sets a fixed seed for rapid
)

// TestBudgetBoundsRetries draws first attempts and retries, and checks that
// retries never exceed the share of first attempts plus the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(r, "percent")
		budget := NewBudgets(qhid.Percent(percent)).ForService("booking")
		firstAttempts, retries := 0, 0
		for _, isFirst := range rapid.SliceOf(rapid.Bool()).Draw(r, "attempts") {
			if isFirst {
				budget.Deposit()
				firstAttempts++
			} else if budget.TryWithdraw() {
				retries++
			}
			if maxBurst := min(percent, 1) * maxBurstTokens; retries*tokensPerRetry > firstAttempts*percent+maxBurst {
				r.Fatalf("%d retries for %d first attempts at a budget of %d%%", retries, firstAttempts, percent)
			}
		}
	})
}

// TestSharedBudgetsBoundRetriesOfAllNodes draws calls and retries on all nodes
// and checks the bound on their sum.
func TestSharedBudgetsBoundRetriesOfAllNodes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const ratio, slack = 0.2, 60.0
		nodes := rapid.IntRange(1, 100).Draw(r, "nodes")
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = NewSharedBudgets(ratio, slack, func() int { return nodes }).ForService("booking")
		}
		firstAttempts, retries := 0, 0
		for _, node := range rapid.SliceOfN(rapid.IntRange(0, nodes-1), 0, 2000).Draw(r, "calls") {
			budgets[node].Deposit()
			firstAttempts++
			for budgets[node].TryWithdraw() {
				retries++
			}
		}
		if float64(retries) > ratio*float64(firstAttempts)+slack {
			r.Fatalf("%d retries for %d calls on %d nodes", retries, firstAttempts, nodes)
		}
	})
}
