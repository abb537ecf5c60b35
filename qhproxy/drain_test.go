package qhproxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

var _ = Describe("Drain", func() {
	ctx := context.Background()

	It("cancels no call at the shutdown of a node under load", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		a, b := f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")
		echo := func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			time.Sleep(5 * time.Millisecond)
			_, _ = w.Write(body)
		}
		f.startTarget("t1", "booking", "a", 9, echo)
		f.startTarget("t2", "booking", "b", 9, echo)
		var stop atomic.Bool
		var answers, refusals atomic.Int64
		var callers sync.WaitGroup
		for caller := range 12 {
			callers.Go(func() {
				defer GinkgoRecover()
				for i := 0; !stop.Load(); i++ {
					entry, id := a, fmt.Sprintf("%d-%d", caller, i)
					if caller%2 == 1 {
						entry = b
					}
					got := doCall(ctx, entry, "POST", "/urns", id, strings.NewReader(id))
					Expect(got.err).NotTo(HaveOccurred())
					if got.status == http.StatusOK {
						Expect(got.body).To(Equal(id))
						answers.Add(1)
						continue
					}
					Expect(entry).To(Equal(b), got.body)
					Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted), got.body)
					Expect(got.header.Get(qhheader.RetryAfter)).NotTo(BeEmpty())
					refusals.Add(1)
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
		defer callers.Wait()
		defer stop.Store(true)
		Eventually(answers.Load).WithTimeout(30 * time.Second).Should(BeNumerically(">", 100))
		Expect(b.proxy.Drain(ctx)).To(Equal(DrainResult{}))
		before := answers.Load() // the view does not show yet that b is leaving
		Eventually(answers.Load).WithTimeout(30 * time.Second).Should(BeNumerically(">", before+100))
		Expect(b.forwardedCalls.Config.Shutdown(ctx)).To(Succeed())
		before = answers.Load()
		Eventually(answers.Load).WithTimeout(30 * time.Second).Should(BeNumerically(">", before+100))
		Expect(refusals.Load()).To(BeNumerically(">", 0))
	})

	It("lets the in-flight calls of a target make calls through its node", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"), newRoute("stock", "/stock", "stock"))
		a, b := f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")
		started, release := make(chan struct{}), make(chan struct{})
		f.startTarget("s1", "stock", "a", 1, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "oak") })
		f.startTarget("t1", "booking", "b", 1, func(w http.ResponseWriter, r *http.Request) {
			close(started)
			<-release
			_, _ = io.WriteString(w, "stock: "+doCall(r.Context(), b, "GET", "/stock", "r2", nil).body)
		})
		first := f.startCall(a, "/urns", "r1")
		<-started
		drained := make(chan DrainResult, 1)
		var draining sync.WaitGroup
		draining.Go(func() { drained <- b.proxy.Drain(ctx) })
		Eventually(b.proxy.targetCalls.closed.Load).WithTimeout(20 * time.Second).Should(BeTrue())
		close(release)
		Expect((<-first).body).To(Equal("stock: oak"))
		draining.Wait()
		Expect(<-drained).To(Equal(DrainResult{}))
		Expect(doCall(ctx, b, "GET", "/stock", "r3", nil).header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
	})

	It("sends no new calls to a leaving target and lets its queued calls finish", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		a := f.startNode("a", "kigali-a")
		release := make(chan struct{})
		server := f.startTarget("t1", "booking", "a", 1, func(w http.ResponseWriter, _ *http.Request) {
			<-release
			_, _ = io.WriteString(w, "whole")
		})
		first := f.startCall(a, "/urns", "r1")
		guard := a.guards.Get("t1")
		Eventually(func() int { return guard.Load().Running }).WithTimeout(20 * time.Second).Should(Equal(1))
		queued := f.startCall(a, "/urns", "r2")
		Eventually(func() int { return guard.Load().Queued }).WithTimeout(20 * time.Second).Should(Equal(1))
		announcement := guard.Info()
		announcement.State = qhmember.Leaving
		a.guards.Put(announcement)
		got := doCall(ctx, a, "GET", "/urns", "r3", nil)
		Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
		close(release)
		Expect((<-first).body).To(Equal("whole"))
		Expect((<-queued).body).To(Equal("whole"))
		server.Close()
	})

	It("cancels the calls in flight at the end of the shutdown timeout and returns their number", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		f.settings.ShutdownTimeout = qhconfig.Duration(50 * time.Millisecond)
		a := f.startNode("a", "kigali-a")
		cancelled := make(chan struct{})
		f.startTarget("t1", "booking", "a", 1, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(cancelled)
		})
		got := f.startCall(a, "/urns", "r1")
		Eventually(func() int { return a.guards.Get("t1").Load().Running }).WithTimeout(20 * time.Second).Should(Equal(1))
		Expect(a.proxy.Drain(ctx)).To(Equal(DrainResult{Cancelled: 1}))
		cancelledCall := <-got
		Expect(cancelledCall.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeUnknown))
		Expect(cancelledCall.header.Get(qhheader.Reason)).To(Equal(string(qhdecision.ShutdownTimedOut)))
		Eventually(cancelled).WithTimeout(20 * time.Second).Should(BeClosed())
	})
})

