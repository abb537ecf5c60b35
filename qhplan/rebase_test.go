package qhplan

import (
	"testing"

	"pgregory.net/rapid"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhsample"
)

// drawEdit returns a valid configuration that differs from base in one or two
// entries, so that two edits conflict in some runs and not in others.
func drawEdit(t *rapid.T, base qhconfig.Config, label string) qhconfig.Config {
	next := base.Canonical()
	for range rapid.IntRange(1, 2).Draw(t, label+" edits") {
		i := rapid.IntRange(0, len(next.Services)-1).Draw(t, label+" service")
		if len(next.Routes) == 0 || rapid.Bool().Draw(t, label+" edits a service") {
			next.Services[i].Slots += rapid.IntRange(1, 3).Draw(t, label+" slots")
			continue
		}
		route := rapid.IntRange(0, len(next.Routes)-1).Draw(t, label+" route")
		next.Routes[route].Shares = []qhconfig.Share{{Service: next.Services[i].Name, Percent: 100}}
	}
	return next
}

func planFor(author string, base, next qhconfig.Config) Plan {
	return Plan{ID: "p1-000000000001", Base: 1, Author: author, Diff: qhconfig.Compare(base, next)}
}

func TestRebaseIsSymmetricAndKeepsBothChanges(t *testing.T) {
	rebased, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		base := qhsample.DrawConfig(t, "base")
		first, second := drawEdit(t, base, "first"), drawEdit(t, base, "second")
		firstPlan, secondPlan := planFor("first", base, first), planFor("second", base, second)
		rebasedSecond, err := secondPlan.rebase(base, first, 2)
		rebasedFirst, rebasedFirstErr := firstPlan.rebase(base, second, 2)
		if (err == nil) != (rebasedFirstErr == nil) {
			t.Fatalf("only one of the two orders is refused: %v, %v", err, rebasedFirstErr)
		}
		if err != nil {
			refused++
			if !qherr.Is(err, qherr.Conflict) {
				t.Fatalf("%v is not of kind Conflict", err)
			}
			return
		}
		rebased++
		if rebasedSecond.Digest() != rebasedFirst.Digest() {
			t.Fatalf("the result depends on the order of two plans that do not conflict")
		}
		for _, diff := range []qhconfig.Diff{firstPlan.Diff, secondPlan.Diff} {
			if diff.Merge(rebasedSecond).Digest() != rebasedSecond.Digest() {
				t.Fatalf("the result lacks a part of a plan")
			}
		}
		expectSharedServicesKept(t, rebasedSecond, first, firstPlan.Diff)
		expectSharedServicesKept(t, rebasedSecond, second, secondPlan.Diff)
	})
	if rebased == 0 || refused == 0 {
		t.Fatalf("%d rebased and %d refused: the test has to cover both", rebased, refused)
	}
}

// expectSharedServicesKept fails if a service that a plan's routes send calls to
// differs from the one that the operator reviewed.
func expectSharedServicesKept(t *rapid.T, result, reviewed qhconfig.Config, diff qhconfig.Diff) {
	for _, route := range diff.Routes {
		for _, share := range route.Shares {
			if !result.FindService(share.Service).Equal(reviewed.FindService(share.Service)) {
				t.Fatalf("route %s sends calls to service %s, which changed after the plan was made", route.Name, share.Service)
			}
		}
	}
}
