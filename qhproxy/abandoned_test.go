package qhproxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconn"
	"quetzalhaven.dev/qhforward"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

const (
	// callerPatience is how long the callers of these tests wait before they leave.
	callerPatience = 290 * time.Millisecond
	// maxRunAfterLeaving is how long after its caller has left a call may begin to run.
	maxRunAfterLeaving = 500 * time.Millisecond
	// abandonedCallers is the number of callers that leave.
	abandonedCallers = 60
)

// runTimes records when targets begin to run calls, by request ID.
type runTimes struct {
	mu    sync.Mutex
	begun map[string]time.Time
}

func newRunTimes() *runTimes { return &runTimes{begun: make(map[string]time.Time)} }

func (r *runTimes) add(request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun[request.Header.Get(qhheader.RequestID)] = time.Now()
}

// late returns how many calls began too long after their callers had left, and the longest time.
func (r *runTimes) late(left map[string]time.Time) (late int, longest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, begun := range r.begun {
		after := begun.Sub(left[id])
		if left[id].IsZero() || after <= maxRunAfterLeaving {
			continue
		}
		late++
		longest = max(longest, after)
	}
	return late, longest
}

func (r *runTimes) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.begun)
}

// sendAndLeave sends calls that their callers give up after callerPatience. It returns when
// the callers that got no response left, and how many got one.
func sendAndLeave(n *node, timeout string) (left map[string]time.Time, answered int) {
	left = make(map[string]time.Time)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range abandonedCallers {
		callers.Go(func() {
			defer GinkgoRecover()
			id := fmt.Sprint("left-", i)
			ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
			defer cancel()
			result := doCall(ctx, n, http.MethodPost, "/orders", id, nil, func(r *http.Request) {
				if timeout != "" {
					r.Header.Set(qhheader.Timeout, timeout)
				}
			})
			mu.Lock()
			defer mu.Unlock()
			if result.err == nil {
				answered++
			} else {
				left[id] = time.Now()
			}
		})
	}
	callers.Wait()
	return left, answered
}

