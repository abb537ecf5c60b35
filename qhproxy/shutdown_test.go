package qhproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

const (
	stopTimeout = 2 * time.Second
	stopDelay   = 900 * time.Millisecond
	// lateInStop is when calls count as sent late after the start of a shutdown.
	lateInStop = stopTimeout / 2
)

// stoppedFleet has a node "a" that is stopped, beside a target of "docs", and another one
// with the only target of "orders".
type stoppedFleet struct {
	*fleet
	a, b *node
	runs executionRecorder
}

func newStoppedFleet() *stoppedFleet {
	f := &stoppedFleet{fleet: newFleet(GinkgoTB(),
		newRoute("docs", "/docs", "docs"),
		newRoute("orders", "/orders", "orders", func(r *qhconfig.Route) { r.Timeout = qhconfig.Duration(stopTimeout / 2) }))}
	f.settings.ShutdownTimeout, f.settings.ShutdownDelay = qhconfig.Duration(stopTimeout), qhconfig.Duration(stopDelay)
	f.a, f.b = f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")
	f.startTarget("d1", "docs", "a", 50, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f.startTarget("o1", "orders", "b", 50, func(w http.ResponseWriter, r *http.Request) {
		f.runs.add(r)
		time.Sleep(80 * time.Millisecond)
		_, _ = io.WriteString(w, "ordered")
	})
	return f
}

// sentOrder is an order and what its caller received.
type sentOrder struct {
	id       string
	sent     time.Time
	status   int
	header   http.Header
	isClosed bool
	err      error
}

// sendOrders sends orders on kept connections until the context ends.
func (f *stoppedFleet) sendOrders(ctx context.Context) func() []sentOrder {
	var mu sync.Mutex
	var orders []sentOrder
	var callers sync.WaitGroup
	for caller := range 8 {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		callers.Go(func() {
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				order := sentOrder{id: fmt.Sprintf("%d-%d", caller, i), sent: time.Now()}
				req, _ := http.NewRequest(http.MethodPost, f.a.callers.URL+"/orders", strings.NewReader("oak"))
				req.Header.Set(qhheader.RequestID, order.id)
				req.Header.Set(qhheader.Timeout, "3")
				resp, err := client.Do(req)
				if order.err = err; err == nil {
					order.status, order.header, order.isClosed = resp.StatusCode, resp.Header, resp.Close
					_, order.err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				mu.Lock()
				orders = append(orders, order)
				mu.Unlock()
				if order.status != http.StatusOK {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	return func() []sentOrder {
		callers.Wait()
		return orders
	}
}

var _ = Describe("The shutdown of a node", func() {
	ctx := context.Background()

	// Guards against calls that are taken late in a shutdown, sent to a target and then cut.
	DescribeTable("cuts no call that was sent late in it", func(hold func(f *stoppedFleet) *node, path string) {
		f := newStoppedFleet()
		if hold != nil {
			for i := range 3 {
				f.startCall(hold(f), path, fmt.Sprint("held-", i))
			}
			Eventually(func() int { return f.a.guards.Get("d1").Load().Running }).WithTimeout(20 * time.Second).Should(Equal(3))
		}
		sending, stopSending := context.WithCancel(ctx)
		defer stopSending()
		finish := f.sendOrders(sending)
		time.Sleep(200 * time.Millisecond)
		begun := time.Now()
		f.a.proxy.Drain(ctx)
		f.a.callers.CloseClientConnections()
		stopSending()
		refused := 0
		for _, order := range finish() {
			ran := f.runs.count(order.id)
			Expect(ran).To(BeNumerically("<=", 1), order.id)
			if order.status == http.StatusServiceUnavailable {
				refused++
				Expect(ran).To(BeZero(), order.id)
				Expect(order.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
				Expect(order.header.Get(qhheader.RetryAfter)).NotTo(BeEmpty())
				Expect(order.isClosed).To(BeTrue(), "the connection is kept")
			}
			if order.sent.Sub(begun) > lateInStop && ran > 0 {
				Expect(order.err).NotTo(HaveOccurred(), "%s, sent %s after the start of the shutdown", order.id, order.sent.Sub(begun))
				Expect(order.status).To(Equal(http.StatusOK), "%s, sent %s after the start of the shutdown", order.id, order.sent.Sub(begun))
			}
		}
		if hold != nil {
			Expect(refused).To(BeNumerically(">", 0))
		}
	},
		Entry("with nothing else in flight", nil, ""),
		Entry("while calls of its callers are at its target", func(f *stoppedFleet) *node { return f.a }, "/docs"),
		Entry("while calls of another node are at its target", func(f *stoppedFleet) *node { return f.b }, "/docs"),
	)

	It("closes kept connections with its responses, and idle ones once it refuses calls", func() {
		f := newStoppedFleet()
		held := f.startCall(f.b, "/docs", "held")
		Eventually(func() int { return f.a.guards.Get("d1").Load().Running }).WithTimeout(20 * time.Second).Should(Equal(1))
		idle, half := dialCallers(f.a), dialCallers(f.a)
		for _, conn := range []*callerClient{idle, half} {
			conn.send("GET /orders HTTP/1.1\r\nHost: h\r\n\r\n")
			Expect(conn.read().StatusCode).To(Equal(http.StatusOK))
		}
		half.send("GET /orders HTTP/1.1\r\nHos")
		drained := make(chan DrainResult, 1)
		var draining sync.WaitGroup
		draining.Go(func() { drained <- f.a.proxy.Drain(ctx) })
		Eventually(f.a.proxy.targetCalls.closed.Load).WithTimeout(20 * time.Second).Should(BeTrue())
		kept := dialCallers(f.a)
		kept.send("GET /orders HTTP/1.1\r\nHost: h\r\n\r\n")
		resp := kept.read()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
		_, err := idle.reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		half.send("t: h\r\n" + qhheader.Timeout + ": 3\r\n\r\n")
		resp = half.read()
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted))
		Expect(resp.Close).To(BeTrue())
		draining.Wait()
		Expect((<-held).status).To(Equal(http.StatusBadGateway))
		Expect((<-drained).Cancelled).To(Equal(1))
	})

	It("answers the pipelined calls that it has sent before it closes their connection", func() {
		f := newStoppedFleet()
		reads := newRoute("reads", "/reads", "orders", func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe })
		f.setRoutes([]qhconfig.Route{reads})
		conn := dialCallers(f.a)
		for i := range 4 {
			conn.send(fmt.Sprintf("GET /reads/%d HTTP/1.1\r\nHost: h\r\n%s: r%d\r\n\r\n", i, qhheader.RequestID, i))
		}
		Eventually(func() int { return f.runs.count("r3") }).WithTimeout(20 * time.Second).Should(Equal(1))
		var draining sync.WaitGroup
		draining.Go(func() { f.a.proxy.Drain(ctx) })
		Eventually(f.a.proxy.targetCalls.closed.Load).WithTimeout(20 * time.Second).Should(BeTrue())
		conn.send(fmt.Sprintf("GET /reads/4 HTTP/1.1\r\nHost: h\r\n%s: r4\r\n\r\n", qhheader.RequestID))
		answered := 0
		for {
			resp, err := http.ReadResponse(conn.reader, nil)
			if err != nil {
				break
			}
			Expect(resp.Header.Get(qhheader.RequestID)).To(Equal(fmt.Sprint("r", answered)))
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("ordered"))
			answered++
		}
		Expect(answered).To(BeNumerically(">=", 4))
		Expect(f.runs.count("r4")).To(Equal(answered - 4))
		draining.Wait()
	})

	It("takes the calls that in-flight calls at its target may have made, and no others", func() {
		f := newStoppedFleet()
		withTimeout := func(value string) func(*http.Request) {
			return func(r *http.Request) { r.Header.Set(qhheader.Timeout, value) }
		}
		var parent sync.WaitGroup
		parent.Go(func() { doCall(ctx, f.b, "GET", "/docs", "parent", nil, withTimeout("1.6")) })
		Eventually(func() int { return f.a.guards.Get("d1").Load().Running }).WithTimeout(20 * time.Second).Should(Equal(1))
		var draining sync.WaitGroup
		draining.Go(func() { f.a.proxy.Drain(ctx) })
		time.Sleep(stopDelay + 50*time.Millisecond)
		Expect(doCall(ctx, f.a, "GET", "/orders", "nested", nil, withTimeout("0.4")).status).To(Equal(http.StatusOK))
		Expect(doCall(ctx, f.a, "GET", "/orders", "other", nil, withTimeout("0.9")).status).To(Equal(http.StatusServiceUnavailable))
		parent.Wait()
		draining.Wait()
		Expect(f.runs.count("other")).To(BeZero())
	})

	It("refuses calls that wait for its target too long to end in time", func() {
		f := newFleet(GinkgoTB(), newRoute("docs", "/docs", "docs"))
		f.settings.ShutdownTimeout = qhconfig.Duration(stopTimeout)
		a, b := f.startNode("a", "kigali-a"), f.startNode("b", "kigali-a")
		runs := &executionRecorder{}
		f.startTarget("d1", "docs", "a", 1, func(_ http.ResponseWriter, r *http.Request) {
			runs.add(r)
			time.Sleep(stopTimeout * 2 / 3)
		})
		Expect(doCall(ctx, b, "GET", "/docs", "first", nil).status).To(Equal(http.StatusOK)) // the guard learns how long calls take
		guard := a.guards.Get("d1")
		running := f.startCall(b, "/docs", "running")
		Eventually(func() int { return guard.Load().Running }).WithTimeout(20 * time.Second).Should(Equal(1))
		queued := f.startCall(b, "/docs", "queued")
		Eventually(func() int { return guard.Load().Queued }).WithTimeout(20 * time.Second).Should(Equal(1))
		Expect(a.proxy.Drain(ctx)).To(Equal(DrainResult{}))
		Expect((<-running).status).To(Equal(http.StatusOK))
		got := <-queued
		Expect(got.header.Get(qhheader.Outcome)).To(Equal(qhheader.OutcomeNotExecuted), got.body)
		Expect(runs.count("queued")).To(BeZero())
	})

	It("does not send a call again that cannot end in time", func() {
		f := newFleet(GinkgoTB(), newRoute("orders", "/orders", "orders", func(r *qhconfig.Route) { r.Retry = qhconfig.RetrySafe }))
		f.settings.ShutdownTimeout, f.settings.ShutdownDelay = qhconfig.Duration(stopTimeout), qhconfig.Duration(stopDelay)
		a := f.startNode("a", "kigali-a")
		f.startNode("b", "kigali-a")
		runs := &executionRecorder{}
		breaking, begun := make(chan struct{}), make(chan struct{}, 2)
		for _, id := range []string{"o1", "o2"} {
			f.startTarget(qhid.Target(id), "orders", "b", 9, func(_ http.ResponseWriter, r *http.Request) {
				runs.add(r)
				if r.Header.Get(qhheader.RequestID) != "breaks" {
					time.Sleep(stopTimeout / 3)
					return
				}
				begun <- struct{}{}
				<-breaking
				panic(http.ErrAbortHandler)
			})
		}
		Expect(doCall(ctx, a, "GET", "/orders", "first", nil).status).To(Equal(http.StatusOK))
		got := f.startCall(a, "/orders", "breaks")
		<-begun
		var draining sync.WaitGroup
		draining.Go(func() { a.proxy.Drain(ctx) })
		time.Sleep(stopTimeout / 2)
		close(breaking)
		answer := <-got
		Expect(answer.status).To(Equal(http.StatusBadGateway), answer.body)
		Expect(answer.header.Get(qhheader.Reason)).To(Equal(string(qhdecision.ConnectionLost)))
		Expect(runs.count("breaks")).To(Equal(1))
		draining.Wait()
	})
})

// callerClient is a caller that writes its requests itself.
type callerClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialCallers(n *node) *callerClient {
	conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	return &callerClient{conn: conn, reader: bufio.NewReader(conn)}
}

func (c *callerClient) send(text string) {
	_, err := io.WriteString(c.conn, text)
	Expect(err).NotTo(HaveOccurred())
}

// read reads a response with its body.
func (c *callerClient) read() *http.Response {
	resp, err := http.ReadResponse(c.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp
}
