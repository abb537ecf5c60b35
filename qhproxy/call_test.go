package qhproxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

var _ = Describe("a call", func() {
	var f *fleet
	ctx := context.Background()
	BeforeEach(func() {
		f = newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		f.startNode("a1", "kigali-a")
		f.startNode("b1", "kigali-b")
	})

	DescribeTable("gets the complete response", func(nodeKind string) {
		f.startTarget("t1", "booking", f.nodes["a1"].proxy.Self, 9, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("Trailer", "Sum")
			w.Header().Set("Saw", fmt.Sprint(r.Header.Get(qhheader.NodeTarget), r.Host, r.URL.RequestURI()))
			w.WriteHeader(http.StatusCreated)
			_, _ = fmt.Fprintf(w, "%s %s", r.Header.Get(qhheader.RequestID), body)
			w.Header().Set("Sum", "17")
			w.Header().Set(http.TrailerPrefix+"Late", "yes")
		})
		node := f.nodes["a1"]
		if nodeKind == "other" {
			node = f.nodes["b1"]
		}
		got := doCall(ctx, node, "POST", "/urns/oak%2Fred?x=1", "r1", strings.NewReader("two"), func(r *http.Request) {
			r.Host = "booking.example"
			r.Header.Set(qhheader.NodeTarget, "forged")
		})
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusCreated))
		Expect(got.body).To(Equal("r1 two"))
		Expect(got.header.Get("Saw")).To(Equal("booking.example/urns/oak%2Fred?x=1"))
		Expect(got.trailer).To(Equal(http.Header{"Sum": {"17"}, "Late": {"yes"}}))
		Expect(got.header).NotTo(HaveKey(qhheader.NodeLoad))
		Expect(node.decisions.Find("r1")[0].Kind).To(Equal(qhdecision.Chosen))
	}, Entry("through the target's node", "own"), Entry("through another node", "other"))

	It("without a matching route is answered 404 by the node", func() {
		got := doCall(ctx, f.nodes["a1"], "GET", "/coffins", "r1", nil)
		Expect(got.status).To(Equal(http.StatusNotFound))
		Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
		Expect(got.header.Get(qhheader.Reason)).To(Equal("no-route"))
	})

	It("that may have been executed is not reported as not executed after another attempt", func() {
		f.setRoutes([]qhconfig.Route{newRoute("urns", "/urns", "booking", func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe })})
		executions := &executionRecorder{}
		f.startTarget("t1", "booking", "b1", 9, func(_ http.ResponseWriter, r *http.Request) {
			executions.add(r)
			panic(http.ErrAbortHandler)
		})
		closed := unresponsiveListener(GinkgoTB())
		Expect(closed.Close()).To(Succeed())
		f.announceTarget("t2", "booking", "b1", 9, qhid.Address(closed.Addr().String()))
		for i := range 30 {
			id := fmt.Sprint(i)
			got := doCall(ctx, f.nodes["a1"], "GET", "/urns", id, nil)
			want := qhheader.OutcomeNotExecuted
			if executions.count(id) > 0 {
				want = qhheader.OutcomeUnknown
			}
			Expect(got.header.Get(qhheader.Outcome)).To(Equal(want), id)
		}
		Expect(executions.byRequest).NotTo(BeEmpty())
	})

	DescribeTable("whose response is truncated gets a truncated response", func(retry qhconfig.RetryPolicy) {
		f.startTarget("t1", "booking", "b1", 9, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 100_000))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		for _, n := range []*node{f.nodes["a1"], f.nodes["b1"]} {
			for range 5 {
				got := doCall(ctx, n, "GET", "/urns", "r1", nil)
				Expect(got.err).To(HaveOccurred())
			}
		}
		failures := f.view.Load().Services["booking"][0].Stats.ConsecutiveFailures.Load
		Eventually(failures).WithTimeout(20 * time.Second).Should(BeNumerically(">", 0))
	}, Entry("", qhconfig.RetryNever))
})

func TestAdmissionHeadersRoundTripAndAreRemoved(t *testing.T) {
	g := NewWithT(t)
	header := http.Header{}
	setAdmissionHeaders(header, qhguard.AdmissionRequest{Priority: 2, ObjectiveDeadline: time.Now().Add(time.Second), MaxQueueWait: 40 * time.Millisecond})
	read := admissionFromHeaders(header)
	g.Expect(read.Priority).To(Equal(2))
	g.Expect(read.MaxQueueWait).To(Equal(40 * time.Millisecond))
	g.Expect(time.Until(read.ObjectiveDeadline)).To(BeNumerically("~", time.Second, 200*time.Millisecond))
	setAdmissionHeaders(header, qhguard.AdmissionRequest{})
	g.Expect(header).To(BeEmpty())
}
