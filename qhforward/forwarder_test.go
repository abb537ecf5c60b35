package qhforward_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"quetzalhaven.dev/qhforward"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstream"
)

// eventTimeout bounds the wait for an expected event.
const eventTimeout = 20 * time.Second

// noDataDuration is how long expectNothing checks that no byte arrives.
const noDataDuration = 50 * time.Millisecond

var _ = Describe("Forwarder", func() {
	var forwarder *qhforward.Forwarder
	BeforeEach(func() {
		existing := goleak.IgnoreCurrent()
		DeferCleanup(func() { Expect(goleak.Find(existing)).To(Succeed()) })
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		group, stop := qhgroup.New(context.Background())
		DeferCleanup(stop)
		DeferCleanup(listener.Close)
		group.Go(func(context.Context) { echo(group, listener) })
		var closeForwarder func()
		forwarder, closeForwarder, err = qhforward.New(context.Background(), qhid.Address(listener.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeForwarder)
	})

	dial := func() net.Conn {
		conn, err := net.Dial("tcp", string(forwarder.Address()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}
	expectEcho := func(conn net.Conn, text string) {
		Expect(conn.SetReadDeadline(time.Now().Add(eventTimeout))).To(Succeed())
		got := make([]byte, len(text))
		_, err := io.ReadFull(conn, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(text))
	}
	expectNoData := func(conn net.Conn) {
		Expect(conn.SetReadDeadline(time.Now().Add(noDataDuration))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue())
	}
	send := func(conn net.Conn, text string) {
		_, err := conn.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}

	It("forwards bytes and the end of the stream", func() {
		conn := dial()
		send(conn, "oak")
		expectEcho(conn, "oak")
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(conn.SetReadDeadline(time.Now().Add(eventTimeout))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
		Expect(forwarder.Bytes()).To(Equal(qhid.Bytes(6)))
	})

	It("forwards a reset while bytes are sent the other way", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		group, stop := qhgroup.New(context.Background())
		DeferCleanup(stop)
		DeferCleanup(listener.Close)
		group.Go(func(context.Context) { respondAndReset(listener) })
		forwarder, closeForwarder, err := qhforward.New(context.Background(), qhid.Address(listener.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeForwarder)
		for range 50 {
			plain, err := net.Dial("tcp", string(forwarder.Address()))
			Expect(err).NotTo(HaveOccurred())
			conn := qhstream.NewConn(plain)
			Expect(conn.SetDeadline(time.Now().Add(eventTimeout))).To(Succeed())
			var sending sync.WaitGroup
			sending.Go(func() {
				var err error
				for i := 0; i < 100 && err == nil; i++ {
					_, err = conn.Write(make([]byte, 16<<10))
				}
			})
			_, err = io.ReadAll(conn)
			_ = conn.Close()
			sending.Wait()
			Expect(err).To(HaveOccurred())
		}
	})

	It("forwards nothing while paused", func() {
		conn := dial()
		forwarder.Pause()
		send(conn, "oak")
		expectNoData(conn)
		forwarder.Resume()
		expectEcho(conn, "oak")
	})

	It("drops the bytes of open connections permanently while new ones work", func() {
		conn := dial()
		send(conn, "oak")
		expectEcho(conn, "oak")
		forwarder.Blackhole()
		send(conn, "elm")
		expectNoData(conn)
		newConn := dial()
		send(newConn, "ash")
		expectEcho(newConn, "ash")
		expectNoData(conn)
	})

	It("closes connections until restored", func() {
		conn := dial()
		send(conn, "oak")
		expectEcho(conn, "oak")
		forwarder.Disconnect()
		Expect(conn.SetReadDeadline(time.Now().Add(eventTimeout))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse())
		forwarder.Restore()
		newConn := dial()
		send(newConn, "ash")
		expectEcho(newConn, "ash")
	})
})

// echo accepts connections and sends back what it receives.
func echo(group *qhgroup.Group, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		group.Go(func(context.Context) {
			defer func() { _ = conn.Close() }()
			_, _ = io.Copy(conn, conn)
		})
	}
}

// respondAndReset accepts connections, reads a byte of each, responds and resets it.
func respondAndReset(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "oak")
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}
