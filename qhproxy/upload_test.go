package qhproxy

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// cancelBound is the time within which a target has to notice that its caller is
// gone.
const cancelBound = 500 * time.Millisecond

// digestHandler responds with the length and the digest of the request body.
func digestHandler(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	n, err := io.Copy(hash, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%d %x", n, hash.Sum(nil))
}

func digestOf(body string) string {
	return fmt.Sprintf("%d %x", len(body), sha256.Sum256([]byte(body)))
}

// countingConn counts the bytes that are written to a connection.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// countingListener counts the bytes that its connections receive.
type countingListener struct {
	net.Listener
	received *atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return countingConn{conn, l.received}, nil
}

func (l *countingListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

var _ = Describe("an upload", func() {
	ctx := context.Background()
	large := strings.Repeat("0123456789abcdef", 1<<16)
	var f *fleet
	var caller *node
	BeforeEach(func() {
		f = newFleet(GinkgoTB(), newRoute("charts", "/charts", "store"))
		caller = f.startNode("a", "pl-a")
		f.startNode("b", "pl-a")
	})
	dialCaller := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", caller.callers.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		return conn, bufio.NewReader(conn)
	}
	readResponse := func(reader *bufio.Reader) (*http.Response, string) {
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp, string(body)
	}

	It("that one target refuses is sent to another one, without its body crossing the link twice", func() {
		f.startNode("c", "pl-a")
		f.startTarget("t-leaving", "store", "b", 4, digestHandler)
		f.startTarget("t-up", "store", "c", 4, digestHandler)
		leaving := f.nodes["b"].guards.Get("t-leaving").Info()
		leaving.State = qhmember.Leaving
		f.nodes["b"].guards.Put(leaving)
		var received atomic.Int64
		link := newLink(f, "t-leaving", &received)
		defer link()
		for i := range 8 {
			got := doCall(ctx, caller, "POST", "/charts/", "r"+strconv.Itoa(i), strings.NewReader(large))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(digestOf(large)))
			for _, endpoint := range f.view.Load().Services["store"] {
				endpoint.Stats.LeavingUntil.Store(0)
				if endpoint.ID == "t-up" {
					endpoint.Stats.InFlight.Store(3) // so that the other one is chosen first
				}
			}
		}
		Expect(received.Load()).To(BeNumerically("<", len(large)/2))
	})

	It("of chunks that come slowly arrives whole", func() {
		f.startTarget("t1", "store", "b", 4, digestHandler)
		conn, reader := dialCaller()
		_, _ = io.WriteString(conn, "POST /charts/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		body := strings.Repeat("chart", 3000)
		for part := range strings.SplitSeq(strings.TrimSuffix(strings.Repeat("chart|", 3000), "|"), "|") {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		resp, got := readResponse(reader)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(got).To(Equal(digestOf(body)))
	})

	It("that stalls is ended at its deadline, with an unknown outcome", func() {
		f.setRoutes([]qhconfig.Route{newRoute("charts", "/charts", "store", func(r *qhconfig.Route) { r.Timeout = qhconfig.Duration(300 * time.Millisecond) })})
		f.startTarget("t1", "store", "b", 4, digestHandler)
		conn, reader := dialCaller()
		_, _ = io.WriteString(conn, "POST /charts/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+large[:100000])
		resp, _ := readResponse(reader)
		Expect(resp.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(resp.Header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeUnknown))
	})

	It("that is longer than said gives the target the bytes that were said", func() {
		f.startTarget("t1", "store", "b", 4, digestHandler)
		conn, reader := dialCaller()
		_, _ = io.WriteString(conn, "POST /charts/ HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+large[:100000]+"more that is no request\r\n\r\n")
		resp, got := readResponse(reader)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(got).To(Equal(digestOf(large[:100000])))
		resp, _ = readResponse(reader)
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	})

	It("waits for 100 Continue if its caller does", func() {
		f.startTarget("t1", "store", "b", 4, digestHandler)
		conn, reader := dialCaller()
		_, _ = fmt.Fprintf(conn, "POST /charts/ HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(large))
		line, err := reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(HavePrefix("HTTP/1.1 100 "))
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(conn, large)
		resp, got := readResponse(reader)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(got).To(Equal(digestOf(large)))
	})

	It("is not asked for by 100 Continue if it is refused", func() {
		target := f.startTarget("t1", "store", "b", 4, digestHandler)
		target.Close()
		f.nodes["b"].guards.Remove("t1")
		conn, reader := dialCaller()
		_, _ = fmt.Fprintf(conn, "POST /charts/ HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(large))
		resp, _ := readResponse(reader)
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
	})

	It("that is answered before it was read keeps the target's connection in step", func() {
		f.startTarget("t1", "store", "b", 1, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/charts/early" {
				w.WriteHeader(http.StatusInsufficientStorage)
				return
			}
			digestHandler(w, r)
		})
		for i := range 10 {
			early := doCall(ctx, caller, "POST", "/charts/early", "e"+strconv.Itoa(i), strings.NewReader(large))
			if early.err == nil {
				Expect(early.status).To(Equal(http.StatusInsufficientStorage))
			}
			text := "chart " + strconv.Itoa(i)
			got := doCall(ctx, caller, "POST", "/charts/", "r"+strconv.Itoa(i), strings.NewReader(text))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(digestOf(text)))
		}
	})

	It("whose caller leaves half way ends at the target within half a second", func() {
		ended := make(chan time.Time, 1)
		started := make(chan struct{})
		f.startTarget("t1", "store", "b", 4, func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			_, _ = io.Copy(io.Discard, r.Body)
			ended <- time.Now()
		})
		conn, _ := dialCaller()
		_, _ = io.WriteString(conn, "POST /charts/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+large[:200000])
		Eventually(started).WithTimeout(20 * time.Second).Should(BeClosed())
		left := time.Now()
		Expect(conn.Close()).To(Succeed())
		var at time.Time
		Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(&at))
		Expect(at.Sub(left)).To(BeNumerically("<", cancelBound))
	})

	It("whose link breaks half way has an unknown outcome and runs once", func() {
		executions := &executionRecorder{}
		started := make(chan struct{})
		f.startTarget("t1", "store", "b", 4, func(_ http.ResponseWriter, r *http.Request) {
			executions.add(r)
			close(started)
			_, _ = io.Copy(io.Discard, r.Body)
		})
		breakLink := newLink(f, "t1", &atomic.Int64{})
		conn, reader := dialCaller()
		_, _ = io.WriteString(conn, "POST /charts/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 1000000\r\n\r\n"+large[:200000])
		Eventually(started).WithTimeout(20 * time.Second).Should(BeClosed())
		breakLink()
		resp, _ := readResponse(reader)
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(resp.Header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeUnknown))
		Expect(executions.count("r1")).To(Equal(1))
	})

	It("that is refused gets its response although its caller still sends", func() {
		f.nodes["b"].guards.Remove("t1")
		for i := range 30 {
			got := doCall(ctx, caller, "POST", "/charts/", "r"+strconv.Itoa(i), strings.NewReader(large[:500_000]))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		}
	})

	It("may be as large as the configuration in force allows", func() {
		f.settings.MaxBodyBytes = 1000
		limited := f.startNode("c", "pl-a")
		f.startTarget("t1", "store", "b", 4, digestHandler)
		setLimit := func(limit int) {
			snapshot := *f.snapshot.Load()
			snapshot.Config.Limits.MaxBodyBytes = qhid.Bytes(limit)
			f.snapshot.Store(&snapshot)
		}
		body := large[:200_000] // the server reads the rest of a refused body of this size
		send := func() int {
			got := doCall(ctx, limited, "POST", "/charts/", "r1", strings.NewReader(body))
			Expect(got.err).NotTo(HaveOccurred())
			return got.status
		}
		Expect(send()).To(Equal(http.StatusRequestEntityTooLarge))
		setLimit(len(body))
		Expect(send()).To(Equal(http.StatusOK))
		setLimit(len(body) - 1)
		Expect(send()).To(Equal(http.StatusRequestEntityTooLarge))
	})
})

// newLink gives the node of a target another listener, which counts the bytes sent
// to it, and returns a function that closes it with its connections.
func newLink(f *fleet, target qhid.Target, received *atomic.Int64) func() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	for _, endpoint := range f.view.Load().Services["store"] {
		if endpoint.ID != target {
			continue
		}
		proxy := f.nodes[endpoint.Node].proxy
		server := proxy.NodesServer()
		counting := &countingListener{Listener: listener, received: received}
		go func() { _ = server.Serve(proxy.NodesListener(counting)) }()
		endpoint.CallAddress = qhid.Address(listener.Addr().String())
		return func() {
			_ = server.Close()
			counting.closeConns()
		}
	}
	return func() {}
}

