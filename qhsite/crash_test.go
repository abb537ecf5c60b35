package qhsite_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsite"
)

// kill kills the nodes without a graceful shutdown.
func kill(nodes ...*qhsite.Node) {
	GinkgoHelper()
	for _, node := range nodes {
		Expect(node.Kill()).To(Succeed())
	}
}

// restart starts nodes whose processes have exited.
func restart(nodes ...*qhsite.Node) {
	GinkgoHelper()
	for _, node := range nodes {
		Expect(node.Start()).To(Succeed())
	}
}

var _ = Describe("Nodes that are killed at the same time", func() {
	It("restart with the newest version, which the other nodes put in force meanwhile", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		crashed := f.inZones("kigali-a", "kigali-b")
		kill(crashed...)
		f.applyIntents(ctx, "3-shift.jsonc", f.except(crashed...))
		start := time.Now()
		restart(crashed...)
		f.waitVersion(ctx, start, crashed)
		f.applyIntents(ctx, "4-retire.jsonc", f.Nodes)
		Expect(f.WaitMembers(ctx)).To(Succeed())
		f.expectResponses(ctx, http.MethodGet, "/slots/today")
	}, SpecTimeout(specTimeout))

	It("restart with the newest version if all nodes were killed", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		kill(f.Nodes...)
		start := time.Now()
		restart(f.Nodes...)
		f.waitVersion(ctx, start, f.Nodes)
		Expect(f.WaitMembers(ctx)).To(Succeed())
		f.expectResponses(ctx, http.MethodGet, "/slots/today")
	}, SpecTimeout(specTimeout))
})

var _ = Describe("A platform fault", func() {
	It("leaves the nodes serving while the platform is down, and a restarted node gets the newest version from its peers", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		Expect(f.SetPlatformFaults(ctx, qhplatform.Faults{Down: true})).To(Succeed())
		node := f.inZones("kigali-b")[1]
		kill(node)
		start := time.Now()
		restart(node)
		f.waitVersion(ctx, start, []*qhsite.Node{node})
		versions, err := node.AppliedVersions()
		Expect(err).NotTo(HaveOccurred())
		last := versions[len(versions)-1]
		Expect(last.Previous).To(BeZero(), "the first version after the restart is the newest: %v", versions)
		f.expectResponses(ctx, http.MethodGet, "/slots/today")
		Expect(f.SetPlatformFaults(ctx, qhplatform.Faults{})).To(Succeed())
		f.applyIntents(ctx, "3-shift.jsonc", f.Nodes)
	}, SpecTimeout(specTimeout))

	It("that delays every call does not prevent a change from coming in force", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		Expect(f.SetPlatformFaults(ctx, qhplatform.Faults{Delay: platformDelay})).To(Succeed())
		f.applyIntents(ctx, "3-shift.jsonc", f.Nodes)
		f.expectResponses(ctx, http.MethodGet, "/slots/today")
	}, SpecTimeout(specTimeout))
})

// expectResponses waits until a call through every node returns status 200.
func (f *fleet) expectResponses(ctx SpecContext, method, path string) {
	GinkgoHelper()
	for _, node := range f.Nodes {
		Eventually(func() (int, error) {
			response, err := node.Call(ctx, method, path, nil, "")
			return response.Status, err
		}, eventTimeout).Should(Equal(http.StatusOK), "through %s", node.Settings.ID)
	}
}
