package qhplan_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplan"
	"quetzalhaven.dev/qhplatform"
)

var _ = Describe("Prune", func() {
	It("deletes only the plans made from old versions", func(ctx SpecContext) {
		f := newFixture(nil)
		f.confirmFirstVersion(ctx)
		var plans []qhplan.Plan
		for i := range 13 {
			plan := f.plan(ctx, "step", fmt.Sprintf(`{"do": "limit", "service": "desk", "slots": %d}`, i+1))
			plans = append(plans, plan)
			Expect(f.Confirm(ctx, plan.ID, "amara")).To(HaveField("Version", qhid.Version(i+2)))
		}
		Expect(f.Prune(ctx, 4)).To(Equal(qhplan.PruneResult{Plans: 10}))
		for _, plan := range plans {
			_, err := f.Get(ctx, plan.ID)
			Expect(qherr.Is(err, qherr.NotFound)).To(Equal(plan.Base < 10), string(plan.ID))
		}
		Expect(f.Prune(ctx, 4)).To(Equal(qhplan.PruneResult{}))
		Expect(f.ExplainVersion(ctx, 5)).To(HaveField("Plan", BeNil()))
	})

	It("completes on the next run if responses of the platform were lost", func(ctx SpecContext) {
		f := newFixture(nil)
		f.confirmFirstVersion(ctx)
		for i := range 4 {
			plan := f.plan(ctx, "step", fmt.Sprintf(`{"do": "limit", "service": "desk", "slots": %d}`, i+1))
			Expect(f.Confirm(ctx, plan.ID, "amara")).To(HaveField("Version", qhid.Version(i+2)))
		}
		f.platform.SetFaults(qhplatform.Faults{LostResponses: 1, Prefix: "plan/"})
		Expect(f.Prune(ctx, 1)).To(Equal(qhplan.PruneResult{Plans: 3, NotDeleted: 1}))
		f.platform.SetFaults(qhplatform.Faults{})
		Expect(f.Prune(ctx, 1)).To(Equal(qhplan.PruneResult{}))
	})
})