// BenchmarkUpload measures what an upload through two nodes allocates, by the size
// of its body. The caller and the target are in the same process.
func BenchmarkUpload(b *testing.B) {
	for _, size := range []int64{64 << 10, 1 << 20, 16 << 20} {
		for _, concurrent := range []int{1, 100} {
			b.Run(fmt.Sprintf("bytes=%d/concurrent=%d", size, concurrent), func(b *testing.B) { benchmarkUpload(b, size, concurrent) })
		}
	}
}

func benchmarkUpload(b *testing.B, size int64, concurrent int) {
	f := newFleet(b, newRoute("charts", "/charts", "store"))
	entry := f.startNode("a", "pl-a")
	f.startNode("b", "pl-a")
	f.startTarget("t1", "store", "b", concurrent, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	f.nodes["b"].guards.Get("t1").Conns().SetLimit(concurrent)
	transport := &http.Transport{MaxIdleConnsPerHost: concurrent}
	defer transport.CloseIdleConnections()
	b.SetBytes(size)
	b.ReportAllocs()
	b.SetParallelism(concurrent)
	before := cpuTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, _ := http.NewRequest("POST", entry.callers.URL+"/charts/", io.LimitReader(zeroes{}, size))
			req.ContentLength = size
			resp, err := transport.RoundTrip(req)
			if err != nil || resp.StatusCode != http.StatusOK {
				b.Error(err, resp)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// zeroes is an endless reader.
type zeroes struct{}

func (zeroes) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("an upload to a VM with a slow link", func() {
	It("is refused at once if the link has no room in time, without its body being sent", func() {
		f := newFleet(GinkgoTB(), newRoute("charts", "/charts", "store", func(r *qhconfig.Route) {
			r.LatencyObjective, r.Timeout = qhconfig.Duration(200*time.Millisecond), qhconfig.Duration(2*time.Second)
		}))
		caller := f.startNode("a", "pl-a")
		f.linkSpeed = 1
		f.startNode("b", "pl-b")
		f.startTarget("t1", "store", "b", 4, digestHandler)
		hold, _, ok := f.nodes["b"].proxy.intake.Acquire(context.Background(), 1<<20, time.Second)
		Expect(ok).To(BeTrue())
		defer hold()
		var received atomic.Int64
		defer newLink(f, "t1", &received)()
		body := strings.Repeat("x", 50_000)
		got := doCall(context.Background(), caller, "POST", "/charts/", "r1", strings.NewReader(body), func(r *http.Request) { r.Header.Set("Request-Timeout", "500") })
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
		Expect(got.header.Get(qhheader.RetryAfter)).NotTo(BeEmpty())
		Expect(received.Load()).To(BeNumerically("<", len(body)/2))
		hold()
		got = doCall(context.Background(), caller, "POST", "/charts/", "r2", strings.NewReader(body))
		Expect(got.body).To(Equal(digestOf(body)))
		_, _, ok = f.nodes["b"].proxy.intake.Acquire(context.Background(), 1<<20, time.Millisecond)
		Expect(ok).To(BeTrue(), "the transfer has ended")
	})
})
