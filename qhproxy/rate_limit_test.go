package qhproxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// The bound on the calls of a target that names a rate limit: within rateWindow it
// gets rateTolerance times what the limit allows, and rateSlack more.
const (
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
)

// limitedTarget is a target that names a rate limit in its responses.
type limitedTarget struct {
	rate     qhid.CallsPerSecond
	mu       sync.Mutex
	arrivals []time.Time
}

func (t *limitedTarget) serve(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	t.mu.Unlock()
	w.Header().Set(qhheader.RateLimit, strconv.FormatFloat(float64(t.rate), 'f', -1, 64))
	time.Sleep(10 * time.Millisecond)
	_, _ = io.WriteString(w, "whole")
}

// maxInWindow returns the most calls that arrived within a window.
func (t *limitedTarget) maxInWindow(window time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for i, start := range t.arrivals {
		end, _ := slices.BinarySearchFunc(t.arrivals, start.Add(window), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

func (t *limitedTarget) allowed() int {
	return int(rateTolerance*float64(t.rate)*rateWindow.Seconds()) + rateSlack
}

// load sends calls to the nodes in turn at a steady rate for a time, and returns the
// results.
func load(nodes []*node, path string, rate int, duration time.Duration) []callResult {
	var mu sync.Mutex
	var results []callResult
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range int(duration.Seconds() * float64(rate)) {
		<-ticker.C
		calls.Go(func() {
			result := doCall(context.Background(), nodes[i%len(nodes)], "GET", path, fmt.Sprint("r", i), nil)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
	}
	calls.Wait()
	return results
}

var _ = Describe("a target that names a rate limit", func() {
	const callRate = 100
	route := newRoute("urns", "/urns", "booking", func(r *qhconfig.Route) {
		r.LatencyObjective, r.Timeout = qhconfig.Duration(300*time.Millisecond), qhconfig.Duration(time.Second)
	})

	It("gets no more calls of all nodes together than it allows, and the others are answered elsewhere", func() {
		f := newFleet(GinkgoTB(), route)
		nodes := []*node{f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a"), f.startNode("c", "kigali-a")}
		limited := &limitedTarget{rate: 5}
		f.startTarget("t1", "booking", "a", 9, limited.serve)
		f.startTarget("t2", "booking", "b", 9, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, "whole")
		})
		for _, result := range load(nodes, "/urns", callRate, rateWindow+time.Second) {
			Expect(result.body).To(Equal("whole"))
		}
		Expect(limited.maxInWindow(rateWindow)).To(BeNumerically("<=", limited.allowed()))
	})

	DescribeTable("and is the only one gets as many calls as it allows, and the others are refused as not executed", func(rate qhid.CallsPerSecond) {
		f := newFleet(GinkgoTB(), route)
		nodes := []*node{f.startNode("a", "kigali-a"), f.startNode("b", "kigali-b")}
		limited := &limitedTarget{rate: rate}
		f.startTarget("t1", "booking", "a", 9, limited.serve)
		for _, result := range load(nodes, "/urns", callRate, rateWindow+time.Second) {
			if result.body == "whole" {
				continue
			}
			Expect(result.status).To(Equal(http.StatusServiceUnavailable))
			Expect(result.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
			Expect(result.header.Get(qhheader.RetryAfter)).NotTo(BeEmpty())
		}
		Expect(limited.maxInWindow(rateWindow)).To(BeNumerically("<=", limited.allowed()))
	}, Entry("of 12.5 a second", qhid.CallsPerSecond(12.5)), Entry("below 1 a second", qhid.CallsPerSecond(0.5)))

	It("gets no more calls although its node has restarted and forgotten the limit", func() {
		f := newFleet(GinkgoTB(), route)
		a, b := f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")
		limited := &limitedTarget{rate: 1}
		server := f.startTarget("t1", "booking", "b", 9, limited.serve)
		Expect(doCall(context.Background(), a, "GET", "/urns", "first", nil).body).To(Equal("whole"))
		b.guards.Remove("t1")
		b.guards.Put(qhguard.TargetInfo{ID: "t1", Service: "booking", Address: qhid.Address(server.Listener.Addr().String()), Slots: 9, State: qhmember.Up})
		var calls sync.WaitGroup
		for i := range 9 {
			calls.Go(func() { doCall(context.Background(), a, "GET", "/urns", fmt.Sprint("r", i), nil) })
		}
		calls.Wait()
		Expect(limited.maxInWindow(time.Second)).To(BeNumerically("<=", 3)) // the first one, one at once and one after a second
	})
})
