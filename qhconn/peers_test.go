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

	"quetzalhaven.dev/qhforward"
	"quetzalhaven.dev/qhid"
)

// forward stands between a node and the server.
func forward(server *h2Server) (*qhforward.Forwarder, string) {
	f, clean, err := qhforward.New(context.Background(), qhid.Address(server.Listener.Addr().String()))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(clean)
	return f, string(f.Address())
}

// h2Server speaks HTTP/2 without TLS and counts.
type h2Server struct {
	*httptest.Server
	opened, calls atomic.Int64
}

func newH2() *h2Server {
	s := &h2Server{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.calls.Add(1)
		_, _ = io.WriteString(w, "whole")
	}))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	s.Config.Protocols, s.Config.HTTP2 = &protocols, HTTP2Config()
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.opened.Add(1)
		}
	}
	s.Start()
	DeferCleanup(func() { _ = s.Config.Close() })
	return s
}

func newPeers() *PeerPool {
	peers, clean := NewPeerPool()
	DeferCleanup(clean)
	return peers
}

func get(peers *PeerPool, address string) (string, error) {
	req, err := http.NewRequest("GET", "http://"+address+"/", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	resp, err := peers.RoundTrip(qhid.Address(address), req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

var _ = Describe("connections between nodes", func() {
	It("notice a silent connection and send new calls over a new one", func() {
		server := newH2()
		f, address := forward(server)
		peers := newPeers()
		Expect(get(peers, address)).To(Equal("whole"))
		f.Blackhole()
		start := time.Now()
		_, err := get(peers, address)
		Expect(err).To(HaveOccurred())
		Expect(IsUnsent(err)).To(BeFalse())
		AddReportEntry("noticed after", time.Since(start).String())
		Expect(get(peers, address)).To(Equal("whole"))
		Expect(server.opened.Load()).To(BeEquivalentTo(2))
	})

	It("send new calls elsewhere before the silence is certain", func() {
		f, address := forward(newH2())
		peers := newPeers()
		Expect(get(peers, address)).To(Equal("whole"))
		f.Blackhole()
		lost := make(chan error, 1)
		var waiting sync.WaitGroup
		waiting.Go(func() { _, err := get(peers, address); lost <- err })
		Eventually(func() bool {
			found, _ := peers.addresses.Load(qhid.Address(address))
			node := found.(*peer)
			node.mu.Lock()
			defer node.mu.Unlock()
			return len(node.conns) == 1 && node.conns[0].doubtful(time.Now())
		}).WithTimeout(20 * time.Second).WithPolling(20 * time.Millisecond).Should(BeTrue())
		Expect(get(peers, address)).To(Equal("whole"))
		Expect(lost).NotTo(Receive())
		waiting.Wait()
		Expect(<-lost).To(HaveOccurred())
	})

	It("send nothing to a node that listens and is frozen", func() {
		server := newH2()
		f, address := forward(server)
		f.Pause()
		_, err := get(newPeers(), address)
		Expect(IsUnsent(err)).To(BeTrue(), "%v", err)
		f.Resume()
		Expect(get(newPeers(), address)).To(Equal("whole"))
		Expect(server.calls.Load()).To(BeEquivalentTo(1))
	})

	DescribeTable("call unsent what the other end never looked at, and nothing else", func(unsent bool, answer func(*http2.Framer, uint32) error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		var serving sync.WaitGroup
		serving.Go(func() { answerAll(listener, answer) })
		DeferCleanup(func() { _ = listener.Close(); serving.Wait() })
		_, err = get(newPeers(), listener.Addr().String())
		Expect(err).To(HaveOccurred())
		Expect(IsUnsent(err)).To(Equal(unsent), err.Error())
	},
		Entry("a shutdown below it", true, func(f *http2.Framer, _ uint32) error { return f.WriteGoAway(0, http2.ErrCodeNo, nil) }),
		Entry("a refused stream", true, func(f *http2.Framer, id uint32) error { return f.WriteRSTStream(id, http2.ErrCodeRefusedStream) }),
		Entry("a reset stream", false, func(f *http2.Framer, id uint32) error { return f.WriteRSTStream(id, http2.ErrCodeProtocol) }),
		Entry("a broken connection", false, func(*http2.Framer, uint32) error { return io.EOF }),
	)

	It("say at once that a node does not listen", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = get(newPeers(), listener.Addr().String())
		Expect(IsUnsent(err)).To(BeTrue())
	})

	It("are few for many calls that come together", func() {
		server := newH2()
		peers := newPeers()
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() {
				defer GinkgoRecover()
				Expect(get(peers, server.Listener.Addr().String())).To(Equal("whole"))
			})
		}
		all.Wait()
		Expect(server.opened.Load()).To(BeNumerically("<=", maxPeerConns))
	})
})

// answerAll answers each request with frames.
func answerAll(listener net.Listener, answer func(*http2.Framer, uint32) error) {
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
