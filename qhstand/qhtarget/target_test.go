package qhtarget_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstand/qhtarget"
)

var _ = Describe("Target", func() {
	var (
		target *qhtarget.Target
		server *httptest.Server
		ctx    context.Context
	)
	BeforeEach(func() {
		ctx = context.Background()
		target = qhtarget.New(qhtarget.Options{ID: "booking-1", Service: "booking", Zone: "kigali-a", Slots: 1})
		server = httptest.NewServer(target.Handler())
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
	})

	call := func(ctx context.Context, request qhid.Request) (*http.Response, []byte, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/urns/1?size=2", bytes.NewBufferString("oak"))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set(qhheader.RequestID, string(request))
		req.Header.Set(qhheader.IdempotencyKey, "key-1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, nil, err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return resp, body, err
	}

	It("echoes a call and records its execution", func() {
		_, body, err := call(ctx, "r1")
		Expect(err).NotTo(HaveOccurred())
		var echo qhtarget.Echo
		Expect(json.Unmarshal(body, &echo)).To(Succeed())
		Expect(echo).To(Equal(qhtarget.Echo{
			Target: "booking-1", Service: "booking", Zone: "kigali-a", Request: "r1", Key: "key-1",
			Method: "POST", Path: "/urns/1", Query: "size=2", Body: "oak",
			Digest: "df877645404747cb797334b8055b51fc081856d44f5f59a4107f3cdd495c7a0e",
		}))
		Expect(target.Record().ExecutionsByRequest).To(Equal(map[qhid.Request]int{"r1": 1}))
		Expect(target.Record().ExecutionsByKey).To(Equal(map[string]int{"key-1": 1}))
	})

	It("sheds calls beyond its slots without executing them", func() {
		target.SetFaults(qhtarget.Faults{RemainingCalls: 1, Hang: true})
		heldCtx, cancel := context.WithCancel(ctx)
		group, wait := qhgroup.New(ctx)
		defer wait()
		group.Go(func(context.Context) { _, _, _ = call(heldCtx, "held") })
		Eventually(func() int { return target.Record().Running }).WithTimeout(20 * time.Second).Should(Equal(1))
		resp, _, err := call(ctx, "shed")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		cancel()
		Eventually(func() int { return target.Record().Cancelled }).WithTimeout(20 * time.Second).Should(Equal(1))
		Expect(target.Record().ExecutionsByRequest).To(Equal(map[qhid.Request]int{"held": 1}))
		Expect(target.Record().Shed).To(Equal(1))
	})

	DescribeTable("executes the call but fails its response", func(faults qhtarget.Faults) {
		target.SetFaults(faults)
		_, _, err := call(ctx, "r1")
		Expect(err).To(HaveOccurred())
		Expect(target.Record().Executed).To(Equal(1))
	},
		Entry("truncated with a content length", qhtarget.Faults{TruncateResponse: true}),
		Entry("truncated in chunks", qhtarget.Faults{TruncateResponse: true, Chunked: true, PaddingBytes: 1 << 20}),
		Entry("connection closed before the first byte", qhtarget.Faults{CloseConnection: true}),
	)

	It("cancels a call when the timeout sent by the caller has passed", func() {
		target.SetFaults(qhtarget.Faults{ServiceTime: qhconfig.Duration(time.Hour)})
		req := httptest.NewRequest(http.MethodGet, "/urns", nil)
		req.Header.Set(qhheader.Timeout, "0.01")
		response := httptest.NewRecorder()
		target.Handler().ServeHTTP(response, req)
		Expect(response.Code).To(Equal(http.StatusGatewayTimeout))
		Expect(target.Record().Cancelled).To(Equal(1))
	})

	It("sends a chunked response with its digest in a trailer", func() {
		target.SetFaults(qhtarget.Faults{Chunked: true, PaddingBytes: 100_000, ResponseDelay: qhconfig.Duration(time.Millisecond)})
		resp, body, err := call(ctx, "r1")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(body)).To(BeNumerically(">", 100_000))
		Expect(resp.ContentLength).To(BeNumerically("==", -1))
		Expect(resp.Trailer.Get(qhtarget.DigestTrailer)).To(HaveLen(64))
	})
})

// fakeNode records the requests to a node's announce API.
type fakeNode struct {
	mu       sync.Mutex
	requests []string
}

func (n *fakeNode) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	var announcement qhtarget.AnnounceRequest
	_ = json.NewDecoder(r.Body).Decode(&announcement)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests = append(n.requests, r.Method+" "+r.URL.Path+" "+string(announcement.State))
}

func (n *fakeNode) recordedRequests() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string{}, n.requests...)
}

var _ = Describe("Announcer", func() {
	It("announces the target at once and the state leaving when it changes, and withdraws the announcement last", func() {
		node := &fakeNode{}
		server := httptest.NewServer(node)
		defer server.Close()
		target := qhtarget.New(qhtarget.Options{ID: "booking-1", Service: "booking", Slots: 9, Node: server.URL})
		announcer := target.Announce(context.Background(), "127.0.0.1:9001")
		Eventually(node.recordedRequests).WithTimeout(20 * time.Second).Should(ContainElement("PUT /v1/targets/booking-1 " + string(qhmember.Up)))
		drain := httptest.NewRequest(http.MethodPut, "/qhstand/drain", nil)
		target.Handler().ServeHTTP(httptest.NewRecorder(), drain)
		Eventually(node.recordedRequests).WithTimeout(20 * time.Second).Should(ContainElement("PUT /v1/targets/booking-1 " + string(qhmember.Leaving)))
		announcer.Withdraw(context.Background())
		requests := node.recordedRequests()
		Expect(requests[len(requests)-1]).To(Equal("DELETE /v1/targets/booking-1 "))
	})
})
