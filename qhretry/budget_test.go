package qhretry

import (
	"testing"

	"pgregory.net/rapid"

	"quetzalhaven.dev/qhid"
	_ "quetzalhaven.dev/qhsuite" // fixes rapid's seed
)

// TestBudgetBoundsRepeats draws attempts and repeats and checks that the
// repeats never exceed the share of first attempts and the burst.
func TestBudgetBoundsRepeats(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(r, "percent")
		budget := NewBudgets(qhid.Percent(percent)).ForService("booking")
		firsts, repeats := 0, 0
		for _, first := range rapid.SliceOf(rapid.Bool()).Draw(r, "firsts") {
			if first {
				budget.Deposit()
				firsts++
			} else if budget.Withdraw() {
				repeats++
			}
			if burst := min(percent, 1) * burstTokens; repeats*repeatTokens > firsts*percent+burst {
				r.Fatalf("%d repeats for %d first attempts at %d in 100", repeats, firsts, percent)
			}
		}
	})
}

// TestSharedBudgetsStayWithinTheBound draws calls and repeats at all nodes and
// checks the bound of all together.
func TestSharedBudgetsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const ratio, slack = 0.2, 60.0
		nodes := rapid.IntRange(1, 100).Draw(r, "nodes")
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = NewSharedBudgets(ratio, slack, func() int { return nodes }).ForService("booking")
		}
		firsts, repeats := 0, 0
		for _, node := range rapid.SliceOfN(rapid.IntRange(0, nodes-1), 0, 2000).Draw(r, "calls") {
			budgets[node].Deposit()
			firsts++
			for budgets[node].Withdraw() {
				repeats++
			}
		}
		if float64(repeats) > ratio*float64(firsts)+slack {
			r.Fatalf("%d repeats of %d calls at %d nodes", repeats, firsts, nodes)
		}
	})
}
