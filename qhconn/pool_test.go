package qhconn

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
)

// poolTimeout bounds waits for the calls of other goroutines.
const poolTimeout = 30 * time.Second

// rawTarget is a target that counts the received requests by ID.
type rawTarget struct {
	listener net.Listener
	mu       sync.Mutex
	received map[string]int
	// respond decides whether the nth request on a connection is answered;
	// otherwise the connection is closed.
	respond func(nth int) bool
}

func newRawTarget(respond func(nth int) bool) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &rawTarget{listener: listener, received: make(map[string]int), respond: respond}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { t.serve(conn) })
		}
	})
	DeferCleanup(func() {
		_ = listener.Close()
		wg.Wait()
	})
	return t
}

func (t *rawTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for nth := 1; ; nth++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		t.mu.Lock()
		t.received[req.Header.Get("X-Request-Id")]++
		t.mu.Unlock()
		if !t.respond(nth) {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (t *rawTarget) requestCount(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received[id]
}

func (t *rawTarget) request(ctx context.Context, method, id string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.listener.Addr().String()+"/", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Request-Id", id)
	return req
}

func (t *rawTarget) pool(limit int) *Pool {
	pool := NewPool(qhid.Address(t.listener.Addr().String()), limit)
	DeferCleanup(pool.Close)
	return pool
}

// readResponse reads the response body to the end.
func readResponse(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close()
}

// newExtraBytesTarget returns the address of a target that sends bytes that belong to no
// request after each answer.
func newExtraBytesTarget() qhid.Address {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(rand.N(50 * time.Microsecond))
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Refused\r\nContent-Length: 0\r\n\r\n")
			if _, err := http.ReadRequest(buffered.Reader); err != nil {
				return
			}
		}
	}))
	DeferCleanup(target.Close)
	return qhid.Address(target.Listener.Addr().String())
}

var _ = Describe("a pool whose target sends bytes after its answers", func() {
	It("still gives connections to all calls", func() {
		const (
			callers = 8
			calls   = 2000
		)
		pool := NewPool(newExtraBytesTarget(), callers)
		done := make(chan struct{}, callers)
		for range callers {
			go func() {
				defer func() { done <- struct{}{} }()
				for range calls {
					request, _ := http.NewRequest(http.MethodGet, "http://target/", nil)
					if resp, err := pool.RoundTrip(request); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
				}
			}()
		}
		for range callers {
			Eventually(done).WithTimeout(poolTimeout).Should(Receive())
		}
		pool.Close()
	})
})

var _ = Describe("Pool", func() {
	ctx := context.Background()

	DescribeTable("sends a request once that http.Transport sends twice", func(method string, edit func(*http.Request)) {
		target := newRawTarget(func(nth int) bool { return nth == 1 })
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		for id, send := range map[string]func(*http.Request) (*http.Response, error){
			"naive": transport.RoundTrip, "once": target.pool(4).RoundTrip,
		} {
			Expect(readResponse(send(target.request(ctx, "GET", "warm")))).To(Succeed())
			req := target.request(ctx, method, id)
			edit(req)
			err := readResponse(send(req))
			if id == "naive" {
				Expect(err).NotTo(HaveOccurred()) // its second attempt was answered
				continue
			}
			Expect(err).To(HaveOccurred())
			Expect(IsUnprocessed(err)).To(BeFalse())
		}
		Expect(target.requestCount("naive")).To(Equal(2))
		Expect(target.requestCount("once")).To(Equal(1))
	},
		Entry("a GET", "GET", func(*http.Request) {}),
		Entry("a POST with a key", "POST", func(r *http.Request) { r.Header.Set("Idempotency-Key", "k") }),
	)

	It("reports a request as unprocessed only if the target did not receive it", func() {
		target := newRawTarget(func(nth int) bool { return nth%3 != 0 })
		pool := target.pool(8)
		var unprocessed atomic.Int64
		random := rand.New(rand.NewPCG(1, 2))
		for i := range 600 {
			ctx, cancel := context.WithCancel(ctx)
			wait := time.Duration(random.IntN(200)) * time.Microsecond
			timer := time.AfterFunc(wait, cancel)
			id := strconv.Itoa(i)
			err := readResponse(pool.RoundTrip(target.request(ctx, "POST", id)))
			timer.Stop()
			cancel()
			if err != nil && IsUnprocessed(err) {
				unprocessed.Add(1)
				defer func() { Expect(target.requestCount(id)).To(BeZero(), id) }()
			}
		}
		time.Sleep(50 * time.Millisecond) // requests that were sent in spite of the error arrive by now
		Expect(unprocessed.Load()).NotTo(BeZero())
	})

	It("stays within its limit and makes calls wait", func() {
		var active, maxActive atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			maxActive.Store(max(maxActive.Load(), active.Add(1)))
			time.Sleep(time.Millisecond)
			active.Add(-1)
		}))
		DeferCleanup(server.Close)
		pool := NewPool(qhid.Address(strings.TrimPrefix(server.URL, "http://")), 3)
		DeferCleanup(pool.Close)
		var wg sync.WaitGroup
		for range 60 {
			wg.Go(func() {
				defer GinkgoRecover()
				req, _ := http.NewRequestWithContext(ctx, "GET", server.URL, http.NoBody)
				Expect(readResponse(pool.RoundTrip(req))).To(Succeed())
			})
		}
		wg.Wait()
		Expect(maxActive.Load()).To(BeNumerically("<=", 3))
		Expect(pool.OpenConns()).To(BeNumerically("<=", 3))
	})

	It("closes the idle connections after a first-byte timeout", func() {
		target := newRawTarget(func(int) bool { return true })
		pool := target.pool(4)
		first, err := pool.RoundTrip(target.request(ctx, "GET", "1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(readResponse(pool.RoundTrip(target.request(ctx, "GET", "2")))).To(Succeed())
		Expect(readResponse(first, nil)).To(Succeed())
		Eventually(func() int { pool.mu.Lock(); defer pool.mu.Unlock(); return len(pool.idle) }).Should(Equal(2))
		timedOut, cancel := context.WithCancelCause(ctx)
		cancel(ErrFirstByteTimeout)
		Expect(readResponse(pool.RoundTrip(target.request(timedOut, "GET", "3")))).NotTo(Succeed())
		Expect(pool.OpenConns()).To(BeZero())
		Expect(readResponse(pool.RoundTrip(target.request(ctx, "GET", "4")))).To(Succeed())
	})
})
