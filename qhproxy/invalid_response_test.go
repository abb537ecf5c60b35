package qhproxy

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

// invalidResponses returns the value of the metric of a node.
func (n *node) invalidResponses() int {
	GinkgoHelper()
	var text strings.Builder
	n.metrics.WritePrometheus(&text)
	var count int
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(line, "qh_call_invalid_responses_total "); ok {
			_, err := fmt.Sscan(value, &count)
			Expect(err).NotTo(HaveOccurred())
		}
	}
	return count
}

const validResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("a response that is not valid", func() {
	expectRefused := func(response string) {
		GinkgoHelper()
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		nodes := []*node{f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")}
		address, closed := newResponder(response, !strings.Contains(response, "Connection: close"))
		f.announceTarget("t1", "booking", "b", 4, address)
		for i, n := range nodes {
			id := fmt.Sprintf("call-%d", i)
			got := doCall(context.Background(), n, http.MethodPost, "/urns", id, nil)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusBadGateway))
			Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeUnknown))
			Expect(got.header.Get(qhheader.Reason)).To(Equal(string(qhdecision.ConnectionLost)))
			Expect(got.body).To(ContainSubstring("not a valid response"))
			Expect(n.decisions.Find(qhid.Request(id))).To(ContainElement(And(
				HaveField("Kind", qhdecision.Refused), HaveField("Target", qhid.Target("t1")), HaveField("Detail", ContainSubstring("not a valid response")))))
			Eventually(closed.Load).WithTimeout(10*time.Second).Should(Equal(int64(i+1)), "connections are not used again")
		}
		Expect(nodes[0].invalidResponses()).To(BeZero(), "the node that reads the response counts it")
		Expect(nodes[1].invalidResponses()).To(Equal(2))
	}

	DescribeTable("because of its status is refused, and the call may have been executed", expectRefused,
		Entry("000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok"),
		Entry("000 without a body", "HTTP/1.1 000\r\n\r\n"),
		Entry("099", "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok"),
		Entry("600", "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok"),
		Entry("999", "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\nok"),
		Entry("101, which was not asked for", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: odd\r\n\r\n"),
		Entry("with a sign", "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok"),
		Entry("behind an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok"),
	)

	DescribeTable("because of its fields is refused, and the call may have been executed", expectRefused,
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a blank behind a name", "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a blank before a name", "HTTP/1.1 200 OK\r\nX-First: 1\r\n X-Odd: 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a tab in a name", "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a NUL in a name", "HTTP/1.1 200 OK\r\nX\x00Odd: 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a DEL in a name", "HTTP/1.1 200 OK\r\nX\x7fOdd: 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("an empty name", "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a blank behind Content-Length", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nConnection: close\r\n\r\nok"),
		Entry("a blank in Content-Length", "HTTP/1.1 200 OK\r\nContent Length: 1\r\nConnection: close\r\n\r\nok"),
		Entry("a blank behind Content-Length, beside a valid one", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\nok"),
		Entry("a blank behind Transfer-Encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("a blank in Transfer-Encoding", "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("a blank behind Transfer-Encoding, beside a length", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nok"),
		Entry("Transfer-Encoding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("an invalid name in an interim response", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n"+validResponse),
	)

	It("is incomplete if its trailer is not valid", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		nodes := []*node{f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")}
		address, closed := newResponder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n", true)
		f.announceTarget("t1", "booking", "b", 4, address)
		for i, n := range nodes {
			Expect(doCall(context.Background(), n, http.MethodPost, "/urns", "call", nil).err).To(HaveOccurred())
			Eventually(closed.Load).WithTimeout(10 * time.Second).Should(Equal(int64(i + 1)))
		}
	})

	It("ejects its endpoint, as a failed connection does", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		f.startNode("b", "kigali-a")
		n := f.startNode("a", "kigali-a")
		odd, _ := newResponder("HTTP/1.1 000 None\r\n\r\n", true)
		valid, _ := newResponder(validResponse, true)
		f.announceTarget("odd", "booking", "b", 4, odd)
		f.announceTarget("valid", "booking", "b", 4, valid)
		ejected := func() bool {
			doCall(context.Background(), n, http.MethodPost, "/urns", "call", nil)
			for _, d := range n.decisions.Find("call") {
				if d.Kind == qhdecision.Ejected {
					Expect(d.Target).To(Equal(qhid.Target("odd")))
					return true
				}
			}
			return false
		}
		Eventually(ejected).WithTimeout(20 * time.Second).WithPolling(time.Millisecond).Should(BeTrue())
		for range 20 {
			Expect(doCall(context.Background(), n, http.MethodPost, "/urns", "later", nil).status).To(Equal(http.StatusOK))
		}
	})

	It("is repeated at another target on routes that allow it", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking", func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe }))
		n := f.startNode("a", "kigali-a")
		odd, _ := newResponder("HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n", true)
		valid, _ := newResponder(validResponse, true)
		f.announceTarget("odd", "booking", "a", 4, odd)
		f.announceTarget("valid", "booking", "a", 4, valid)
		for range 20 {
			got := doCall(context.Background(), n, http.MethodGet, "/urns", "call", nil)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal("ok"))
		}
		Expect(n.invalidResponses()).To(BeNumerically(">", 0))
	})

	It("is refused if it comes from a node that does not check it", func() {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		n := f.startNode("a", "kigali-a")
		f.startNode("b", "kigali-a")
		endpoint := f.announceTarget("t1", "booking", "b", 4, "127.0.0.1:1")
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		old := startServer(&http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(600) })}, nil)
		DeferCleanup(old.Close)
		endpoint.CallAddress = qhid.Address(old.Listener.Addr().String())
		got := doCall(context.Background(), n, http.MethodPost, "/urns", "call", nil)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeUnknown))
	})
})

var _ = Describe("an unusual response that is valid", func() {
	DescribeTable("reaches the caller", func(response string, status int, body string, keepOpen bool) {
		f := newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		nodes := []*node{f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")}
		address, _ := newResponder(response, keepOpen)
		f.announceTarget("t1", "booking", "b", 4, address)
		for _, n := range nodes {
			got := doCall(context.Background(), n, http.MethodPost, "/urns", "call", nil)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(status))
			Expect(got.header.Get(qhheader.Outcome)).To(BeEmpty())
			Expect(got.body).To(Equal(body))
			Expect(n.invalidResponses()).To(BeZero())
		}
	},
		Entry("with the highest status", "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", 599, "ok", true),
		Entry("without a reason phrase", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", 200, "ok", true),
		Entry("without a length, closed", "HTTP/1.1 200 OK\r\n\r\nok", 200, "ok", false),
		Entry("without a length and with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", 200, "ok", false),
		Entry("with a length and Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 200, "ok", false),
		Entry("with chunks and Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok", false),
		Entry("with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", 200, "ok", true),
		Entry("in HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nok", 200, "ok", false),
		Entry("behind interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+validResponse, 200, "ok", true),
		Entry("without a body", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", true),
		Entry("with all bytes of a token in a name", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 2\r\n\r\nok", 200, "ok", true),
		Entry("with blanks around a value", "HTTP/1.1 200 OK\r\nContent-Length:  2 \r\n\r\nok", 200, "ok", true),
		Entry("whose body looks like an invalid head", "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\nHTTP/1.1 000 Odd\r\nA b: c\r\n\r\n", 200, "HTTP/1.1 000 Odd\r\nA b: c\r\n\r\n", true),
	)
})
