package qhsite_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsite"
)

func kill(nodes ...*qhsite.Node) {
	GinkgoHelper()
	for _, node := range nodes {
		Expect(node.Kill()).To(Succeed())
	}
}

func restart(nodes ...*qhsite.Node) {
	GinkgoHelper()
	for _, node := range nodes {
		Expect(node.Start()).To(Succeed())
	}
}

var _ = Describe("Processes that die in herds", func() {
	It("come back to the newest version, which the rest took without them", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		herd := f.in("kigali-a", "kigali-b")
		kill(herd...)
		f.change(ctx, "3-shift.jsonc", f.others(herd...))
		start := time.Now()
		restart(herd...)
		f.waitHeld(ctx, start, herd)
		f.change(ctx, "4-retire.jsonc", f.Nodes)
		Expect(f.WaitMembers(ctx)).To(Succeed())
		f.expectAnswers(ctx, http.MethodGet, "/slots/today")
	}, SpecTimeout(hang))

	It("come back to the newest version when all die at once", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		kill(f.Nodes...)
		start := time.Now()
		restart(f.Nodes...)
		f.waitHeld(ctx, start, f.Nodes)
		Expect(f.WaitMembers(ctx)).To(Succeed())
		f.expectAnswers(ctx, http.MethodGet, "/slots/today")
	}, SpecTimeout(hang))
})

var _ = Describe("A platform that is out", func() {
	It("leaves nodes serving, and a restarted node gets the newest version from peers", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		Expect(f.SetFaults(ctx, qhplatform.Faults{Down: true})).To(Succeed())
		node := f.in("kigali-b")[1]
		kill(node)
		start := time.Now()
		restart(node)
		f.waitHeld(ctx, start, []*qhsite.Node{node})
		held, err := node.Held()
		Expect(err).NotTo(HaveOccurred())
		last := held[len(held)-1]
		Expect(last.Before).To(BeZero(), "the first version after the restart is the newest: %v", held)
		f.expectAnswers(ctx, http.MethodGet, "/slots/today")
		Expect(f.SetFaults(ctx, qhplatform.Faults{})).To(Succeed())
		f.change(ctx, "3-shift.jsonc", f.Nodes)
	}, SpecTimeout(hang))

	It("is slow, and a change still comes in force", func(ctx SpecContext) {
		f := newServingFleet(ctx)
		Expect(f.SetFaults(ctx, qhplatform.Faults{Delay: slow})).To(Succeed())
		f.change(ctx, "3-shift.jsonc", f.Nodes)
		f.expectAnswers(ctx, http.MethodGet, "/slots/today")
	}, SpecTimeout(hang))
})

// expectAnswers waits until a call through every node is answered.
func (f *fleet) expectAnswers(ctx SpecContext, method, path string) {
	GinkgoHelper()
	for _, node := range f.Nodes {
		Eventually(func() (int, error) {
			answer, err := node.Call(ctx, method, path, nil, "")
			return answer.Status, err
		}, patience).Should(Equal(http.StatusOK), "through %s", node.Settings.ID)
	}
}
