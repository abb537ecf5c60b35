package qhspread_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhwire"
)

// invalidConfig returns a configuration that every node refuses.
func invalidConfig() qhconfig.Config {
	return qhconfig.Config{Routes: []qhconfig.Route{{Name: "lost", Prefix: "/", Shares: []qhconfig.Share{{Service: "absent", Percent: 100}}}}}
}

// newNonMember returns the transport of a peer that is not a node of the fleet.
func newNonMember() *qhwire.Transport { return newNonMemberWith(qhwire.NewMux()) }

func newNonMemberWith(mux *qhwire.Mux) *qhwire.Transport {
	transport, stop := qhwire.New(context.Background(), qhwire.Options{
		Mux:             mux,
		HeartbeatPeriod: time.Second,
		SilenceTimeout:  time.Minute,
		IOTimeout:       10 * time.Second,
		Log:             zap.NewNop(),
		Metrics:         metrics.NewSet(),
	})
	DeferCleanup(stop)
	return transport
}

// joinConcurrently sends a node n join requests at once and returns how many it
// accepted.
func (f *fleet) joinConcurrently(at *node, n int) int {
	transport := newNonMember()
	var mu sync.Mutex
	accepted := 0
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			defer GinkgoRecover()
			link, err := transport.Dial(context.Background(), at.address)
			if err != nil {
				return
			}
			request := qhwire.JoinRequest{Node: qhid.Node(fmt.Sprintf("joiner-%d", i)), Zone: at.zone}
			response, err := qhwire.Request[qhwire.LinkResponse](context.Background(), link, qhwire.KindJoin, request)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && response.Reason == "" {
				accepted++
			}
		})
	}
	group.Wait()
	return accepted
}

func target(id qhid.Target, state qhmember.State) []qhmember.AnnouncedTarget {
	return []qhmember.AnnouncedTarget{{ID: id, Service: "booking", State: state, Slots: 9}}
}

// bookingEndpoint returns the endpoint of a target of the booking service as a
// node sees it, or nil.
func (n *node) bookingEndpoint(id qhid.Target) *qhmember.Endpoint {
	for _, endpoint := range n.members.View().Services["booking"] {
		if endpoint.ID == id {
			return endpoint
		}
	}
	return nil
}

// expectBookingEndpoint waits until a target satisfies the check on all nodes.
func expectBookingEndpoint(nodes []*node, id qhid.Target, check func(*qhmember.Endpoint) bool) {
	GinkgoHelper()
	for _, n := range nodes {
		Eventually(func() bool {
			endpoint := n.bookingEndpoint(id)
			return endpoint != nil && check(endpoint)
		}, waitTimeout).Should(BeTrue(), "as %s sees it", n.id)
	}
}

func newThreeZoneFleet() (*fleet, []*node) {
	f := newFleet()
	for _, zone := range []qhid.Zone{"kigali-a", "kigali-b", "kigali-c"} {
		f.start(zone, 4)
	}
	nodes := f.all()
	expectMembers(nodes)
	return f, nodes
}

var _ = Describe("Membership", func() {
	It("propagates a target that starts and leaves to all nodes", func() {
		_, nodes := newThreeZoneFleet()
		nodes[3].Announce(qhmember.Up, target("booking-1", qhmember.Cold))
		expectBookingEndpoint(nodes, "booking-1", func(e *qhmember.Endpoint) bool { return e.State == qhmember.Cold })
		nodes[3].Announce(qhmember.Up, target("booking-1", qhmember.Up))
		expectBookingEndpoint(nodes, "booking-1", func(e *qhmember.Endpoint) bool { return e.State == qhmember.Up })
		nodes[3].Leave(context.Background())
		nodes[3].kill()
		expectBookingEndpoint(without(nodes, nodes[3]), "booking-1", func(e *qhmember.Endpoint) bool { return e.State == qhmember.Leaving })
	})

	It("marks a killed node down in all availability zones", func() {
		_, nodes := newThreeZoneFleet()
		nodes[2].Announce(qhmember.Up, target("booking-1", qhmember.Up))
		expectBookingEndpoint(nodes, "booking-1", func(e *qhmember.Endpoint) bool { return !e.NodeDown })
		nodes[2].kill()
		expectBookingEndpoint(without(nodes, nodes[2]), "booking-1", func(e *qhmember.Endpoint) bool { return e.NodeDown })
	})

	It("repairs lost membership updates", func() {
		f, nodes := newThreeZoneFleet()
		f.network.setDropFrame(func(frame []byte) bool { return isMembershipUpdate(frame) })
		nodes[5].Announce(qhmember.Up, target("booking-1", qhmember.Up))
		Eventually(func() *qhmember.Endpoint { return nodes[4].bookingEndpoint("booking-1") }, waitTimeout).ShouldNot(BeNil())
		f.network.setDropFrame(nil)
		expectBookingEndpoint(nodes, "booking-1", func(e *qhmember.Endpoint) bool { return e.State == qhmember.Up })
	})

	It("lets a node refute that it is down", func() {
		_, nodes := newThreeZoneFleet()
		falseReport := nodes[1].members.Self()
		falseReport.State = qhmember.Down
		link, err := newNonMember().Dial(context.Background(), nodes[7].address)
		Expect(err).NotTo(HaveOccurred())
		Expect(link.Notify(context.Background(), qhwire.KindMembership, qhwire.MembershipUpdate{Entries: []qhmember.Entry{falseReport}})).To(Succeed())
		for _, n := range nodes {
			Eventually(func() qhid.Sequence {
				entry, _ := n.members.Get(falseReport.Node)
				return entry.Sequence
			}, waitTimeout).Should(BeNumerically(">", falseReport.Sequence), "as %s sees it", n.id)
		}
		expectMembers(nodes)
	})

	It("marks no node down when an availability zone is cut off", func() {
		f, nodes := newThreeZoneFleet()
		cut := func(a, b qhid.Node) bool { return a[:8] == "kigali-a" && b[:8] != "kigali-a" }
		f.network.setPartition(cut)
		time.Sleep(4 * time.Duration(f.settings.SilenceTimeout))
		for _, n := range nodes {
			Expect(n.memberStates()).To(HaveEach(qhmember.Up), "as %s sees it", n.id)
		}
		f.network.setPartition(func(qhid.Node, qhid.Node) bool { return false })
		nodes[0].Announce(qhmember.Up, target("booking-1", qhmember.Up))
		expectBookingEndpoint(nodes, "booking-1", func(e *qhmember.Endpoint) bool { return e.State == qhmember.Up })
	})

	It("marks no node down on a node that is itself cut off", func() {
		f := newFleet()
		nodes := f.start("kigali-a", 6)
		expectMembers(nodes)
		root := f.root("kigali-a")
		f.network.setPartition(func(a, _ qhid.Node) bool { return a == root.id })
		for _, n := range without(nodes, root) {
			Eventually(func() qhmember.State { return n.memberStates()[root.id] }, waitTimeout).Should(Equal(qhmember.Down))
		}
		time.Sleep(4 * time.Duration(f.settings.SilenceTimeout))
		Expect(root.memberStates()).To(HaveEach(qhmember.Up))
		f.network.setPartition(func(qhid.Node, qhid.Node) bool { return false })
		expectMembers(nodes)
	})
})
