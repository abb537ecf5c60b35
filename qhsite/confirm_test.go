package qhsite_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsite"
)

// platformDelay is the delay of each call to a slow platform.
const platformDelay = qhconfig.Duration(300 * time.Millisecond)

var _ = Describe("qhctl confirm", func() {
	It("creates one version when the response to the write of the head is lost", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		Expect(f.SetPlatformFaults(ctx, qhplatform.Faults{LostResponses: 1, Prefix: "head"})).To(Succeed())
		plan := f.plan(ctx, "3-shift.jsonc")
		start := time.Now()
		Expect(f.Confirm(ctx, plan)).To(Succeed())
		f.version++
		f.waitVersion(ctx, start, f.Nodes)
		result, err := f.Ctl(ctx, "confirm", string(plan))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(qherr.StatusOK), "a second confirm must change nothing: %s", result.Stderr)
		f.applyIntents(ctx, "4-retire.jsonc", f.Nodes)
		for _, node := range f.Nodes {
			Expect(node.Version(ctx)).To(Equal(f.version), "each plan must create one version")
		}
	}, SpecTimeout(specTimeout))

	It("succeeds for one of two operators who confirm conflicting plans at the same time", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		plans := []qhid.Plan{f.plan(ctx, "3-shift.jsonc"), f.plan(ctx, "3-shift.jsonc")}
		Expect(plans[0]).NotTo(Equal(plans[1]))
		results := make([]qhsite.CommandResult, len(plans))
		var wg sync.WaitGroup
		group, stop := qhgroup.New(ctx)
		defer stop()
		for i, plan := range plans {
			wg.Add(1)
			group.Go(func(context.Context) {
				defer wg.Done()
				defer GinkgoRecover()
				var err error
				results[i], err = f.Ctl(ctx, "confirm", string(plan))
				Expect(err).NotTo(HaveOccurred())
			})
		}
		wg.Wait()
		statuses := []qherr.ExitStatus{results[0].Status, results[1].Status}
		Expect(statuses).To(ConsistOf(qherr.StatusOK, qherr.StatusRefused), "%v", results)
		f.version++
		f.waitVersion(ctx, time.Time{}, f.Nodes)
		for _, node := range f.Nodes {
			Expect(node.Version(ctx)).To(Equal(f.version))
		}
	}, SpecTimeout(specTimeout))
})
