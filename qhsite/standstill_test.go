package qhsite_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhsite"
)

var _ = Describe("A node that stood still", func() {
	const (
		standstill = 2 * time.Second
		patience   = 290 * time.Millisecond
		// maxRunAfterLeaving is how long after its caller has left a call may begin to run.
		maxRunAfterLeaving = 500 * time.Millisecond
	)

	// Guards against calls that wait in the sockets of a node and run after their callers have left.
	DescribeTable("runs no call whose caller has left", func(ctx SpecContext, callersOf func(f *fleet, still *qhsite.Node) []*qhsite.Node) {
		f := newServingFleet(ctx, slowTargets)
		still := f.target("arrangements-1").Node
		load := startLoad(ctx, callersOf(f, still), traffic{method: certificates.method, path: certificates.path, deadline: patience})
		load.waitCalls(callsPerPhase)
		Expect(still.Pause()).To(Succeed())
		time.Sleep(standstill)
		before, _ := f.executions(ctx)
		resumed := time.Now()
		Expect(still.Resume()).To(Succeed())
		load.waitCalls(callsPerPhase)
		calls := load.finish()
		after, _ := f.executions(ctx)
		left := 0
		for _, c := range calls {
			if c.err == nil || c.sent.Add(patience+maxRunAfterLeaving).After(resumed) {
				continue
			}
			left++
			Expect(after[c.id]).To(Equal(before[c.id]), "ran after its caller had left: %s", c)
		}
		Expect(left).To(BeNumerically(">", 0))
	},
		Entry("and gets calls from other nodes", SpecTimeout(specTimeout), func(f *fleet, still *qhsite.Node) []*qhsite.Node { return f.except(still) }),
		Entry("and gets calls from its callers", SpecTimeout(specTimeout), func(_ *fleet, still *qhsite.Node) []*qhsite.Node { return []*qhsite.Node{still} }),
	)
})
