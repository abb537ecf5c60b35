package qhproxy

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

// chainDepth is the number of services in the call chain.
const chainDepth = 8

// newChain starts a chain of services that call each other, each with four
// targets. The last service aborts failPercent of its calls, and every service
// above it aborts the call that failed, so that each level may retry: the worst
// case of a chain. It returns the number of calls that reached the last
// service.
func newChain(t testing.TB, budget qhid.Percent, failPercent int) (*fleet, *atomic.Int64) {
	var routes []qhconfig.Route
	for level := 1; level <= chainDepth; level++ {
		name := fmt.Sprint("s", level)
		routes = append(routes, newRoute(qhid.Route(name), "/"+name, qhid.Service(name), func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe }))
	}
	f := newFleet(t, routes...)
	f.settings.RetryBudget = budget
	leafExecutions := &atomic.Int64{}
	for _, id := range []qhid.Node{"a", "b"} {
		n := f.startNode(id, "kigali-a")
		for level := 1; level <= chainDepth; level++ {
			serve := func(_ http.ResponseWriter, r *http.Request) {
				if level == chainDepth {
					leafExecutions.Add(1)
					if rand.IntN(100) < failPercent {
						panic(http.ErrAbortHandler)
					}
					return
				}
				got := doCall(r.Context(), n, "GET", fmt.Sprint("/s", level+1), r.Header.Get(qhheader.RequestID), nil)
				if got.err != nil || got.status != http.StatusOK {
					panic(http.ErrAbortHandler)
				}
			}
			for i := range 2 {
				f.startTarget(qhid.Target(fmt.Sprint(id, level, i)), qhid.Service(fmt.Sprint("s", level)), id, 100, serve)
			}
		}
	}
	return f, leafExecutions
}

// runCalls sends calls through the chain, eight at a time, and returns how many
// succeeded.
func (f *fleet) runCalls(calls int) int {
	var wg sync.WaitGroup
	var answered atomic.Int64
	for worker := range 8 {
		wg.Go(func() {
			for i := worker; i < calls; i += 8 {
				if doCall(context.Background(), f.nodes["a"], "GET", "/s1", fmt.Sprint(i), nil).status == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return int(answered.Load())
}

// maxLeafExecutions returns the bound on the calls of the last service: each
// level adds its retry budget and, once, the burst of each of the two nodes.
func maxLeafExecutions(calls int, budget qhid.Percent) float64 {
	executions := float64(calls)
	for range chainDepth {
		executions = executions*(1+float64(budget)/100) + 2*10
	}
	return math.Ceil(executions)
}

var _ = Describe("retries", func() {
	It("in a chain of eight services multiply calls no further than the retry budgets allow", func() {
		const calls, budget = 200, 10
		f, leafExecutions := newChain(GinkgoTB(), budget, 100)
		Expect(f.runCalls(calls)).To(BeZero())
		AddReportEntry("executions of the last service", fmt.Sprintf("%d of at most %v", leafExecutions.Load(), maxLeafExecutions(calls, budget)))
		Expect(float64(leafExecutions.Load())).To(BeNumerically("<=", maxLeafExecutions(calls, budget)))
		Expect(leafExecutions.Load()).To(BeNumerically(">", calls)) // retries happened
	})
})

// BenchmarkTargets measures the calls that retries add, and the calls that
// succeed, when some of a service's ten targets abort every call.
func BenchmarkTargets(b *testing.B) {
	for _, failing := range []int{1, 5, 10} {
		for _, budget := range []qhid.Percent{0, 10, 20, 100} {
			b.Run(fmt.Sprintf("failing=%d/budget=%d", failing, budget), func(b *testing.B) {
				f := newFleet(b, newRoute("s1", "/s1", "s1", func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe }))
				f.settings.RetryBudget = budget
				f.startNode("a", "kigali-a")
				f.startNode("b", "kigali-a")
				var runs atomic.Int64
				for i := range 10 {
					f.startTarget(qhid.Target(fmt.Sprint("t", i)), "s1", []qhid.Node{"a", "b"}[i%2], 100, func(http.ResponseWriter, *http.Request) {
						runs.Add(1)
						if i < failing {
							panic(http.ErrAbortHandler)
						}
					})
				}
				b.ResetTimer()
				answered := f.runCalls(b.N)
				b.ReportMetric(float64(runs.Load())/float64(b.N), "runs/call")
				b.ReportMetric(100*float64(answered)/float64(b.N), "answered-percent")
			})
		}
	}
}

// BenchmarkChain measures the calls that retries add when a share of the calls
// to the last of eight services fails. A budget of 100 percent retries each
// failed call once, like a client without a budget.
func BenchmarkChain(b *testing.B) {
	for _, failPercent := range []int{10, 50, 100} {
		for _, budget := range []qhid.Percent{0, 10, 20, 100} {
			b.Run(fmt.Sprintf("fail=%d/budget=%d", failPercent, budget), func(b *testing.B) {
				f, leafExecutions := newChain(b, budget, failPercent)
				b.ResetTimer()
				answered := f.runCalls(b.N)
				b.ReportMetric(float64(leafExecutions.Load())/float64(b.N), "runs/call")
				b.ReportMetric(100*float64(answered)/float64(b.N), "answered-percent")
			})
		}
	}
}