var _ = Describe("Calls whose callers have left", func() {
	var f *fleet
	var runs *runTimes
	BeforeEach(func() {
		f, runs = newFleet(GinkgoTB(), newRoute("orders", "/orders", "desk")), newRunTimes()
		f.startNode("a", "recife-a")
		f.startNode("b", "recife-a")
	})

	// Guards against calls that a silent network path delivers, and targets run, after their callers have left.
	DescribeTable("do not run when a path that was silent delivers them", func(timeout string, silent time.Duration) {
		forwarder := f.startBehindForwarder("b", abandonedCallers, func(_ http.ResponseWriter, r *http.Request) { runs.add(r) })
		for i := range 20 { // opens connections
			Expect(doCall(context.Background(), f.nodes["a"], http.MethodPost, "/orders", fmt.Sprint("first-", i), nil).status).To(Equal(http.StatusOK))
		}
		forwarder.Pause()
		resume := time.AfterFunc(silent, forwarder.Resume)
		defer resume.Stop()
		left, _ := sendAndLeave(f.nodes["a"], timeout)
		time.Sleep(silent)
		late, longest := runs.late(left)
		Expect(late).To(BeZero(), "of %d callers that left; the longest %s after its caller", len(left), longest)
		Expect(doCall(context.Background(), f.nodes["a"], http.MethodPost, "/orders", "last", nil).status).To(Equal(http.StatusOK))
	},
		Entry("after their deadlines", "0.29", 2*time.Second),
		Entry("after their deadlines, on connections that are still in use", "0.29", 1100*time.Millisecond),
		Entry("long before their deadlines", "", 2*time.Second),
		Entry("long before their deadlines, on connections that are still in use", "", 1100*time.Millisecond),
	)

	// Guards against queued calls that run although the path to the node of their callers is silent.
	It("do not run after a wait in a queue while the path to their callers is silent", func() {
		free := make(chan struct{})
		forwarder := f.startBehindForwarder("b", 1, func(_ http.ResponseWriter, r *http.Request) {
			runs.add(r)
			if r.Header.Get(qhheader.RequestID) == "holder" {
				<-free
			}
		})
		var holder sync.WaitGroup
		holder.Go(func() { _ = doCall(context.Background(), f.nodes["b"], http.MethodPost, "/orders", "holder", nil) })
		Eventually(runs.count).Should(Equal(1))
		silence := time.AfterFunc(callerPatience/2, forwarder.Pause)
		defer silence.Stop()
		left, _ := sendAndLeave(f.nodes["a"], "")
		time.Sleep(time.Second)
		close(free)
		holder.Wait()
		time.Sleep(callerPatience)
		late, longest := runs.late(left)
		Expect(late).To(BeZero(), "of %d callers that left; the longest %s after its caller", len(left), longest)
	})

	// Guards against targets that work on for callers that have left behind a silent path.
	It("are cancelled at their targets half a second after the silent connection counts as broken", func() {
		begun, cancelled := make(chan time.Time, 1), make(chan time.Time, 1)
		var forwarder *qhforward.Forwarder
		forwarder = f.startBehindForwarder("b", 1, func(_ http.ResponseWriter, r *http.Request) {
			forwarder.Pause()
			begun <- time.Now()
			<-r.Context().Done()
			cancelled <- time.Now()
		})
		ctx, leave := context.WithTimeout(context.Background(), callerPatience)
		defer leave()
		Expect(doCall(ctx, f.nodes["a"], http.MethodPost, "/orders", "left", nil).err).To(HaveOccurred())
		const brokenAfter = nodePingInterval + qhconn.PingTimeout
		Expect(brokenAfter).To(BeNumerically("<", 2*time.Second))
		Expect((<-cancelled).Sub(<-begun)).To(BeNumerically("<=", brokenAfter+maxRunAfterLeaving))
	})

	// Guards against calls that are read together with the end of their connection and run all the same.
	DescribeTable("do not run when their node reads them together with the end of their connections", func(on qhid.Node, requests int) {
		f.startTarget("t1", "desk", on, abandonedCallers, func(_ http.ResponseWriter, r *http.Request) { runs.add(r) })
		gate := make(chan struct{})
		server := startServer(f.nodes["a"].proxy.CallersServer(), func(l net.Listener) net.Listener {
			return f.nodes["a"].proxy.CallersListener(&gatedListener{Listener: l, gate: gate})
		})
		defer server.Close()
		left := make(map[string]time.Time)
		for i := range abandonedCallers {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			var text strings.Builder
			for j := range requests {
				id := fmt.Sprintf("left-%d-%d", i, j)
				fmt.Fprintf(&text, "POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n%s: %s\r\n\r\n", qhheader.RequestID, id)
				left[id] = time.Now()
			}
			_, err = conn.Write([]byte(text.String()))
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
		}
		time.Sleep(2 * maxRunAfterLeaving)
		close(gate)
		time.Sleep(maxRunAfterLeaving)
		late, longest := runs.late(left)
		Expect(late).To(BeZero(), "of %d callers that left; the longest %s after its caller", len(left), longest)
	},
		Entry("and the target is on the same VM", qhid.Node("a"), 1),
		Entry("and the target is on another VM", qhid.Node("b"), 1),
		Entry("behind other calls", qhid.Node("a"), 3),
	)
})

// gatedListener accepts connections whose bytes cannot be read before the gate is closed.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

// Accept waits for the next connection.
func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: conn.(*net.TCPConn), gate: l.gate}, nil
}

type gatedConn struct {
	*net.TCPConn
	gate chan struct{}
}

// Read waits for the gate, and then reads.
func (c *gatedConn) Read(p []byte) (int, error) {
	<-c.gate
	return c.TCPConn.Read(p)
}
