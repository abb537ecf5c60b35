package qhstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhstream"
)

const (
	// eventTimeout bounds the wait for an expected event.
	eventTimeout = 20 * time.Second
	request      = "request"
	response     = "response"
)

// connect returns both ends of a connection, the second one as the peer's.
func connect() (*qhstream.Conn, *net.TCPConn) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	conn, err := qhstream.Dialer((&net.Dialer{}).DialContext)(context.Background(), "tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	peer, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = peer.Close() })
	Expect(conn.SetDeadline(time.Now().Add(eventTimeout))).To(Succeed())
	Expect(peer.SetDeadline(time.Now().Add(eventTimeout))).To(Succeed())
	return conn.(*qhstream.Conn), peer.(*net.TCPConn)
}

// endings are ways in which a peer ends a connection after it has read a part of the request
// and written the response.
var endings = map[string]struct {
	end func(*net.TCPConn)
	// complete tells whether the peer ends its stream.
	complete bool
}{
	"a reset":                   {end: resetConn},
	"a close with unread bytes": {end: func(peer *net.TCPConn) { _ = peer.Close() }},
	"the end of the stream":     {end: func(peer *net.TCPConn) { _ = peer.CloseWrite() }, complete: true},
	"the end of the stream, then a reset": {complete: true, end: func(peer *net.TCPConn) {
		_ = peer.CloseWrite()
		resetConn(peer)
	}},
	"the end of the stream, then reads": {complete: true, end: func(peer *net.TCPConn) {
		_ = peer.CloseWrite()
		_, _ = io.Copy(io.Discard, peer)
	}},
}

func resetConn(peer *net.TCPConn) {
	_ = peer.SetLinger(0)
	_ = peer.Close()
}

var _ = Describe("the end of a connection", func() {
	// writeUntilError makes the kernel report an error of the connection to a write.
	writeUntilError := func(conn net.Conn) error {
		var err error
		for deadline := time.Now().Add(eventTimeout); err == nil && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			_, err = io.WriteString(conn, request)
		}
		return err
	}

	DescribeTable("that was reported to a write", func(read func(*qhstream.Conn) (string, error), afterReset error) {
		for name, ending := range endings {
			conn, peer := connect()
			_, err := io.WriteString(conn, request)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(peer, make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(peer, response)
			Expect(err).NotTo(HaveOccurred())
			var running sync.WaitGroup
			running.Go(func() { ending.end(peer) })
			if !ending.complete {
				Expect(writeUntilError(conn)).To(MatchError(syscall.ECONNRESET), name)
			}
			got, err := read(conn)
			Expect(got).To(Equal(response), name)
			if ending.complete {
				Expect(err).NotTo(HaveOccurred(), name)
			} else if afterReset != nil {
				Expect(err).To(MatchError(afterReset), name)
			} else {
				Expect(err).NotTo(HaveOccurred(), name)
			}
			_ = conn.Close()
			running.Wait()
		}
	},
		Entry("is a reset to a read", func(conn *qhstream.Conn) (string, error) {
			got, err := io.ReadAll(conn)
			return string(got), err
		}, syscall.ECONNRESET),
		Entry("looks complete on a plain connection", func(conn *qhstream.Conn) (string, error) {
			got, err := io.ReadAll(conn.Conn)
			return string(got), err
		}, nil),
	)

	It("is told from a reset while another goroutine writes", func() {
		const rounds = 200
		for name, ending := range endings {
			for range rounds {
				conn, peer := connect()
				var running sync.WaitGroup
				running.Go(func() {
					_, _ = io.ReadFull(peer, make([]byte, len(request)-1))
					_, _ = io.WriteString(peer, response)
					ending.end(peer)
				})
				running.Go(func() {
					var err error
					for i := 0; i < rounds && err == nil; i++ {
						_, err = io.WriteString(conn, request)
					}
				})
				got, err := io.ReadAll(conn)
				if ending.complete {
					Expect(err).NotTo(HaveOccurred(), name)
					Expect(string(got)).To(Equal(response), name)
				} else {
					Expect(err).To(HaveOccurred(), name)
				}
				_ = conn.Close()
				running.Wait()
				_ = peer.Close()
			}
		}
	})

	It("does not wait for a write that is blocked", func() {
		conn, peer := connect()
		_, err := io.WriteString(peer, response)
		Expect(err).NotTo(HaveOccurred())
		var writing sync.WaitGroup
		defer writing.Wait()
		defer func() { _ = conn.Close() }()
		writing.Go(func() { _, _ = io.WriteString(conn, strings.Repeat(request, 4<<20)) })
		_, err = io.ReadFull(peer, make([]byte, len(request))) // the write has begun
		Expect(err).NotTo(HaveOccurred())
		Expect(peer.CloseWrite()).To(Succeed())
		ended := make(chan error, 1)
		writing.Go(func() {
			_, err := io.ReadAll(conn)
			ended <- err
		})
		Eventually(ended).WithTimeout(eventTimeout / 2).Should(Receive(BeNil()))
	})

	It("is reported after this side has closed the connection", func() {
		conn, peer := connect()
		Expect(conn.Close()).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(net.ErrClosed))
		Expect(peer.Close()).To(Succeed())
	})
})