var _ = Describe("deadlines and disconnects", func() {
	ctx := context.Background()
	timeout := func(value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(qhheader.Timeout, value) }
	}

	It("propagate the remaining time without extending it", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking", func(r *qhconfig.Route) { r.Timeout = qhconfig.Duration(5 * time.Second) }))
		a, b := f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")
		seen := make(chan string, 1)
		f.startTarget("t1", "booking", "b", 1, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get(qhheader.Timeout) })
		for timeoutValue, limit := range map[string]float64{"1.5": 1.5, "900": 5, "": 5} {
			for _, n := range []*node{a, b} {
				Expect(doCall(ctx, n, "GET", "/urns", "r", nil, timeout(timeoutValue)).status).To(Equal(http.StatusOK))
				var remaining float64
				Expect(fmt.Sscan(<-seen, &remaining)).To(Equal(1))
				Expect(remaining).To(And(BeNumerically("<", limit), BeNumerically(">", 0)))
			}
		}
		Expect(doCall(ctx, a, "GET", "/urns", "r", nil, timeout("soon")).status).To(Equal(http.StatusBadRequest))
	})

	It("end a call and cancel it at the target", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		a := f.startNode("a", "kigali-a")
		f.startNode("b", "kigali-a")
		cancelled := make(chan struct{}, 1)
		f.startTarget("t1", "booking", "b", 1, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			cancelled <- struct{}{}
		})
		got := doCall(ctx, a, "GET", "/urns", "r1", nil, timeout("0.1"))
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeUnknown))
		Eventually(cancelled).WithTimeout(20 * time.Second).Should(Receive())
	})

	It("remove a queued call whose caller disconnected", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		a := f.startNode("a", "kigali-a")
		f.startNode("b", "kigali-a")
		executions, release := &executionRecorder{}, make(chan struct{})
		f.startTarget("t1", "booking", "b", 1, func(_ http.ResponseWriter, r *http.Request) {
			executions.add(r)
			<-release
		})
		guard := f.nodes["b"].guards.Get("t1")
		first := f.startCall(a, "/urns", "r1")
		Eventually(func() int { return guard.Load().Running }).WithTimeout(20 * time.Second).Should(Equal(1))
		cancellable, cancel := context.WithCancel(ctx)
		var abandoned sync.WaitGroup
		abandoned.Go(func() { doCall(cancellable, a, "GET", "/urns", "r2", nil) })
		Eventually(func() int { return guard.Load().Queued }).WithTimeout(20 * time.Second).Should(Equal(1))
		cancel()
		abandoned.Wait()
		Eventually(func() int { return guard.Load().Queued }).WithTimeout(20 * time.Second).Should(BeZero())
		close(release)
		Expect((<-first).status).To(Equal(http.StatusOK))
		Expect(executions.count("r2")).To(BeZero())
	})

	It("end the wait for a target that does not respond, and its connection is not reused", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking", func(r *qhconfig.Route) { r.FirstByteTimeout = qhconfig.Duration(100 * time.Millisecond) }))
		a := f.startNode("a", "kigali-a")
		listener := unresponsiveListener(GinkgoTB())
		f.announceTarget("t1", "booking", "a", 9, qhid.Address(listener.Addr().String()))
		got := doCall(ctx, a, "GET", "/urns", "r1", nil)
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(got.header.Get(qhheader.Reason)).To(Equal(string(qhdecision.FirstByteTimeout)))
		Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeUnknown))
		Expect(a.guards.Get("t1").Conns().OpenConns()).To(BeZero())
	})

	It("do not delay a refusal", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		a := f.startNode("a", "kigali-a")
		release := make(chan struct{})
		f.startTarget("t1", "booking", "a", 1, func(http.ResponseWriter, *http.Request) { <-release })
		snapshot := *f.snapshot.Load()
		snapshot.Services["booking"].MaxQueue = 1
		guard := a.guards.Get("t1")
		first := f.startCall(a, "/urns", "r1")
		Eventually(func() qhguard.Load { return guard.Load() }).WithTimeout(20 * time.Second).Should(HaveField("Running", 1))
		second := f.startCall(a, "/urns", "r2")
		Eventually(func() qhguard.Load { return guard.Load() }).WithTimeout(20 * time.Second).Should(HaveField("Queued", 1))
		got := doCall(ctx, a, "GET", "/urns", "r3", nil, timeout("20")) // returns while both other calls wait
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
		Expect(got.header.Get(qhheader.RetryAfter)).To(MatchRegexp(`^[1-9]\d*$`))
		close(release)
		Expect((<-first).status).To(Equal(http.StatusOK))
		Expect((<-second).status).To(Equal(http.StatusOK))
	})
})

// startCall sends a call in the background and returns the channel for its
// result.
func (f *fleet) startCall(n *node, path, id string) <-chan callResult {
	answer := make(chan callResult, 1)
	var waiting sync.WaitGroup
	waiting.Go(func() { answer <- doCall(context.Background(), n, "GET", path, id, nil) })
	f.t.Cleanup(waiting.Wait)
	return answer
}
