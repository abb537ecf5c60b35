package qhproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmemory"
)

var _ = Describe("a node without memory for a call", func() {
	const (
		// noMemory is enough for a connection, but not for any call, enoughMemory for a few with
		// small heads.
		noMemory     qhid.Bytes = 144 << 10
		enoughMemory qhid.Bytes = 1 << 20
		get                     = "GET /urns HTTP/1.1\r\nHost: h\r\n"
	)
	var (
		f          *fleet
		executions executionRecorder
	)
	start := func(memory qhid.Bytes) *node {
		f = newFleet(GinkgoTB(), newRoute("urns", "/urns", "booking"))
		f.memory = qhmemory.NewAccount(qhmemory.Limits{Memory: memory}, func(qhmemory.Eviction) {})
		n := f.startNode("a", "kigali-a")
		executions = executionRecorder{}
		f.startTarget("t1", "booking", "a", 4, func(_ http.ResponseWriter, r *http.Request) { executions.add(r) })
		return n
	}
	dial := func(n *node) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		return conn, bufio.NewReader(conn)
	}
	expectRefusal := func(n *node, resp *http.Response, id string) {
		GinkgoHelper()
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
		Expect(resp.Header.Get(qhheader.RetryAfter)).NotTo(BeEmpty())
		Expect(resp.Header.Get(qhheader.RequestID)).To(Equal(id))
		Expect(string(body)).To(ContainSubstring("memory (not-run)"))
		Expect(n.decisions.Find(qhid.Request(id))).To(HaveLen(1))
		Expect(n.decisions.Find(qhid.Request(id))[0].Reason).To(Equal(qhdecision.NoMemory))
		Expect(executions.count(id)).To(BeZero())
	}

	It("refuses it before it is parsed, and closes the connection", func() {
		n := start(noMemory)
		conn, reader := dial(n)
		_, _ = io.WriteString(conn, get+"X-Request-Id: r1\r\n\r\n")
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		expectRefusal(n, resp, "r1")
		Expect(resp.Close).To(BeTrue())
		_, err = reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("refuses it after the responses to the requests before it", func() {
		n := start(enoughMemory)
		conn, reader := dial(n)
		large := get + "X-Request-Id: r3\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
		_, _ = io.WriteString(conn, get+"X-Request-Id: r1\r\n\r\n"+get+"X-Request-Id: r2\r\n\r\n"+large+get+"X-Request-Id: r4\r\n\r\n")
		for _, id := range []string{"r1", "r2"} {
			resp, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(resp.Header.Get(qhheader.RequestID)).To(Equal(id))
		}
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		expectRefusal(n, resp, "r3")
		Expect(executions.count("r4")).To(BeZero())
	})

	It("refuses one of HTTP/2 and one from another node", func() {
		n := start(noMemory)
		for _, url := range []string{n.callers.URL, n.forwardedCalls.URL} {
			var protocols http.Protocols
			protocols.SetUnencryptedHTTP2(true)
			transport := &http.Transport{Protocols: &protocols}
			DeferCleanup(transport.CloseIdleConnections)
			request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url+"/urns", nil)
			Expect(err).NotTo(HaveOccurred())
			id := "r" + url
			request.Header.Set(qhheader.RequestID, id)
			resp, err := transport.RoundTrip(request)
			Expect(err).NotTo(HaveOccurred())
			expectRefusal(n, resp, id)
			Expect(resp.Body.Close()).To(Succeed())
		}
	})

	It("refuses a head that is too large, whatever was sent before", func() {
		n := start(64 * enoughMemory)
		for _, before := range []string{"", get + "\r\n", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"} {
			conn, reader := dial(n)
			if before != "" {
				_, _ = io.WriteString(conn, before)
				resp, err := http.ReadResponse(reader, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.StatusCode).To(Equal(http.StatusOK))
			}
			_, _ = io.WriteString(conn, get+strings.Repeat("a:\r\n", 8000)) // the node may close it
			resp, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge), "after %q", before)
		}
	})

	It("answers a small control request all the same", func() {
		n := start(noMemory)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ready") })}
		AccountControl(server)
		control := startServer(server, func(l net.Listener) net.Listener { return n.proxy.ControlListener(l, 4<<10) })
		DeferCleanup(control.Close)
		for range 3 {
			resp, err := control.Client().Get(control.URL)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("ready"))
			Expect(resp.Body.Close()).To(Succeed())
		}
	})
})
