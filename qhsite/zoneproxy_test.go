package qhsite

import (
	"context"
	"io"
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

var _ = Describe("A zone proxy", func() {
	var (
		faults  *networkFaults
		address qhid.Address
	)
	BeforeEach(func(ctx SpecContext) {
		group, stop := qhgroup.New(context.WithoutCancel(ctx))
		echo, err := listen(ctx, "127.0.0.1")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			Expect(echo.Close()).To(Succeed())
			stop()
		})
		group.Go(func(ctx context.Context) {
			for {
				conn, err := echo.Accept()
				if err != nil {
					return
				}
				group.Go(func(context.Context) {
					_, _ = io.Copy(conn, conn)
					_ = conn.Close()
				})
			}
		})
		faults = newNetworkFaults(group)
		faults.registerProcess(&Process{PID: os.Getpid()}, "kigali-a")
		sources := []qhid.Zone{"kigali-a", "kigali-b", "kigali-c"}
		address, err = faults.startProxy(ctx, "127.0.0.1", "kigali-b", qhid.Address(echo.Addr().String()), sources)
		Expect(err).NotTo(HaveOccurred())
	})

	dial := func() net.Conn {
		GinkgoHelper()
		conn, err := net.Dial("tcp", string(address))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}
	send := func(conn net.Conn, text string) {
		GinkgoHelper()
		_, err := io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
	}
	// expectEcho waits until the echo server has returned text.
	expectEcho := func(conn net.Conn, text string) {
		GinkgoHelper()
		Expect(conn.SetReadDeadline(time.Now().Add(30 * time.Second))).To(Succeed())
		buf := make([]byte, len(text))
		_, err := io.ReadFull(conn, buf)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(buf)).To(Equal(text))
	}
	// expectNothing checks that no byte arrives for 300 ms.
	expectNothing := func(conn net.Conn) {
		GinkgoHelper()
		Expect(conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
		n, err := conn.Read(make([]byte, 1))
		Expect(n).To(BeZero())
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	}
	site := func() *Site { return &Site{faults: faults} }

	It("holds back bytes of open and new connections during a partition and delivers them after it", func() {
		conn := dial()
		send(conn, "one")
		expectEcho(conn, "one")
		site().Partition("kigali-b", "kigali-a")
		send(conn, "two")
		expectNothing(conn)
		newConn := dial()
		send(newConn, "new")
		expectNothing(newConn)
		site().Heal("kigali-a", "kigali-b")
		expectEcho(conn, "two")
		expectEcho(newConn, "new")
	})

	It("does not affect connections between other zones", func() {
		conn := dial()
		site().Partition("kigali-c", "kigali-b")
		send(conn, "one")
		expectEcho(conn, "one")
	})

	It("permanently drops the bytes of blackholed connections and forwards new connections", func() {
		conn := dial()
		send(conn, "one")
		expectEcho(conn, "one")
		site().Blackhole("kigali-a", "kigali-b")
		send(conn, "two")
		expectNothing(conn)
		newConn := dial()
		send(newConn, "new")
		expectEcho(newConn, "new")
		expectNothing(conn)
	})
})
