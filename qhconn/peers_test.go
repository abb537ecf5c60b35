package qhconn

import (
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

	"quetzalhaven.dev/qhid"
)

// forwarder passes bytes on until it is told that its connections go silent.
type forwarder struct {
	listener net.Listener
	to       string
	// silent holds the number of connections that pass nothing any more.
	silent atomic.Int64
	opened atomic.Int64
}

func newForwarder(to string) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &forwarder{listener: listener, to: to}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			nth := f.opened.Add(1)
			serving.Go(func() { f.copy(nth, in, out) })
			serving.Go(func() { f.copy(nth, out, in) })
		}
	})
	DeferCleanup(func() { _ = listener.Close(); serving.Wait() })
	return f
}

func (f *forwarder) copy(nth int64, from, to net.Conn) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if nth <= f.silent.Load() {
			continue // the bytes are lost and the connection stays open
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// newH2 starts a server that speaks HTTP/2 without TLS.
func newH2(handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols, server.Config.HTTP2 = &protocols, HTTP2()
	server.Start()
	DeferCleanup(func() { _ = server.Config.Close() })
	return server
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
		release := make(chan struct{})
		server := newH2(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-release
			}
			_, _ = io.WriteString(w, "whole")
		})
		DeferCleanup(func() { close(release) })
		f := newForwarder(server.Listener.Addr().String())
		peers := newPeers()
		address := f.listener.Addr().String()
		Expect(get(peers, address)).To(Equal("whole"))
		f.silent.Store(1)
		start := time.Now()
		_, err := get(peers, address)
		Expect(err).To(HaveOccurred())
		Expect(IsUnsent(err)).To(BeFalse())
		AddReportEntry("noticed after", time.Since(start).String())
		Expect(get(peers, address)).To(Equal("whole"))
		Expect(f.opened.Load()).To(BeEquivalentTo(2))
	})

	It("send new calls elsewhere before the silence is certain", func() {
		server := newH2(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
		f := newForwarder(server.Listener.Addr().String())
		peers := newPeers()
		address := f.listener.Addr().String()
		Expect(get(peers, address)).To(Equal("whole"))
		f.silent.Store(1)
		lost := make(chan error, 1)
		var waiting sync.WaitGroup
		waiting.Go(func() { _, err := get(peers, address); lost <- err })
		Eventually(func() int64 { return f.opened.Load() }).WithTimeout(20 * time.Second).WithPolling(50 * time.Millisecond).Should(
			Satisfy(func(int64) bool {
				found, _ := peers.addresses.Load(qhid.Address(address))
				node := found.(*peer)
				node.mu.Lock()
				defer node.mu.Unlock()
				return len(node.conns) == 1 && node.conns[0].doubtful(time.Now())
			}))
		Expect(get(peers, address)).To(Equal("whole"))
		Expect(lost).NotTo(Receive())
		waiting.Wait()
		Expect(<-lost).To(HaveOccurred())
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
		server := newH2(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
		f := newForwarder(server.Listener.Addr().String())
		peers := newPeers()
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() {
				defer GinkgoRecover()
				Expect(get(peers, f.listener.Addr().String())).To(Equal("whole"))
			})
		}
		all.Wait()
		Expect(f.opened.Load()).To(BeNumerically("<=", maxPeerConns))
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
