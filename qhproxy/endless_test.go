package qhproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// endlessTarget accepts connections, reads a request and then writes head once and unit
// until the connection is closed. It counts the closed connections.
func endlessTarget(head, unit string, closed *atomic.Int64) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() { //nolint:gocritic // ends with the listener
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closed.Add(1)
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, head)
				for err == nil {
					_, err = io.WriteString(conn, unit)
				}
			}()
		}
	}()
	return listener
}

var _ = Describe("a response without end", func() {
	const callTimeout = 600 * time.Millisecond
	DescribeTable("takes bounded memory and time, and its connection is closed", func(head, unit string, status int) {
		f := newFleet(GinkgoTB(), newRoute("slots", "/slots", "booking", func(r *qhconfig.Route) {
			r.Timeout = qhconfig.Duration(callTimeout)
		}))
		caller := f.startNode("a", "kigali-a")
		f.startNode("b", "kigali-a")
		var closed atomic.Int64
		for _, on := range []qhid.Node{"a", "b"} {
			f.announceTarget("t-"+qhid.Target(on), "booking", on, 4, qhid.Address(endlessTarget(head, unit, &closed).Addr().String()))
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := time.Now()
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*callTimeout)
			got := endlessCall(ctx, caller)
			cancel()
			Expect(got).To(Equal(status))
		}
		Expect(time.Since(start)).To(BeNumerically("<", 10*callTimeout), "the node ends the calls, not the caller")
		Eventually(closed.Load).WithTimeout(20 * time.Second).Should(BeNumerically(">=", 2))
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 16<<20))
	},
		Entry("in its first line", "", strings.Repeat("x", 1000), http.StatusBadGateway),
		Entry("in a header", "HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 1000), http.StatusBadGateway),
		Entry("in many headers", "HTTP/1.1 200 OK\r\n", "X-Many: x\r\n", http.StatusBadGateway),
		Entry("in interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", http.StatusBadGateway),
		Entry("in a body of chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+strings.Repeat("x", 1000)+"\r\n", http.StatusOK),
		Entry("in a body without a length", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000), http.StatusOK),
		Entry("in trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n0\r\n", "X-T: x\r\n", http.StatusOK),
		Entry("of NULs", "", strings.Repeat("\x00", 1000), http.StatusBadGateway),
		Entry("of empty lines", "", "\r\n", http.StatusBadGateway),
		Entry("in a reason phrase", "HTTP/1.1 200 ", strings.Repeat("x", 1000), http.StatusBadGateway),
		Entry("in the name of a field", "HTTP/1.1 200 OK\r\n", strings.Repeat("x", 1000), http.StatusBadGateway),
		Entry("in interim responses with a status of 100", "", "HTTP/1.1 100 Continue\r\n\r\n", http.StatusBadGateway),
		Entry("in the size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1000), http.StatusOK),
		Entry("in the extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1000), http.StatusOK),
		Entry("in chunks of one byte", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 100), http.StatusOK),
		Entry("in the name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("x", 1000), http.StatusOK),
		Entry("in garbage behind a response", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", strings.Repeat("x", 1000), http.StatusOK),
		Entry("behind a response", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", http.StatusOK),
	)
})

var _ = Describe("responses without end whose callers do not read them", func() {
	const (
		callers = 40
		// maxHeld is a third of the memory of a VM of 284 MB (docs/design/client-memory.md).
		maxHeld = 284 << 20 / 3
	)
	DescribeTable("take bounded memory, and other calls are served", func(head, unit string) {
		f := newFleet(GinkgoTB(), newRoute("slots", "/slots", "booking"), newRoute("desks", "/desks", "desk"))
		nodes := []*node{f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")}
		var closed atomic.Int64
		f.announceTarget("t-endless", "booking", "b", 2*callers, qhid.Address(endlessTarget(head, unit, &closed).Addr().String()))
		f.startTarget("t-valid", "desk", "b", 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
		expectServed := func() {
			GinkgoHelper()
			for _, n := range nodes {
				got := doCall(context.Background(), n, http.MethodPost, "/desks", "other", nil)
				Expect(got.err).NotTo(HaveOccurred())
				Expect(got.status).To(Equal(http.StatusOK))
				Expect(got.body).To(Equal("ok"))
			}
		}
		var before, during runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		conns := make([]net.Conn, callers)
		for i := range conns {
			conn, err := net.Dial("tcp", nodes[i%2].callers.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, "GET /slots HTTP/1.1\r\nHost: h\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			conns[i] = conn
		}
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			expectServed()
			runtime.ReadMemStats(&during)
			Expect(int64(during.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", maxHeld))
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
		Eventually(closed.Load).WithTimeout(20 * time.Second).Should(BeNumerically(">=", callers))
		expectServed()
	},
		Entry("in heads", "HTTP/1.1 200 OK\r\n", "X-Many: x\r\n"),
		Entry("in garbage", "", strings.Repeat("x", 1000)),
		Entry("in bodies without a length", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1000)),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+strings.Repeat("x", 1000)+"\r\n"),
		Entry("in chunks of one byte", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 100)),
		Entry("in trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: x\r\n"),
	)
})

// endlessCall makes a call and reads what comes without keeping it. It returns the
// status.
func endlessCall(ctx context.Context, n *node) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.callers.URL+"/slots", nil)
	Expect(err).NotTo(HaveOccurred())
	resp, err := newClient().Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // a truncated body ends with an error
	return resp.StatusCode
}
