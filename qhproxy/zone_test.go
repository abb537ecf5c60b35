package qhproxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhforward"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

var _ = Describe("an availability zone", func() {
	ctx := context.Background()
	respond := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

	It("that is partitioned keeps serving with its own targets", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		a := f.startNode("a", "kigali-a")
		f.startNode("b", "kigali-b")
		f.startTarget("t1", "booking", "a", 9, respond)
		unresponsive := unresponsiveListener(GinkgoTB()) // accepts connections and forwards nothing
		for _, id := range []qhid.Target{"t2", "t3"} {
			f.announceTarget(id, "booking", "b", 9, "127.0.0.1:1").CallAddress = qhid.Address(unresponsive.Addr().String())
		}
		for range 50 {
			Expect(doCall(ctx, a, "GET", "/urns", "r", nil).body).To(Equal("whole"))
		}
	})

	It("fails only the calls on an unresponsive connection, and their outcome is reported as unknown", func() {
		f := newFleet(GinkgoTB(),
			newRoute("never", "/never", "desk"),
			newRoute("safe", "/safe", "booking", func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe }))
		a, b := f.startNode("a", "kigali-a"), f.startNode("b", "kigali-b")
		link, closeLink, err := qhforward.New(ctx, qhid.Address(b.forwardedCalls.Listener.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeLink)
		slow := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			respond(w, r)
		}
		f.startTarget("t1", "booking", "b", 9, slow)
		f.startTarget("t2", "booking", "b", 9, slow)
		f.startTarget("t3", "desk", "b", 9, respond)
		f.view.Load().Services["booking"][1].CallAddress = link.Address()
		f.view.Load().Services["desk"][0].CallAddress = link.Address()
		Expect(doCall(ctx, a, "GET", "/never", "warm", nil).body).To(Equal("whole"))
		link.Blackhole()
		outcomes := make(map[string]int)
		var mu sync.Mutex
		var callers sync.WaitGroup
		for _, path := range []string{"/never", "/safe"} {
			for range 8 { // fewer than the burst of a retry budget
				callers.Go(func() {
					got := doCall(ctx, a, "GET", path, "r", nil)
					mu.Lock()
					defer mu.Unlock()
					outcomes[path+" "+got.header.Get(qhheader.Outcome)+got.body[:min(5, len(got.body))]]++
				})
			}
		}
		callers.Wait()
		Expect(outcomes["/safe whole"]).To(Equal(8))
		Expect(outcomes["/never unknownquetz"]).To(BeNumerically(">", 0))
		Expect(outcomes["/never unknownquetz"] + outcomes["/never whole"]).To(Equal(8)) // the other calls used new connections
	})

	It("whose node is unresponsive gets no calls, and callers are served by other nodes", func() {
		f := newFleet(GinkgoTB(), newRoute("never", "/never", "desk"))
		a, b := f.startNode("a", "kigali-a"), f.startNode("b", "kigali-b")
		link, closeLink, err := qhforward.New(ctx, qhid.Address(b.forwardedCalls.Listener.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeLink)
		executions := &executionRecorder{}
		f.startTarget("t1", "desk", "b", 9, respond)
		f.startTarget("t2", "desk", "b", 9, func(_ http.ResponseWriter, r *http.Request) { executions.add(r) })
		f.view.Load().Services["desk"][1].CallAddress = link.Address()
		f.view.Load().Services["desk"][0].Stats.InFlight.Store(1) // so that the unresponsive one is chosen first
		link.Pause()
		for i := range 8 {
			Expect(doCall(ctx, a, "GET", "/never", fmt.Sprint(i), nil).body).To(Equal("whole"))
		}
		Expect(a.proxy.counters.retries.Get()).To(BeNumerically(">", 0))
		link.Resume()
		for i := range 8 {
			Consistently(func() int { return executions.count(fmt.Sprint(i)) }).WithTimeout(50 * time.Millisecond).Should(BeZero())
		}
	})

	It("spills calls of its full targets over to another zone before refusing them", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		a := f.startNode("a", "kigali-a")
		f.startNode("b", "kigali-b")
		release := make(chan struct{})
		f.startTarget("t1", "booking", "a", 5, func(w http.ResponseWriter, r *http.Request) {
			<-release
			respond(w, r)
		})
		f.startTarget("t2", "booking", "b", 5, respond)
		var pending []<-chan callResult
		for running := range 4 {
			pending = append(pending, f.startCall(a, "/urns", "held"))
			Eventually(func() int { return a.guards.Get("t1").Load().Running }).WithTimeout(20 * time.Second).Should(Equal(running + 1))
		}
		Expect(doCall(ctx, a, "GET", "/urns", "spilt", nil).body).To(Equal("whole"))
		Expect(a.decisions.Find("spilt")).To(ContainElement(And(HaveField("Reason", qhdecision.SpillOver), HaveField("Target", qhid.Target("t2")))))
		close(release)
		for _, answer := range pending {
			Expect((<-answer).body).To(Equal("whole"))
		}
	})

	It("sends no calls to retired and leaving targets", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		a := f.startNode("a", "kigali-a")
		executions := &executionRecorder{}
		count := func(_ http.ResponseWriter, r *http.Request) { executions.add(r) }
		f.startTarget("t1", "booking", "a", 9, count)
		f.startTarget("t2", "booking", "a", 9, count)
		f.snapshot.Load().Services["booking"].Retired = []qhid.Target{"t1"}
		f.view.Load().Services["booking"][1].State = qhmember.Leaving
		got := doCall(ctx, a, "GET", "/urns", "r1", nil)
		Expect(got.header.Get(qhheader.Reason)).To(Equal(string(qhdecision.NoTarget)))
		Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
		Expect(executions.count("r1")).To(BeZero())
	})
})
