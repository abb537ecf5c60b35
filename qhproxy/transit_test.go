package qhproxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhdeadline"
	"quetzalhaven.dev/qhdialect"
	"quetzalhaven.dev/qhheader"
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

	// Guards against live calls that are lost, or run twice, because their path was delayed.
	DescribeTable("costs no caller that still waits its response", func(size int) {
		f := newFleet(GinkgoTB(), newRoute("orders", "/orders", "desk"))
		f.startNode("a", "recife-a")
		f.startNode("b", "recife-a")
		const timeout, silent = 5 * time.Second, 700 * time.Millisecond
		executions := &executionRecorder{}
		var longest atomic.Int64 // time that is handed to the target
		forwarder := f.startBehindForwarder("b", 20, func(_ http.ResponseWriter, r *http.Request) {
			executions.add(r)
			left, _, _ := qhdialect.Default().RemainingTime(r.Header)
			longest.Store(max(longest.Load(), int64(left)))
			_, _ = io.Copy(io.Discard, r.Body)
		})
		send := func(id string) callResult {
			return doCall(context.Background(), f.nodes["a"], http.MethodPost, "/orders", id, bytes.NewReader(make([]byte, size)), func(r *http.Request) {
				r.Header.Set(qhheader.Timeout, qhdeadline.Format(timeout))
			})
		}
		Expect(send("first").status).To(Equal(http.StatusOK))
		longest.Store(0)
		forwarder.Pause()
		resume := time.AfterFunc(silent, forwarder.Resume)
		defer resume.Stop()
		var callers sync.WaitGroup
		for i := range 20 {
			callers.Go(func() {
				defer GinkgoRecover()
				Expect(send(fmt.Sprint("live-", i)).status).To(Equal(http.StatusOK))
			})
		}
		callers.Wait()
		for i := range 20 {
			Expect(executions.count(fmt.Sprint("live-", i))).To(Equal(1))
		}
		Expect(time.Duration(longest.Load())).To(BeNumerically("<=", timeout-silent+100*time.Millisecond))
	},
		Entry("without a body", 0),
		Entry("with a small body", 4<<10),
		Entry("with a body that is streamed", 200<<10),
	)
})
