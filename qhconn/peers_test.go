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
	s.Config.Protocols, s.Config.HTTP2 = &protocols, HTTP2()
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.opened.Add(1)
		}
	}
	s.Start()
	DeferCleanup(func() { _ = s.Config.Close() })
	return s
}

func newPeers() *Peers {
	peers, clean := NewPeers()
	DeferCleanup(clean)
	return peers
}

func get(peers *Peers, address string) (string, error) {
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
		f.Silence()
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
		f.Silence()
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

	It("call unsent what the other end says it never looks at", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		var serving sync.WaitGroup
		serving.Go(func() { refuseAll(listener) })
		DeferCleanup(func() { _ = listener.Close(); serving.Wait() })
		_, err = get(newPeers(), listener.Addr().String())
		Expect(err).To(HaveOccurred())
		Expect(IsUnsent(err)).To(BeTrue(), err.Error())
	})

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

// refuseAll answers the first request on each connection with a graceful
// shutdown that no stream is below.
func refuseAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, len(http2.ClientPreface)))
		framer := http2.NewFramer(conn, conn)
		_ = framer.WriteSettings()
		for {
			frame, err := framer.ReadFrame()
			if err != nil {
				break
			}
			if _, ok := frame.(*http2.HeadersFrame); ok {
				_ = framer.WriteGoAway(0, http2.ErrCodeNo, nil)
			}
		}
		_ = conn.Close()
	}
}
