package qhsite_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhsite"
)

// someCalls is how many calls a load makes between two steps of a test.
const someCalls = 200

// taking makes calls take a while, so that some are in flight at any time.
func taking(options *qhsite.Options) { options.Target = []string{"--time", "20ms"} }

var _ = Describe("A planned stop of a node under load", func() {
	It("cuts no call in flight: what ran was answered whole", func(ctx SpecContext) {
		f := newServingFleet(ctx, taking)
		leaving := f.target("arrangements-1").Node
		load := startLoad(ctx, f.Nodes, certificates)
		load.waitMore(someCalls)
		Expect(leaving.Terminate()).To(Succeed())
		Eventually(leaving.Done(), patience).Should(BeClosed())
		Expect(leaving.Status()).To(BeZero())
		load.waitMore(someCalls)
		calls := load.end()
		runs, _ := f.records(ctx)
		expectWhole(calls)
		expectOnce(calls, runs)
		for _, c := range calls {
			if !c.ok() {
				Expect(runs[c.id]).To(BeZero(), "it ran and its caller has no answer: %s", c)
			}
		}
	}, SpecTimeout(hang))
})

var _ = Describe("An upgrade by rolling restart under load", func() {
	It("cuts no call in flight on any node", func(ctx SpecContext) {
		f := newServingFleet(ctx, taking)
		load := startLoad(ctx, f.Nodes, certificates)
		load.waitMore(someCalls)
		for _, node := range f.Nodes {
			Expect(node.Terminate()).To(Succeed())
			Eventually(node.Done(), patience).Should(BeClosed())
			Expect(node.Status()).To(BeZero(), "%s", node.Settings.ID)
			restart(node)
			load.waitMore(callers)
		}
		Expect(f.WaitMembers(ctx)).To(Succeed())
		load.waitMore(someCalls)
		calls := load.end()
		runs, _ := f.records(ctx)
		expectWhole(calls)
		expectOnce(calls, runs)
		for _, c := range calls {
			if !c.ok() {
				Expect(runs[c.id]).To(BeZero(), "it ran and its caller has no answer: %s", c)
			}
		}
	}, SpecTimeout(hang))
})

var _ = Describe("A target that leaves", func() {
	// expectNoMore waits until the target gets no work while others do.
	expectNoMore := func(ctx SpecContext, target *qhsite.Target, load *load) {
		GinkgoHelper()
		Eventually(func(g Gomega) {
			before, err := target.Record(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			load.waitMore(someCalls)
			after, err := target.Record(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(after.Ran).To(Equal(before.Ran))
		}, patience).Should(Succeed())
	}

	It("gets no new work once it drains, and its calls end", func(ctx SpecContext) {
		f := newServingFleet(ctx, taking)
		load := startLoad(ctx, f.Nodes, certificates)
		load.waitMore(someCalls)
		leaving := f.target("arrangements-2")
		Expect(leaving.Drain(ctx)).To(Succeed())
		expectNoMore(ctx, leaving, load)
		calls := load.end()
		runs, _ := f.records(ctx)
		expectWhole(calls)
		expectOnce(calls, runs)
	}, SpecTimeout(hang))

	It("gets no new work once an operator retires it", func(ctx SpecContext) {
		f := newServingFleet(ctx, taking)
		load := startLoad(ctx, f.Nodes, lookups)
		load.waitMore(someCalls)
		f.change(ctx, "3-shift.jsonc", f.Nodes)
		f.change(ctx, "4-retire.jsonc", f.Nodes)
		expectNoMore(ctx, f.target("booking-1"), load)
		expectWhole(load.end())
	}, SpecTimeout(hang))
})

var _ = Describe("Calls that may not be repeated", func() {
	It("run at most once while nodes are killed and come back", func(ctx SpecContext) {
		f := newServingFleet(ctx, taking)
		load := startLoad(ctx, f.Nodes, certificates)
		for _, victim := range []string{"arrangements-1", "arrangements-2", "arrangements-3"} {
			load.waitMore(someCalls)
			for _, target := range f.Targets {
				if string(target.ID) == victim {
					kill(target.Node)
					load.waitMore(someCalls)
					restart(target.Node)
				}
			}
		}
		load.waitMore(someCalls)
		calls := load.end()
		runs, _ := f.records(ctx)
		expectWhole(calls)
		expectOnce(calls, runs)
	}, SpecTimeout(hang))

	It("run at most once while a node is paused past the callers' deadlines and goes on", func(ctx SpecContext) {
		f := newServingFleet(ctx, taking)
		paused := f.target("arrangements-2").Node
		rest := f.others(paused)
		load := startLoad(ctx, rest, certificates)
		load.waitMore(someCalls)
		Expect(paused.Freeze()).To(Succeed())
		DeferCleanup(paused.Thaw)
		// Calls that the paused node has taken wait for it; others go elsewhere.
		load.waitMore(someCalls)
		Eventually(func(g Gomega) {
			for _, node := range rest {
				nodes, _, err := node.Reach(ctx)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(nodes).To(Equal(len(rest)))
			}
		}, patience).Should(Succeed())
		load.waitMore(someCalls)
		Expect(paused.Thaw()).To(Succeed())
		Expect(f.WaitMembers(ctx)).To(Succeed())
		load.waitMore(someCalls)
		calls := load.end()
		runs, _ := f.records(ctx)
		expectWhole(calls)
		expectOnce(calls, runs)
	}, SpecTimeout(hang))

	It("run at most once for a key that callers repeat while nodes are killed", func(ctx SpecContext) {
		f := newServingFleet(ctx, taking)
		load := startLoad(ctx, f.Nodes, deposits)
		victim := f.target("arrangements-1").Node
		for range 2 {
			load.waitMore(someCalls)
			kill(victim)
			load.waitMore(someCalls)
			restart(victim)
		}
		load.waitMore(someCalls)
		calls := load.end()
		_, keys := f.records(ctx)
		Expect(keys).NotTo(BeEmpty())
		for key, runs := range keys {
			Expect(runs).To(Equal(1), "key %s", key)
		}
		expectWhole(calls)
	}, SpecTimeout(hang))
})
