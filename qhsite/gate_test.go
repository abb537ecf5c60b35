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

var _ = Describe("A gate", func() {
	var (
		cuts    *cuts
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
		cuts = newCuts()
		cuts.started(&Process{ID: os.Getpid()}, "kigali-a")
		gate := gate{cuts: cuts, zone: "kigali-b", upstream: qhid.Address(echo.Addr().String()), group: group}
		address, err = startGate(ctx, gate, "127.0.0.1")
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
	// expectEcho waits until text comes back.
	expectEcho := func(conn net.Conn, text string) {
		GinkgoHelper()
		Expect(conn.SetReadDeadline(time.Now().Add(30 * time.Second))).To(Succeed())
		buf := make([]byte, len(text))
		_, err := io.ReadFull(conn, buf)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(buf)).To(Equal(text))
	}
	// expectSilence checks that nothing comes for a while.
	expectSilence := func(conn net.Conn) {
		GinkgoHelper()
		Expect(conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
		n, err := conn.Read(make([]byte, 1))
		Expect(n).To(BeZero())
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	}
	site := func() *Site { return &Site{cuts: cuts} }

	It("holds bytes back while the way is cut, also on new connections, and passes them on then", func() {
		conn := dial()
		send(conn, "one")
		expectEcho(conn, "one")
		site().Cut("kigali-b", "kigali-a")
		send(conn, "two")
		expectSilence(conn)
		later := dial()
		send(later, "new")
		expectSilence(later)
		site().Heal("kigali-a", "kigali-b")
		expectEcho(conn, "two")
		expectEcho(later, "new")
	})

	It("leaves other ways alone", func() {
		conn := dial()
		site().Cut("kigali-c", "kigali-b")
		send(conn, "one")
		expectEcho(conn, "one")
	})

	It("silences open connections for good and lets new ones work", func() {
		conn := dial()
		send(conn, "one")
		expectEcho(conn, "one")
		site().Silence("kigali-a", "kigali-b")
		send(conn, "two")
		expectSilence(conn)
		later := dial()
		send(later, "new")
		expectEcho(later, "new")
		expectSilence(conn)
	})
})
