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

// chainDepth is how many services call each other in a row.
const chainDepth = 8

// newChain starts services that call each other in a row, each with four
// targets. Every call to the last one fails with the chance, in hundredths, and
// what fails is broken off on every level, which is the worst that a chain can
// do. It returns the runs of the last service.
func newChain(t testing.TB, budget qhid.Percent, chance int) (*fleet, *atomic.Int64) {
	var routes []qhconfig.Route
	for level := 1; level <= chainDepth; level++ {
		name := fmt.Sprint("s", level)
		routes = append(routes, route(qhid.Route(name), "/"+name, qhid.Service(name), func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe }))
	}
	f := newFleet(t, routes...)
	f.settings.RetryBudget = budget
	leaf := &atomic.Int64{}
	for _, id := range []qhid.Node{"a", "b"} {
		n := f.node(id, "kigali-a")
		for level := 1; level <= chainDepth; level++ {
			serve := func(_ http.ResponseWriter, r *http.Request) {
				if level == chainDepth {
					leaf.Add(1)
					if rand.IntN(100) < chance {
						panic(http.ErrAbortHandler)
					}
					return
				}
				got := do(r.Context(), n, "GET", fmt.Sprint("/s", level+1), r.Header.Get(qhheader.RequestID), nil)
				if got.err != nil || got.status != http.StatusOK {
					panic(http.ErrAbortHandler)
				}
			}
			for i := range 2 {
				f.target(qhid.Target(fmt.Sprint(id, level, i)), qhid.Service(fmt.Sprint("s", level)), id, 100, serve)
			}
		}
	}
	return f, leaf
}

// run sends calls through the chain, eight at a time, and returns how many were
// answered.
func (f *fleet) run(calls int) int {
	var all sync.WaitGroup
	var answered atomic.Int64
	for worker := range 8 {
		all.Go(func() {
			for i := worker; i < calls; i += 8 {
				if do(context.Background(), f.nodes["a"], "GET", "/s1", fmt.Sprint(i), nil).status == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	all.Wait()
	return int(answered.Load())
}

// mostRuns is the bound of the last service's runs: each level adds its budget
// and, once, the burst of each of the two nodes.
func mostRuns(calls int, budget qhid.Percent) float64 {
	runs := float64(calls)
	for range chainDepth {
		runs = runs*(1+float64(budget)/100) + 2*10
	}
	return math.Ceil(runs)
}

var _ = Describe("repeats", func() {
	It("of calls eight deep grow the work by no more than the budgets allow", func() {
		const calls, budget = 200, 10
		f, leaf := newChain(GinkgoTB(), budget, 100)
		Expect(f.run(calls)).To(BeZero())
		AddReportEntry("runs", fmt.Sprintf("%d of at most %v", leaf.Load(), mostRuns(calls, budget)))
		Expect(float64(leaf.Load())).To(BeNumerically("<=", mostRuns(calls, budget)))
		Expect(leaf.Load()).To(BeNumerically(">", calls)) // repeats did happen
	})
})

// BenchmarkTargets measures the work that repeats add, and the calls that are
// answered, when a part of a service's ten targets break every call off.
func BenchmarkTargets(b *testing.B) {
	for _, failing := range []int{1, 5, 10} {
		for _, budget := range []qhid.Percent{0, 10, 20, 100} {
			b.Run(fmt.Sprintf("failing=%d/budget=%d", failing, budget), func(b *testing.B) {
				f := newFleet(b, route("s1", "/s1", "s1", func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe }))
				f.settings.RetryBudget = budget
				f.node("a", "kigali-a")
				f.node("b", "kigali-a")
				var runs atomic.Int64
				for i := range 10 {
					f.target(qhid.Target(fmt.Sprint("t", i)), "s1", []qhid.Node{"a", "b"}[i%2], 100, func(http.ResponseWriter, *http.Request) {
						runs.Add(1)
						if i < failing {
							panic(http.ErrAbortHandler)
						}
					})
				}
				b.ResetTimer()
				answered := f.run(b.N)
				b.ReportMetric(float64(runs.Load())/float64(b.N), "runs/call")
				b.ReportMetric(100*float64(answered)/float64(b.N), "answered-percent")
			})
		}
	}
}

// BenchmarkChain measures the work that repeats add when a part of the calls to
// the last of eight services fails. A budget of 100 in 100 is the naive way,
// which repeats each failed call once.
func BenchmarkChain(b *testing.B) {
	for _, chance := range []int{10, 50, 100} {
		for _, budget := range []qhid.Percent{0, 10, 20, 100} {
			b.Run(fmt.Sprintf("fail=%d/budget=%d", chance, budget), func(b *testing.B) {
				f, leaf := newChain(b, budget, chance)
				b.ResetTimer()
				answered := f.run(b.N)
				b.ReportMetric(float64(leaf.Load())/float64(b.N), "runs/call")
				b.ReportMetric(100*float64(answered)/float64(b.N), "answered-percent")
			})
		}
	}
}
