package qhsite_test

import (
	"net/http"
	"os/exec"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgolden"
	"quetzalhaven.dev/qhplatform"
)

var _ = Describe("The whole path", func() {
	It("plans, confirms, comes in force and carries a call between availability zones", func(ctx SpecContext) {
		f := newFleet(ctx)
		plan := f.plan(ctx, "1-first.jsonc")
		for _, node := range f.Nodes {
			Expect(node.Held()).To(BeEmpty(), "a plan alone changes nothing")
		}
		start := time.Now()
		Expect(f.Confirm(ctx, plan)).To(Succeed())
		f.version++
		_, err := f.Done(ctx, "status", "--wait")
		Expect(err).NotTo(HaveOccurred())
		f.waitHeld(ctx, start, f.Nodes)
		f.change(ctx, "3-shift.jsonc", f.Nodes)
		// Nodes of kigali-c have no target of booking-next beside them.
		caller := f.in("kigali-c")[0]
		Eventually(func(g Gomega) string {
			answer, err := caller.Call(ctx, http.MethodGet, "/slots/today", nil, "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.Status).To(Equal(http.StatusOK), answer.Body)
			return answer.Body
		}, patience).Should(ContainSubstring(`"service":"booking-next"`))
	}, SpecTimeout(hang))

	It("changes nothing and says so when a plan is confirmed while the platform is down", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		plan := f.plan(ctx, "3-shift.jsonc")
		Expect(f.SetFaults(ctx, qhplatform.Faults{Down: true})).To(Succeed())
		result, err := f.Ctl(ctx, "confirm", string(plan))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(qherr.StatusFailed), result.Err)
		Expect(result.Out).To(BeEmpty())
		Expect(strings.ReplaceAll(result.Err, string(plan), "PLAN")).To(qhgolden.Match("testdata/platform-down.golden"))
		Expect(f.SetFaults(ctx, qhplatform.Faults{})).To(Succeed())
		history, err := f.Done(ctx, "history")
		Expect(err).NotTo(HaveOccurred())
		Expect(history.Out).NotTo(ContainSubstring(string(plan)))
		for _, node := range f.Nodes {
			Expect(node.Version(ctx)).To(Equal(f.version))
		}
	}, SpecTimeout(hang))

	DescribeTable("refuses bad settings with one line and status 2",
		func(command, name string) {
			cmd := exec.Command(programs.Node, command, "--settings", name+".jsonc")
			cmd.Dir = "testdata"
			out, err := cmd.CombinedOutput()
			Expect(err).To(HaveOccurred())
			Expect(cmd.ProcessState.ExitCode()).To(Equal(int(qherr.StatusUsage)), string(out))
			Expect(string(out)).To(qhgolden.Match("testdata/" + name + ".golden"))
		},
		Entry("a value out of bounds", "run", "bad-fanout"),
		Entry("a key that is not a setting", "run", "bad-key"),
		Entry("the same, only checked", "check", "bad-key"),
		Entry("no such file", "check", "absent"),
	)
})
