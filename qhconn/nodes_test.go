package qhconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhforward"
	"quetzalhaven.dev/qhid"
)

// newForwarder returns a forwarder in front of the server, and its address.
func newForwarder(server *h2Server) (*qhforward.Forwarder, string) {
	f, cleanup, err := qhforward.New(context.Background(), qhid.Address(server.Listener.Addr().String()))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(cleanup)
	return f, string(f.Address())
}

// h2Server is an HTTP/2 server without TLS that counts connections and calls.
type h2Server struct {
	*httptest.Server
	connCount, callCount atomic.Int64
}

func newH2Server() *h2Server {
	s := &h2Server{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.callCount.Add(1)
		_, _ = io.WriteString(w, "whole")
	}))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	s.Config.Protocols, s.Config.HTTP2 = &protocols, HTTP2Config()
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connCount.Add(1)
		}
	}
	s.Start()
	DeferCleanup(func() { _ = s.Config.Close() })
	return s
}

func newTestNodePool() *NodePool {
	pool, cleanup := NewNodePool()
	DeferCleanup(cleanup)
	return pool
}

func get(pool *NodePool, address string) (string, error) {
	req, err := http.NewRequest("GET", "http://"+address+"/", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	resp, err := pool.RoundTrip(qhid.Address(address), qhclock.Now(), req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

var _ = Describe("NodePool", func() {
	It("detects an unresponsive connection and sends new calls over a new one", func() {
		server := newH2Server()
		f, address := newForwarder(server)
		pool := newTestNodePool()
		Expect(get(pool, address)).To(Equal("whole"))
		f.Blackhole()
		start := time.Now()
		_, err := get(pool, address)
		Expect(err).To(HaveOccurred())
		Expect(IsUnprocessed(err)).To(BeFalse())
		AddReportEntry("detected after", time.Since(start).String())
		Expect(get(pool, address)).To(Equal("whole"))
		Expect(server.connCount.Load()).To(BeEquivalentTo(2))
	})

	It("sends new calls over a new connection while the old one is suspect", func() {
		f, address := newForwarder(newH2Server())
		pool := newTestNodePool()
		Expect(get(pool, address)).To(Equal("whole"))
		f.Blackhole()
		firstErr := make(chan error, 1)
		var calls sync.WaitGroup
		calls.Go(func() { _, err := get(pool, address); firstErr <- err })
		Eventually(func() bool {
			found, _ := pool.nodes.Load(qhid.Address(address))
			n := found.(*nodeConns)
			n.mu.Lock()
			defer n.mu.Unlock()
			return len(n.conns) == 1 && n.conns[0].isSuspect(time.Now())
		}).WithTimeout(20 * time.Second).WithPolling(20 * time.Millisecond).Should(BeTrue())
		Expect(get(pool, address)).To(Equal("whole"))
		Expect(firstErr).NotTo(Receive())
		calls.Wait()
		Expect(<-firstErr).To(HaveOccurred())
	})

	It("sends the first call over a new connection if the idle one does not acknowledge pings", func() {
		server := newH2Server()
		f, address := newForwarder(server)
		pool := newTestNodePool()
		Expect(get(pool, address)).To(Equal("whole"))
		f.Blackhole()
		time.Sleep(SuspectAfter + (PingTimeout-SuspectAfter+PingIdleTimeout)/2) // the connection is not closed yet
		Expect(get(pool, address)).To(Equal("whole"))
		Expect(server.connCount.Load()).To(BeEquivalentTo(2))
	})

	It("sends nothing to an unresponsive node whose connections are accepted", func() {
		server := newH2Server()
		f, address := newForwarder(server)
		f.Pause()
		_, err := get(newTestNodePool(), address)
		Expect(IsUnprocessed(err)).To(BeTrue(), "%v", err)
		f.Resume()
		Expect(get(newTestNodePool(), address)).To(Equal("whole"))
		Expect(server.callCount.Load()).To(BeEquivalentTo(1))
	})

	DescribeTable("reports only requests as unprocessed that the node did not process", func(unprocessed bool, answer func(*http2.Framer, uint32) error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		var wg sync.WaitGroup
		wg.Go(func() { serveFrames(listener, answer) })
		DeferCleanup(func() { _ = listener.Close(); wg.Wait() })
		_, err = get(newTestNodePool(), listener.Addr().String())
		Expect(err).To(HaveOccurred())
		Expect(IsUnprocessed(err)).To(Equal(unprocessed), err.Error())
	},
		Entry("a GOAWAY with a lower stream ID", true, func(f *http2.Framer, _ uint32) error { return f.WriteGoAway(0, http2.ErrCodeNo, nil) }),
		Entry("a refused stream", true, func(f *http2.Framer, id uint32) error { return f.WriteRSTStream(id, http2.ErrCodeRefusedStream) }),
		Entry("a reset stream", false, func(f *http2.Framer, id uint32) error { return f.WriteRSTStream(id, http2.ErrCodeProtocol) }),
		Entry("a broken connection", false, func(*http2.Framer, uint32) error { return io.EOF }),
	)

	It("fails immediately when a node does not listen", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = get(newTestNodePool(), listener.Addr().String())
		Expect(IsUnprocessed(err)).To(BeTrue())
	})

	It("bounds the connections for many concurrent calls", func() {
		server := newH2Server()
		pool := newTestNodePool()
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(get(pool, server.Listener.Addr().String())).To(Equal("whole"))
			})
		}
		wg.Wait()
		Expect(server.connCount.Load()).To(BeNumerically("<=", maxNodeConns))
	})
})

// serveFrames accepts connections and calls answer for each HEADERS frame.
func serveFrames(listener net.Listener, answer func(*http2.Framer, uint32) error) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, len(http2.ClientPreface)))
		framer := http2.NewFramer(conn, conn)
		err = framer.WriteSettings()
		for err == nil {
			var frame http2.Frame
			if frame, err = framer.ReadFrame(); err == nil && frame.Header().Type == http2.FrameHeaders {
				err = answer(framer, frame.Header().StreamID)
			}
		}
		_ = conn.Close()
	}
}
