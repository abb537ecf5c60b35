package qhproxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

var _ = Describe("a route with weights", func() {
	const calls = 600
	// maxShareError is the deviation from a weight's share that operators accept.
	const maxShareError = 0.1
	var f *fleet
	var caller *node
	weighted := func(shares ...qhconfig.Share) []qhconfig.Route {
		return []qhconfig.Route{{Name: "reads", Prefix: "/reads", Shares: shares, Retry: qhconfig.RetrySafe}}
	}
	startService := func(service qhid.Service) {
		f.startTarget(qhid.Target("t-"+service), service, "a", 64, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, string(service)) })
	}
	// countCalls returns how many calls each service answered, and those refused
	// as not executed under "".
	countCalls := func() map[string]int {
		counts := make(map[string]int)
		for i := range calls {
			got := doCall(context.Background(), caller, "GET", "/reads", "r"+strconv.Itoa(i), nil)
			Expect(got.err).NotTo(HaveOccurred())
			if got.status == http.StatusServiceUnavailable {
				Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
				got.body = ""
			}
			counts[got.body]++
		}
		return counts
	}
	expectShare := func(counts map[string]int, service string, share float64) {
		Expect(float64(counts[service])/calls).To(BeNumerically("~", share, maxShareError), service)
	}
	BeforeEach(func() {
		f = newFleet(GinkgoTB())
		caller = f.startNode("a", "pl-a")
		startService("old")
		startService("next")
		f.setRoutes(weighted(qhconfig.Share{Service: "next", Weight: 10}, qhconfig.Share{Service: "old", Weight: 90}))
	})

	It("sends each service its share, also after a change of the weights", func() {
		counts := countCalls()
		expectShare(counts, "next", 0.1)
		expectShare(counts, "old", 0.9)
		f.setRoutes(weighted(qhconfig.Share{Service: "next", Weight: 3}, qhconfig.Share{Service: "old", Weight: 1}))
		counts = countCalls()
		expectShare(counts, "next", 0.75)
		expectShare(counts, "old", 0.25)
	})

	It("refuses the calls of a service that has no target and moves none of them", func() {
		f.setRoutes(weighted(qhconfig.Share{Service: "gone", Weight: 1}, qhconfig.Share{Service: "old", Weight: 1}))
		counts := countCalls()
		expectShare(counts, "old", 0.5)
		expectShare(counts, "", 0.5)
		startService("gone")
		counts = countCalls()
		expectShare(counts, "gone", 0.5)
		expectShare(counts, "old", 0.5)
	})

	It("refuses the calls of a full service and moves none of them", func() {
		release := make(chan struct{})
		defer close(release)
		var running atomic.Int64
		f.startTarget("t-full", "full", "a", 1, func(http.ResponseWriter, *http.Request) {
			running.Add(1)
			<-release
		})
		f.setRoutes([]qhconfig.Route{newRoute("hold", "/hold", "full")})
		go func() { doCall(context.Background(), caller, "GET", "/hold", "hold", nil) }()
		Eventually(running.Load).WithTimeout(cancelBound * 40).Should(BeEquivalentTo(1))
		info := f.nodes["a"].guards.Get("t-full").Info()
		info.State = qhmember.Leaving // refuses at once, where a queue would make each call wait
		f.nodes["a"].guards.Put(info)
		f.setRoutes(weighted(qhconfig.Share{Service: "full", Weight: 1}, qhconfig.Share{Service: "old", Weight: 3}))
		counts := countCalls()
		expectShare(counts, "old", 0.75)
		expectShare(counts, "", 0.25)
	})
})
