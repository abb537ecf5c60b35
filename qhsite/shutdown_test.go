package qhsite_test

import (
	"context"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsite"
)

// callsPerPhase is the number of successful calls between two steps of a test.
const callsPerPhase = 200

// slowTargets makes each call take 20 ms, so that calls are in flight at any time.
func slowTargets(options *qhsite.Options) { options.TargetArgs = []string{"--time", "20ms"} }

var _ = Describe("Graceful shutdown of a node under load", func() {
	It("cancels no in-flight call: every executed call gets a complete response", func(ctx SpecContext) {
		f := newServingFleet(ctx, slowTargets)
		stopping := f.target("arrangements-1").Node
		load := startLoad(ctx, f.Nodes, certificates)
		load.waitCalls(callsPerPhase)
		Expect(stopping.Terminate()).To(Succeed())
		Eventually(stopping.Done(), eventTimeout).Should(BeClosed())
		Expect(stopping.ExitStatus()).To(BeZero())
		load.waitCalls(callsPerPhase)
		calls := load.finish()
		executions, _ := f.executions(ctx)
		expectIntactResponses(calls)
		expectAtMostOnce(calls, executions)
		for _, c := range calls {
			if !c.ok() {
				Expect(executions[c.id]).To(BeZero(), "executed, but its caller received no successful response: %s", c)
			}
		}
	}, SpecTimeout(specTimeout))
})

var _ = Describe("A planned stop while calls of any length are in flight", func() {
	const grace = 3 * time.Second

	// Guards against calls that are taken late in a stop, sent to a target and then cut.
	DescribeTable("cuts no call that was sent late in it", func(ctx SpecContext, targets []qhid.Target, disrupt func(ctx context.Context, f *fleet, stopping []*qhsite.Node)) {
		f := newServingFleet(ctx, slowTargets)
		var stopping []*qhsite.Node
		for _, id := range targets {
			node := f.target(id).Node
			kill(node)
			node.Settings.Calls.ShutdownTimeout, node.Settings.Calls.ShutdownDelay = qhconfig.Duration(grace), qhconfig.Duration(grace)
			Expect(node.WriteSettings()).To(Succeed())
			restart(node)
			stopping = append(stopping, node)
		}
		Expect(f.WaitMembers(ctx)).To(Succeed())
		load := startLoad(ctx, stopping, certificates)
		load.waitCalls(callsPerPhase)
		for _, id := range targets {
			Expect(f.target(id).SetFaults(ctx, qhsite.TargetFaults{RemainingCalls: 2, Hang: true})).To(Succeed())
		}
		load.waitCalls(callsPerPhase) // some hang now
		begun := time.Now()
		for _, node := range stopping {
			Expect(node.Terminate()).To(Succeed())
		}
		if disrupt != nil {
			disrupt(ctx, f, stopping)
		}
		for _, node := range stopping {
			Eventually(node.Done(), time.Until(begun.Add(grace))).Should(BeClosed(), "the platform would kill it")
			Expect(node.ExitStatus()).To(BeZero())
		}
		calls := load.finish()
		executions, _ := f.executions(ctx)
		expectIntactResponses(calls)
		expectAtMostOnce(calls, executions)
		refused := 0
		for _, c := range calls {
			if c.notExecuted() {
				refused++
				Expect(executions[c.id]).To(BeZero(), "%s", c)
			}
			if sentAfter := c.sent.Sub(begun); sentAfter > grace/2 && executions[c.id] > 0 {
				Expect(c.ok()).To(BeTrue(), "sent %s after the start of the stop, executed and cut: %s", sentAfter, c)
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
	},
		Entry("of one node", SpecTimeout(specTimeout), []qhid.Target{"arrangements-1"}, nil),
		Entry("of two nodes", SpecTimeout(specTimeout), []qhid.Target{"arrangements-1", "arrangements-2"}, nil),
		Entry("that gets more signals and new settings", SpecTimeout(specTimeout), []qhid.Target{"arrangements-1"}, func(_ context.Context, _ *fleet, stopping []*qhsite.Node) {
			node := stopping[0]
			node.Settings.Calls.ShutdownTimeout = qhconfig.Duration(10 * grace)
			Expect(node.WriteSettings()).To(Succeed())
			for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
				Expect(syscall.Kill(node.PID, signal)).To(Succeed())
			}
		}),
		Entry("while the platform is away", SpecTimeout(specTimeout), []qhid.Target{"arrangements-1"}, func(ctx context.Context, f *fleet, _ []*qhsite.Node) {
			Expect(f.SetPlatformFaults(ctx, qhplatform.Faults{Hang: true})).To(Succeed())
		}),
	)

	It("ends in time during the start of the node", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		node := f.target("arrangements-1").Node
		kill(node)
		node.Settings.Calls.ShutdownTimeout = qhconfig.Duration(grace)
		Expect(node.WriteSettings()).To(Succeed())
		for _, delay := range []time.Duration{0, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
			restart(node)
			time.Sleep(delay)
			Expect(node.Terminate()).To(Succeed())
			Eventually(node.Done(), grace).Should(BeClosed(), "stopped %s after its start", delay)
			Expect(node.ExitStatus()).To(BeElementOf(0, -1)) // -1 before it handles signals
		}
	}, SpecTimeout(specTimeout))
})

