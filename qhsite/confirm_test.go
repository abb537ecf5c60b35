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

// slow is the delay of a slow platform.
const slow = qhconfig.Duration(300 * time.Millisecond)

var _ = Describe("Confirming", func() {
	It("has one effect when the answer to the write of the head is lost", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		Expect(f.SetFaults(ctx, qhplatform.Faults{LostResponses: 1, Prefix: "head"})).To(Succeed())
		plan := f.plan(ctx, "3-shift.jsonc")
		start := time.Now()
		Expect(f.Confirm(ctx, plan)).To(Succeed())
		f.version++
		f.waitHeld(ctx, start, f.Nodes)
		result, err := f.Ctl(ctx, "confirm", string(plan))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(qherr.StatusOK), "a second confirm changes nothing: %s", result.Err)
		f.change(ctx, "4-retire.jsonc", f.Nodes)
		for _, node := range f.Nodes {
			Expect(node.Version(ctx)).To(Equal(f.version), "each plan made one version")
		}
	}, SpecTimeout(hang))

	It("lets one of two operators win who race with conflicting plans", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		plans := []qhid.Plan{f.plan(ctx, "3-shift.jsonc"), f.plan(ctx, "3-shift.jsonc")}
		Expect(plans[0]).NotTo(Equal(plans[1]))
		results := make([]qhsite.Result, len(plans))
		var ended sync.WaitGroup
		group, stop := qhgroup.New(ctx)
		defer stop()
		for i, plan := range plans {
			ended.Add(1)
			group.Go(func(context.Context) {
				defer ended.Done()
				defer GinkgoRecover()
				var err error
				results[i], err = f.Ctl(ctx, "confirm", string(plan))
				Expect(err).NotTo(HaveOccurred())
			})
		}
		ended.Wait()
		statuses := []qherr.ExitStatus{results[0].Status, results[1].Status}
		Expect(statuses).To(ConsistOf(qherr.StatusOK, qherr.StatusRefused), "%v", results)
		f.version++
		f.waitHeld(ctx, time.Time{}, f.Nodes)
		for _, node := range f.Nodes {
			Expect(node.Version(ctx)).To(Equal(f.version))
		}
	}, SpecTimeout(hang))
})
