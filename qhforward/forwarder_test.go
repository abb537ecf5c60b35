package qhforward_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"quetzalhaven.dev/qhforward"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// limit bounds a wait for what has to happen.
const limit = 20 * time.Second

// quiet is how long nothing may arrive.
const quiet = 50 * time.Millisecond

var _ = Describe("Forwarder", func() {
	var forwarder *qhforward.Forwarder
	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		DeferCleanup(func() { Expect(goleak.Find(before)).To(Succeed()) })
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
		Expect(conn.SetReadDeadline(time.Now().Add(limit))).To(Succeed())
		got := make([]byte, len(text))
		_, err := io.ReadFull(conn, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(text))
	}
	expectNothing := func(conn net.Conn) {
		Expect(conn.SetReadDeadline(time.Now().Add(quiet))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue())
	}
	send := func(conn net.Conn, text string) {
		_, err := conn.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}

	It("passes bytes both ways and the end of them", func() {
		conn := dial()
		send(conn, "oak")
		expectEcho(conn, "oak")
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(conn.SetReadDeadline(time.Now().Add(limit))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
		Expect(forwarder.Bytes()).To(Equal(qhid.Bytes(6)))
	})

	It("holds bytes while paused", func() {
		conn := dial()
		forwarder.Pause()
		send(conn, "oak")
		expectNothing(conn)
		forwarder.Resume()
		expectEcho(conn, "oak")
	})

	It("silences open connections for good while new ones work", func() {
		conn := dial()
		send(conn, "oak")
		expectEcho(conn, "oak")
		forwarder.Blackhole()
		send(conn, "elm")
		expectNothing(conn)
		fresh := dial()
		send(fresh, "ash")
		expectEcho(fresh, "ash")
		expectNothing(conn)
	})

	It("closes connections while cut", func() {
		conn := dial()
		send(conn, "oak")
		expectEcho(conn, "oak")
		forwarder.Disconnect()
		Expect(conn.SetReadDeadline(time.Now().Add(limit))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse())
		forwarder.Restore()
		fresh := dial()
		send(fresh, "ash")
		expectEcho(fresh, "ash")
	})
})

// echo sends back what arrives on each connection.
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
