package qhproxy

import (
	"context"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhmember"
)

var _ = Describe("Calls that are repeated", func() {
	It("are never called not run once an earlier attempt may have run", func() {
		safe := func(r *qhconfig.Route) { r.Repeat = qhconfig.RepeatSafe }
		f := newFleet(GinkgoTB(), route("stock", "/stock", "stock", safe))
		f.settings.Budget = 100
		n := f.node("a1", "recife-a")
		ran := &record{}
		f.target("breaks", "stock", "a1", 8, func(_ http.ResponseWriter, r *http.Request) {
			ran.add(r)
			panic(http.ErrAbortHandler)
		})
		gone := f.announce("gone", "stock", "a1", 8, "127.0.0.1:1")
		mixed := 0
		for i := range 60 {
			id := fmt.Sprintf("stock-%d", i)
			answer := do(context.Background(), n, http.MethodGet, "/stock", id, nil)
			Expect(answer.err).NotTo(HaveOccurred())
			if ran.of(id) > 0 {
				Expect(answer.header.Get(qhheader.Outcome)).To(Equal(qhheader.Unknown), id)
				mixed++
			}
			for _, endpoint := range append(f.view.Load().Services["stock"], gone) {
				reset(endpoint)
			}
		}
		Expect(mixed).To(BeNumerically(">", 0))
	})
})

// reset forgets what was seen of an endpoint, so that none stays ejected.
func reset(endpoint *qhmember.Endpoint) {
	endpoint.Observed.Failures.Store(0)
	endpoint.Observed.Ejected.Store(0)
	endpoint.Observed.Ejections.Store(0)
}
