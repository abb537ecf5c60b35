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
	whole := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

	It("that is cut off goes on serving with its own targets", func() {
		f := newFleet(GinkgoTB(), route("urns", "/urns", "booking"))
		a := f.node("a", "kigali-a")
		f.node("b", "kigali-b")
		f.target("t1", "booking", "a", 9, whole)
		dark := silent(GinkgoTB()) // takes connections and passes nothing on
		for _, id := range []qhid.Target{"t2", "t3"} {
			f.announce(id, "booking", "b", 9, "127.0.0.1:1").CallAddress = qhid.Address(dark.Addr().String())
		}
		for range 50 {
			Expect(do(ctx, a, "GET", "/urns", "r", nil).body).To(Equal("whole"))
		}
	})

	It("loses what is on a connection that went silent, and the caller is told the truth", func() {
		f := newFleet(GinkgoTB(),
			route("never", "/never", "desk"),
			route("safe", "/safe", "booking", func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe }))
		a, b := f.node("a", "kigali-a"), f.node("b", "kigali-b")
		link, clean, err := qhforward.New(ctx, qhid.Address(b.calls.Listener.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(clean)
		slow := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			whole(w, r)
		}
		f.target("t1", "booking", "b", 9, slow)
		f.target("t2", "booking", "b", 9, slow)
		f.target("t3", "desk", "b", 9, whole)
		f.view.Load().Services["booking"][1].CallAddress = link.Address()
		f.view.Load().Services["desk"][0].CallAddress = link.Address()
		Expect(do(ctx, a, "GET", "/never", "warm", nil).body).To(Equal("whole"))
		link.Blackhole()
		seen := make(map[string]int)
		var mu sync.Mutex
		var callers sync.WaitGroup
		for _, path := range []string{"/never", "/safe"} {
			for range 8 { // fewer than a budget's burst
				callers.Go(func() {
					got := do(ctx, a, "GET", path, "r", nil)
					mu.Lock()
					defer mu.Unlock()
					seen[path+" "+got.header.Get(qhheader.Outcome)+got.body[:min(5, len(got.body))]]++
				})
			}
		}
		callers.Wait()
		Expect(seen["/safe whole"]).To(Equal(8))
		Expect(seen["/never unknownquetz"]).To(BeNumerically(">", 0))
		Expect(seen["/never unknownquetz"] + seen["/never whole"]).To(Equal(8)) // the others went over new connections
	})

	It("whose node is frozen gets no calls, and callers are served elsewhere", func() {
		f := newFleet(GinkgoTB(), route("never", "/never", "desk"))
		a, b := f.node("a", "kigali-a"), f.node("b", "kigali-b")
		link, clean, err := qhforward.New(ctx, qhid.Address(b.calls.Listener.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(clean)
		runs := &record{}
		f.target("t1", "desk", "b", 9, whole)
		f.target("t2", "desk", "b", 9, func(_ http.ResponseWriter, r *http.Request) { runs.add(r) })
		f.view.Load().Services["desk"][1].CallAddress = link.Address()
		link.Pause()
		for i := range 8 {
			Expect(do(ctx, a, "GET", "/never", fmt.Sprint(i), nil).body).To(Equal("whole"))
		}
		Expect(a.proxy.counts.repeats.Get()).To(BeNumerically(">", 0))
		link.Resume()
		for i := range 8 {
			Consistently(func() int { return runs.of(fmt.Sprint(i)) }).WithTimeout(50 * time.Millisecond).Should(BeZero())
		}
	})

	It("gives its full targets' calls to another one before they are refused", func() {
		f := newFleet(GinkgoTB(), route("urns", "/urns", "booking"))
		a := f.node("a", "kigali-a")
		f.node("b", "kigali-b")
		release := make(chan struct{})
		f.target("t1", "booking", "a", 5, func(w http.ResponseWriter, r *http.Request) {
			<-release
			whole(w, r)
		})
		f.target("t2", "booking", "b", 5, whole)
		var held []<-chan result
		for running := range 4 {
			held = append(held, f.later(a, "/urns", "held"))
			Eventually(func() int { return a.guards.Get("t1").Load().Running }).WithTimeout(20 * time.Second).Should(Equal(running + 1))
		}
		Expect(do(ctx, a, "GET", "/urns", "spilt", nil).body).To(Equal("whole"))
		Expect(a.ring.Find("spilt")).To(ContainElement(And(HaveField("Reason", qhdecision.SpillOver), HaveField("Target", qhid.Target("t2")))))
		close(release)
		for _, answer := range held {
			Expect((<-answer).body).To(Equal("whole"))
		}
	})

	It("sends nothing to retired and leaving targets", func() {
		f := newFleet(GinkgoTB(), route("urns", "/urns", "booking"))
		a := f.node("a", "kigali-a")
		runs := &record{}
		count := func(_ http.ResponseWriter, r *http.Request) { runs.add(r) }
		f.target("t1", "booking", "a", 9, count)
		f.target("t2", "booking", "a", 9, count)
		f.snapshot.Load().Services["booking"].Retired = []qhid.Target{"t1"}
		f.view.Load().Services["booking"][1].State = qhmember.Leaving
		got := do(ctx, a, "GET", "/urns", "r1", nil)
		Expect(got.header.Get(qhheader.Reason)).To(Equal(string(qhdecision.NoTarget)))
		Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
		Expect(runs.of("r1")).To(BeZero())
	})
})
