package qhproxy

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The delay of forwarded calls", func() {
	It("on their way is counted apart from the time for which the target's node holds them", func() {
		f := newFleet(GinkgoTB(), newRoute("orders", "/orders", "desk"))
		f.startNode("a", "recife-a")
		target := f.startNode("b", "recife-a").proxy.counters
		free := make(chan struct{})
		forwarder := f.startBehindForwarder("b", 1, func(_ http.ResponseWriter, _ *http.Request) { <-free })
		call := func(id string) <-chan int {
			status := make(chan int, 1)
			f.nodes["a"].proxy.group.Go(func(context.Context) {
				status <- doCall(context.Background(), f.nodes["a"], http.MethodPost, "/orders", id, nil).status
			})
			return status
		}
		over := func(d *durations) uint64 { return d.upTo(durationBuckets-1) - d.upTo(18) } // of 0.26 s

		first := call("first")
		Eventually(func() uint64 { return target.forwardedHeld.upTo(durationBuckets - 1) }).Should(BeEquivalentTo(1))
		second := call("second") // waits for the slot
		time.Sleep(400 * time.Millisecond)
		close(free)
		Expect([]int{<-first, <-second}).To(Equal([]int{http.StatusOK, http.StatusOK}))
		Expect(fmt.Sprint("age ", over(target.forwardedAge), ", held ", over(target.forwardedHeld))).To(Equal("age 0, held 1"))

		forwarder.Pause()
		third := call("third")
		time.Sleep(400 * time.Millisecond)
		forwarder.Resume()
		Expect(<-third).To(Equal(http.StatusOK))
		Expect(fmt.Sprint("age ", over(target.forwardedAge), ", held ", over(target.forwardedHeld))).To(Equal("age 1, held 1"))
	})
})
