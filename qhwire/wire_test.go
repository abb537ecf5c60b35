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

const waitTimeout = 30 * time.Second

type textMessage struct {
	Text string `json:"text"`
}

// testNode is a transport with a listener and with handlers for the kinds "echo"
// and "note".
type testNode struct {
	*qhwire.Transport
	address qhid.Address
	metrics *metrics.Set
	// notices receives the text of notices, requestLinks the links on which
	// requests arrived.
	notices      chan string
	requestLinks chan *qhwire.Link
}

func newTestNode(silenceTimeout time.Duration) *testNode {
	GinkgoHelper()
	node := &testNode{metrics: metrics.NewSet(), notices: make(chan string, 100), requestLinks: make(chan *qhwire.Link, 100)}
	mux := qhwire.NewMux()
	qhwire.HandleRequest(mux, "echo", func(_ context.Context, link *qhwire.Link, n textMessage) (textMessage, error) {
		node.requestLinks <- link
		if n.Text == "bad" {
			return n, errors.New("no such text")
		}
		return n, nil
	})
	qhwire.HandleNotice(mux, "note", func(_ context.Context, _ *qhwire.Link, n textMessage) { node.notices <- n.Text })
	leaks := goleak.IgnoreCurrent()
	transport, stop := qhwire.New(context.Background(), qhwire.Options{
		Mux: mux, HeartbeatPeriod: 50 * time.Millisecond, SilenceTimeout: silenceTimeout, IOTimeout: 200 * time.Millisecond,
		Log: zap.NewNop(), Metrics: node.metrics,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	transport.Serve(listener)
	node.Transport, node.address = transport, qhid.Address(listener.Addr().String())
	DeferCleanup(func() {
		stop()
		Eventually(func() error { return goleak.Find(leaks) }, waitTimeout).Should(Succeed())
	})
	return node
}

func (n *testNode) frameBytes(direction, kind string) uint64 {
	return n.metrics.GetOrCreateCounter(`qh_wire_bytes_total{way="` + direction + `",kind="` + kind + `"}`).Get()
}

var _ = Describe("Link", func() {
	ctx := context.Background()

	It("carries requests and notices both ways, and counts them", func() {
		first, second := newTestNode(time.Second), newTestNode(time.Second)
		link, err := first.Dial(ctx, second.address)
		Expect(err).NotTo(HaveOccurred())
		Expect(qhwire.Request[textMessage](ctx, link, "echo", textMessage{"out"})).To(Equal(textMessage{"out"}))
		Expect(qhwire.Request[textMessage](ctx, <-second.requestLinks, "echo", textMessage{"back"})).To(Equal(textMessage{"back"}))
		for _, text := range []string{"a", "b", "c"} {
			Expect(link.Notify(ctx, "note", textMessage{text})).To(Succeed())
		}
		for _, text := range []string{"a", "b", "c"} {
			Expect(<-second.notices).To(Equal(text))
		}
		_, err = qhwire.Request[textMessage](ctx, link, "echo", textMessage{"bad"})
		Expect(err).To(MatchError(ContainSubstring("no such text")))
		_, err = qhwire.Request[textMessage](ctx, link, "unregistered", textMessage{})
		Expect(err).To(MatchError(ContainSubstring("unknown kind")))
		Expect(first.frameBytes("out", "note")).To(BeNumerically(">", 3*40))
		Eventually(func() uint64 { return second.frameBytes("in", "note") }, waitTimeout).Should(BeNumerically(">", 3*40))
		Eventually(func() uint64 { return first.frameBytes("out", "beat") }, waitTimeout).Should(BeNumerically(">", 0))
	})

	It("stays open with heartbeats and closes without them", func() {
		first, second := newTestNode(300*time.Millisecond), newTestNode(300*time.Millisecond)
		link, err := first.Dial(ctx, second.address)
		Expect(err).NotTo(HaveOccurred())
		Consistently(link.Done(), time.Second).ShouldNot(BeClosed())
		unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(unresponsive.Close)
		link, err = first.Dial(ctx, qhid.Address(unresponsive.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		Eventually(link.Done(), waitTimeout).Should(BeClosed())
	})

	It("closes when the peer stops reading", func() {
		first := newTestNode(time.Minute)
		unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(unresponsive.Close)
		link, err := first.Dial(ctx, qhid.Address(unresponsive.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		big := textMessage{strings.Repeat("x", 4<<20)}
		Eventually(func() error { return link.Notify(ctx, "note", big) }, waitTimeout).ShouldNot(Succeed())
		Eventually(link.Done(), waitTimeout).Should(BeClosed())
	})

	It("refuses frames above the limit when writing and reading", func() {
		first, second := newTestNode(time.Second), newTestNode(time.Second)
		link, err := first.Dial(ctx, second.address)
		Expect(err).NotTo(HaveOccurred())
		Expect(link.Notify(ctx, "note", textMessage{strings.Repeat("x", int(qhwire.MaxFrameSize))})).NotTo(Succeed())
		conn, err := net.Dial("tcp", string(second.address))
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(binary.AppendUvarint(nil, 1<<40))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		for buf := make([]byte, 64); err == nil; {
			_, err = conn.Read(buf)
		}
		var timeout net.Error
		Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeFalse(), "the link stays open")
	})

	It("compresses large values", func() {
		text := textMessage{strings.Repeat("booking ", 10000)}
		packed, err := qhwire.Pack(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(packed)).To(BeNumerically("<", 1000))
		Expect(qhwire.Unpack[textMessage](packed)).To(Equal(text))
		_, err = qhwire.Unpack[textMessage](packed[:len(packed)/2])
		Expect(err).To(HaveOccurred())
	})
})
