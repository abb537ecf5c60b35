package qhretry

import (
	"testing"

	"pgregory.net/rapid"

	"quetzalhaven.dev/qhid"
)

// TestBudgetBoundsRepeats draws attempts and repeats and checks that the
// repeats never exceed the share of first attempts and the burst.
func TestBudgetBoundsRepeats(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(r, "percent")
		budget := NewBudgets(qhid.Percent(percent)).Of("booking")
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