var _ = Describe("A rolling restart under load", func() {
	It("cancels no in-flight call on any node", func(ctx SpecContext) {
		f := newServingFleet(ctx, slowTargets)
		load := startLoad(ctx, f.Nodes, certificates)
		load.waitCalls(callsPerPhase)
		for _, node := range f.Nodes {
			Expect(node.Terminate()).To(Succeed())
			Eventually(node.Done(), eventTimeout).Should(BeClosed())
			Expect(node.ExitStatus()).To(BeZero(), "%s", node.Settings.ID)
			restart(node)
			load.waitCalls(callerCount)
		}
		Expect(f.WaitMembers(ctx)).To(Succeed())
		load.waitCalls(callsPerPhase)
		calls := load.finish()
		executions, _ := f.executions(ctx)
		expectIntactResponses(calls)
		expectAtMostOnce(calls, executions)
		for _, c := range calls {
			if !c.ok() {
				Expect(executions[c.id]).To(BeZero(), "executed, but its caller received no successful response: %s", c)
			}
		}
	}, SpecTimeout(specTimeout))
})

var _ = Describe("A target that leaves or is retired", func() {
	// expectNoNewCalls waits until callsPerPhase calls succeed without a new one at
	// the target.
	expectNoNewCalls := func(ctx SpecContext, target *qhsite.Target, load *loadGenerator) {
		GinkgoHelper()
		Eventually(func(g Gomega) {
			before, err := target.Record(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			load.waitCalls(callsPerPhase)
			after, err := target.Record(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(after.Executed).To(Equal(before.Executed))
		}, eventTimeout).Should(Succeed())
	}

	It("gets no new calls after it announces the state leaving, and its in-flight calls finish", func(ctx SpecContext) {
		f := newServingFleet(ctx, slowTargets)
		load := startLoad(ctx, f.Nodes, certificates)
		load.waitCalls(callsPerPhase)
		leaving := f.target("arrangements-2")
		Expect(leaving.Leave(ctx)).To(Succeed())
		expectNoNewCalls(ctx, leaving, load)
		calls := load.finish()
		executions, _ := f.executions(ctx)
		expectIntactResponses(calls)
		expectAtMostOnce(calls, executions)
	}, SpecTimeout(specTimeout))

	It("gets no new calls after its responses say that it is leaving, whatever it announces", func(ctx SpecContext) {
		f := newServingFleet(ctx, slowTargets)
		load := startLoad(ctx, f.Nodes, certificates)
		load.waitCalls(callsPerPhase)
		leaving := f.target("arrangements-2")
		Expect(leaving.SetFaults(ctx, qhsite.TargetFaults{SayLeaving: true})).To(Succeed())
		expectNoNewCalls(ctx, leaving, load)
		before, err := leaving.Record(ctx)
		Expect(err).NotTo(HaveOccurred())
		kill(leaving.Node)
		restart(leaving.Node) // it has forgotten what the target said, the others have not
		load.waitCalls(callsPerPhase)
		after, err := leaving.Record(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Executed - before.Executed).To(BeNumerically("<=", callerCount)) // those of the restarted node's own callers
		expectNoNewCalls(ctx, leaving, load)
		Expect(leaving.SetFaults(ctx, qhsite.TargetFaults{})).To(Succeed())
		Expect(leaving.Kill()).To(Succeed())
		Expect(leaving.Start()).To(Succeed())
		Eventually(func(g Gomega) {
			load.waitCalls(callsPerPhase)
			record, err := leaving.Record(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(record.Executed).To(BeNumerically(">", 0))
		}, eventTimeout).Should(Succeed())
		expectIntactResponses(load.finish())
	}, SpecTimeout(specTimeout))

	It("gets no new calls after an operator retires it", func(ctx SpecContext) {
		f := newServingFleet(ctx, slowTargets)
		load := startLoad(ctx, f.Nodes, lookups)
		load.waitCalls(callsPerPhase)
		f.applyIntents(ctx, "3-shift.jsonc", f.Nodes)
		f.applyIntents(ctx, "4-retire.jsonc", f.Nodes)
		expectNoNewCalls(ctx, f.target("booking-1"), load)
		expectIntactResponses(load.finish())
	}, SpecTimeout(specTimeout))
})

var _ = Describe("Calls that must not be executed twice", func() {
	It("are executed at most once while nodes are killed and restarted", func(ctx SpecContext) {
		f := newServingFleet(ctx, slowTargets)
		load := startLoad(ctx, f.Nodes, certificates)
		for _, victim := range []string{"arrangements-1", "arrangements-2", "arrangements-3"} {
			load.waitCalls(callsPerPhase)
			for _, target := range f.Targets {
				if string(target.ID) == victim {
					kill(target.Node)
					load.waitCalls(callsPerPhase)
					restart(target.Node)
				}
			}
		}
		load.waitCalls(callsPerPhase)
		calls := load.finish()
		executions, _ := f.executions(ctx)
		expectIntactResponses(calls)
		expectAtMostOnce(calls, executions)
	}, SpecTimeout(specTimeout))

	It("are executed at most once while a node is paused past the callers' deadlines and resumed", func(ctx SpecContext) {
		f := newServingFleet(ctx, slowTargets)
		paused := f.target("arrangements-2").Node
		others := f.except(paused)
		load := startLoad(ctx, others, certificates)
		load.waitCalls(callsPerPhase)
		Expect(paused.Pause()).To(Succeed())
		DeferCleanup(paused.Resume)
		// Calls that the paused node has accepted wait for it; other calls are routed
		// to other nodes.
		load.waitCalls(callsPerPhase)
		Eventually(func(g Gomega) {
			for _, node := range others {
				nodes, _, err := node.KnownMembers(ctx)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(nodes).To(Equal(len(others)))
			}
		}, eventTimeout).Should(Succeed())
		load.waitCalls(callsPerPhase)
		Expect(paused.Resume()).To(Succeed())
		Expect(f.WaitMembers(ctx)).To(Succeed())
		load.waitCalls(callsPerPhase)
		calls := load.finish()
		executions, _ := f.executions(ctx)
		expectIntactResponses(calls)
		expectAtMostOnce(calls, executions)
	}, SpecTimeout(specTimeout))

	It("are executed once per idempotency key while callers retry and a node is killed", func(ctx SpecContext) {
		f := newServingFleet(ctx, slowTargets)
		load := startLoad(ctx, f.Nodes, deposits)
		victim := f.target("arrangements-1").Node
		for range 2 {
			load.waitCalls(callsPerPhase)
			kill(victim)
			load.waitCalls(callsPerPhase)
			restart(victim)
		}
		load.waitCalls(callsPerPhase)
		calls := load.finish()
		_, keys := f.executions(ctx)
		Expect(keys).NotTo(BeEmpty())
		for key, count := range keys {
			Expect(count).To(Equal(1), "key %s", key)
		}
		expectIntactResponses(calls)
	}, SpecTimeout(specTimeout))
})
