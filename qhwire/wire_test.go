package qhwire_test

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhwire"
)

const patience = 30 * time.Second

type note struct {
	Text string `json:"text"`
}

// end is one end of a link in tests.
type end struct {
	*qhwire.Transport
	address qhid.Address
	metrics *metrics.Set
	// notes has the notices that came, links the links of requests.
	notes chan string
	links chan *qhwire.Link
}

func newEnd(silence time.Duration) *end {
	GinkgoHelper()
	e := &end{metrics: metrics.NewSet(), notes: make(chan string, 100), links: make(chan *qhwire.Link, 100)}
	mux := qhwire.NewMux()
	qhwire.HandleCall(mux, "echo", func(_ context.Context, link *qhwire.Link, n note) (note, error) {
		e.links <- link
		if n.Text == "bad" {
			return n, errors.New("no such text")
		}
		return n, nil
	})
	qhwire.HandleNotice(mux, "note", func(_ context.Context, _ *qhwire.Link, n note) { e.notes <- n.Text })
	leaks := goleak.IgnoreCurrent()
	transport, stop := qhwire.New(context.Background(), qhwire.Options{
		Mux: mux, Heartbeat: 50 * time.Millisecond, Silence: silence, Timeout: 200 * time.Millisecond,
		Log: zap.NewNop(), Metrics: e.metrics,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	transport.Serve(listener)
	e.Transport, e.address = transport, qhid.Address(listener.Addr().String())
	DeferCleanup(func() {
		stop()
		Eventually(func() error { return goleak.Find(leaks) }, patience).Should(Succeed())
	})
	return e
}

func (e *end) bytes(way, kind string) uint64 {
	return e.metrics.GetOrCreateCounter(`qh_wire_bytes_total{way="` + way + `",kind="` + kind + `"}`).Get()
}

var _ = Describe("Link", func() {
	ctx := context.Background()

	It("carries requests and notices both ways, and counts them", func() {
		one, other := newEnd(time.Second), newEnd(time.Second)
		link, err := one.Dial(ctx, other.address)
		Expect(err).NotTo(HaveOccurred())
		Expect(qhwire.Call[note](ctx, link, "echo", note{"out"})).To(Equal(note{"out"}))
		Expect(qhwire.Call[note](ctx, <-other.links, "echo", note{"back"})).To(Equal(note{"back"}))
		for _, text := range []string{"a", "b", "c"} {
			Expect(link.Notify(ctx, "note", note{text})).To(Succeed())
		}
		for _, text := range []string{"a", "b", "c"} {
			Expect(<-other.notes).To(Equal(text))
		}
		_, err = qhwire.Call[note](ctx, link, "echo", note{"bad"})
		Expect(err).To(MatchError(ContainSubstring("no such text")))
		_, err = qhwire.Call[note](ctx, link, "unheard", note{})
		Expect(err).To(MatchError(ContainSubstring("unknown kind")))
		Expect(one.bytes("out", "note")).To(BeNumerically(">", 3*40))
		Eventually(func() uint64 { return other.bytes("in", "note") }, patience).Should(BeNumerically(">", 3*40))
		Eventually(func() uint64 { return one.bytes("out", "beat") }, patience).Should(BeNumerically(">", 0))
	})

	It("lives on heartbeats and ends in silence", func() {
		one, other := newEnd(300*time.Millisecond), newEnd(300*time.Millisecond)
		link, err := one.Dial(ctx, other.address)
		Expect(err).NotTo(HaveOccurred())
		Consistently(link.Done(), time.Second).ShouldNot(BeClosed())
		mute, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(mute.Close)
		link, err = one.Dial(ctx, qhid.Address(mute.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		Eventually(link.Done(), patience).Should(BeClosed())
	})

	It("ends when the peer takes no bytes", func() {
		one := newEnd(time.Minute)
		mute, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(mute.Close)
		link, err := one.Dial(ctx, qhid.Address(mute.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		big := note{strings.Repeat("x", 4<<20)}
		Eventually(func() error { return link.Notify(ctx, "note", big) }, patience).ShouldNot(Succeed())
		Eventually(link.Done(), patience).Should(BeClosed())
	})

	It("refuses frames above the limit on both sides", func() {
		one, other := newEnd(time.Second), newEnd(time.Second)
		link, err := one.Dial(ctx, other.address)
		Expect(err).NotTo(HaveOccurred())
		Expect(link.Notify(ctx, "note", note{strings.Repeat("x", int(qhwire.MaxFrame))})).NotTo(Succeed())
		conn, err := net.Dial("tcp", string(other.address))
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(binary.AppendUvarint(nil, 1<<40))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
		for buf := make([]byte, 64); err == nil; {
			_, err = conn.Read(buf)
		}
		var timeout net.Error
		Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeFalse(), "the link stays open")
	})

	It("packs what is large", func() {
		text := note{strings.Repeat("booking ", 10000)}
		packed, err := qhwire.Pack(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(packed)).To(BeNumerically("<", 1000))
		Expect(qhwire.Unpack[note](packed)).To(Equal(text))
		_, err = qhwire.Unpack[note](packed[:len(packed)/2])
		Expect(err).To(HaveOccurred())
	})
})
