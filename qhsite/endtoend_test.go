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

var _ = Describe("End to end", func() {
	It("plans and confirms a version, puts it in force and routes a call to another availability zone", func(ctx SpecContext) {
		f := newFleet(ctx)
		plan := f.plan(ctx, "1-first.jsonc")
		for _, node := range f.Nodes {
			Expect(node.AppliedVersions()).To(BeEmpty(), "a plan must not change the configuration in force")
		}
		start := time.Now()
		Expect(f.Confirm(ctx, plan)).To(Succeed())
		f.version++
		_, err := f.CtlChecked(ctx, "status", "--wait")
		Expect(err).NotTo(HaveOccurred())
		f.waitVersion(ctx, start, f.Nodes)
		f.applyIntents(ctx, "3-shift.jsonc", f.Nodes)
		// The nodes of kigali-c have no local target of booking-next.
		caller := f.inZones("kigali-c")[0]
		Eventually(func(g Gomega) string {
			response, err := caller.Call(ctx, http.MethodGet, "/slots/today", nil, "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Status).To(Equal(http.StatusOK), response.Body)
			return response.Body
		}, eventTimeout).Should(ContainSubstring(`"service":"booking-next"`))
	}, SpecTimeout(specTimeout))

	It("changes nothing and reports it when a plan is confirmed while the platform is down", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		plan := f.plan(ctx, "3-shift.jsonc")
		Expect(f.SetPlatformFaults(ctx, qhplatform.Faults{Down: true})).To(Succeed())
		result, err := f.Ctl(ctx, "confirm", string(plan))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(qherr.StatusFailed), result.Stderr)
		Expect(result.Stdout).To(BeEmpty())
		Expect(strings.ReplaceAll(result.Stderr, string(plan), "PLAN")).To(qhgolden.Match("testdata/platform-down.golden"))
		Expect(f.SetPlatformFaults(ctx, qhplatform.Faults{})).To(Succeed())
		history, err := f.CtlChecked(ctx, "history")
		Expect(err).NotTo(HaveOccurred())
		Expect(history.Stdout).NotTo(ContainSubstring(string(plan)))
		for _, node := range f.Nodes {
			Expect(node.Version(ctx)).To(Equal(f.version))
		}
	}, SpecTimeout(specTimeout))

	DescribeTable("refuses invalid settings with a one-line error and exit status 2",
		func(command, name string) {
			cmd := exec.Command(programs.Node, command, "--settings", name+".jsonc")
			cmd.Dir = "testdata"
			out, err := cmd.CombinedOutput()
			Expect(err).To(HaveOccurred())
			Expect(cmd.ProcessState.ExitCode()).To(Equal(int(qherr.StatusUsage)), string(out))
			Expect(string(out)).To(qhgolden.Match("testdata/" + name + ".golden"))
		},
		Entry("a value out of range", "run", "bad-fanout"),
		Entry("a key that is not a setting", "run", "bad-key"),
		Entry("a key that is not a setting, with the check command", "check", "bad-key"),
		Entry("a settings file that does not exist", "check", "absent"),
	)
})
