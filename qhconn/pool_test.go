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

// rawTarget records the ids of requests that it got and answers as told.
type rawTarget struct {
	listener net.Listener
	mu       sync.Mutex
	got      map[string]int
	// answer tells whether the nth request of a connection is answered; the
	// connection is closed otherwise.
	answer func(nth int) bool
}

func newRawTarget(answer func(nth int) bool) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &rawTarget{listener: listener, got: make(map[string]int), answer: answer}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { t.serve(conn) })
		}
	})
	DeferCleanup(func() {
		_ = listener.Close()
		serving.Wait()
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
		t.got[req.Header.Get("X-Request-Id")]++
		t.mu.Unlock()
		if !t.answer(nth) {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (t *rawTarget) runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.got[id]
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

// finish reads an answer to its end.
func finish(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close()
}

var _ = Describe("a pool", func() {
	ctx := context.Background()

	DescribeTable("sends once what http.Transport sends twice", func(method string, edit func(*http.Request)) {
		target := newRawTarget(func(nth int) bool { return nth == 1 })
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		for id, send := range map[string]func(*http.Request) (*http.Response, error){
			"naive": transport.RoundTrip, "once": target.pool(4).RoundTrip,
		} {
			Expect(finish(send(target.request(ctx, "GET", "warm")))).To(Succeed())
			req := target.request(ctx, method, id)
			edit(req)
			err := finish(send(req))
			if id == "naive" {
				Expect(err).NotTo(HaveOccurred()) // its second try was answered
				continue
			}
			Expect(err).To(HaveOccurred())
			Expect(IsUnsent(err)).To(BeFalse())
		}
		Expect(target.runs("naive")).To(Equal(2))
		Expect(target.runs("once")).To(Equal(1))
	},
		Entry("a GET", "GET", func(*http.Request) {}),
		Entry("a POST with a key", "POST", func(r *http.Request) { r.Header.Set("Idempotency-Key", "k") }),
	)

	It("says that nothing was sent only where the target got nothing", func() {
		target := newRawTarget(func(nth int) bool { return nth%3 != 0 })
		pool := target.pool(8)
		var unsent atomic.Int64
		random := rand.New(rand.NewPCG(1, 2))
		for i := range 600 {
			ctx, cancel := context.WithCancel(ctx)
			wait := time.Duration(random.IntN(200)) * time.Microsecond
			timer := time.AfterFunc(wait, cancel)
			id := strconv.Itoa(i)
			err := finish(pool.RoundTrip(target.request(ctx, "POST", id)))
			timer.Stop()
			cancel()
			if err != nil && IsUnsent(err) {
				unsent.Add(1)
				defer func() { Expect(target.runs(id)).To(BeZero(), id) }()
			}
		}
		time.Sleep(50 * time.Millisecond) // a write that slipped past would arrive now
		Expect(unsent.Load()).NotTo(BeZero())
	})

	It("keeps within its limit and makes callers wait", func() {
		var now, most atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			most.Store(max(most.Load(), now.Add(1)))
			time.Sleep(time.Millisecond)
			now.Add(-1)
		}))
		DeferCleanup(server.Close)
		pool := NewPool(qhid.Address(strings.TrimPrefix(server.URL, "http://")), 3)
		DeferCleanup(pool.Close)
		var all sync.WaitGroup
		for range 60 {
			all.Go(func() {
				defer GinkgoRecover()
				req, _ := http.NewRequestWithContext(ctx, "GET", server.URL, http.NoBody)
				Expect(finish(pool.RoundTrip(req))).To(Succeed())
			})
		}
		all.Wait()
		Expect(most.Load()).To(BeNumerically("<=", 3))
		Expect(pool.OpenConns()).To(BeNumerically("<=", 3))
	})

	It("drops the idle connections after a silent one", func() {
		target := newRawTarget(func(int) bool { return true })
		pool := target.pool(4)
		first, err := pool.RoundTrip(target.request(ctx, "GET", "1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(finish(pool.RoundTrip(target.request(ctx, "GET", "2")))).To(Succeed())
		Expect(finish(first, nil)).To(Succeed())
		Eventually(func() int { pool.mu.Lock(); defer pool.mu.Unlock(); return len(pool.idle) }).Should(Equal(2))
		silent, cancel := context.WithCancelCause(ctx)
		cancel(ErrFirstByteTimeout)
		Expect(finish(pool.RoundTrip(target.request(silent, "GET", "3")))).NotTo(Succeed())
		Expect(pool.OpenConns()).To(BeZero())
		Expect(finish(pool.RoundTrip(target.request(ctx, "GET", "4")))).To(Succeed())
	})
})
