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

// qhBad returns a configuration that no node takes.
func qhBad() qhconfig.Config {
	return qhconfig.Config{Routes: []qhconfig.Route{{Name: "lost", Prefix: "/", Shares: []qhconfig.Share{{Service: "absent", Percent: 100}}}}}
}

// stranger returns a link maker that is no member of the fleet.
func stranger() *qhwire.Transport { return strangerWith(qhwire.NewMux()) }

func strangerWith(mux *qhwire.Mux) *qhwire.Transport {
	transport, stop := qhwire.New(context.Background(), qhwire.Options{
		Mux:       mux,
		Heartbeat: time.Second,
		Silence:   time.Minute,
		Timeout:   10 * time.Second,
		Log:       zap.NewNop(),
		Metrics:   metrics.NewSet(),
	})
	DeferCleanup(stop)
	return transport
}

// knock asks a node n times at once to be a parent and returns how often it agreed.
func (f *fleet) knock(at *node, n int) int {
	transport := stranger()
	var mu sync.Mutex
	let := 0
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			defer GinkgoRecover()
			link, err := transport.Dial(context.Background(), at.address)
			if err != nil {
				return
			}
			join := qhwire.Join{Node: qhid.Node(fmt.Sprintf("herd-%d", i)), Zone: at.zone}
			answer, err := qhwire.Call[qhwire.Joined](context.Background(), link, qhwire.KindJoin, join)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && answer.Reason == "" {
				let++
			}
		})
	}
	group.Wait()
	return let
}

func target(id qhid.Target, state qhmember.State) []qhmember.Target {
	return []qhmember.Target{{ID: id, Service: "booking", State: state, Slots: 9}}
}

// booking returns the endpoint of a target of the booking service as a node sees it.
func (n *node) booking(id qhid.Target) *qhmember.Endpoint {
	for _, endpoint := range n.members.View().Services["booking"] {
		if endpoint.ID == id {
			return endpoint
		}
	}
	return nil
}

// expectBooking waits until all nodes see a target in a state.
func expectBooking(nodes []*node, id qhid.Target, check func(*qhmember.Endpoint) bool) {
	GinkgoHelper()
	for _, n := range nodes {
		Eventually(func() bool {
			endpoint := n.booking(id)
			return endpoint != nil && check(endpoint)
		}, patience).Should(BeTrue(), "as %s sees it", n.id)
	}
}

func fleetOfThree() (*fleet, []*node) {
	f := newFleet()
	for _, zone := range []qhid.Zone{"kigali-a", "kigali-b", "kigali-c"} {
		f.start(zone, 4)
	}
	nodes := f.all()
	expectMembers(nodes)
	return f, nodes
}

var _ = Describe("Membership", func() {
	It("tells all of a target that comes and goes", func() {
		_, nodes := fleetOfThree()
		nodes[3].Announce(qhmember.Up, target("booking-1", qhmember.Cold))
		expectBooking(nodes, "booking-1", func(e *qhmember.Endpoint) bool { return e.State == qhmember.Cold })
		nodes[3].Announce(qhmember.Up, target("booking-1", qhmember.Up))
		expectBooking(nodes, "booking-1", func(e *qhmember.Endpoint) bool { return e.State == qhmember.Up })
		nodes[3].Leave(context.Background())
		nodes[3].kill()
		expectBooking(others(nodes, nodes[3]), "booking-1", func(e *qhmember.Endpoint) bool { return e.State == qhmember.Leaving })
	})

	It("marks a killed node down in all availability zones", func() {
		_, nodes := fleetOfThree()
		nodes[2].Announce(qhmember.Up, target("booking-1", qhmember.Up))
		expectBooking(nodes, "booking-1", func(e *qhmember.Endpoint) bool { return !e.NodeDown })
		nodes[2].kill()
		expectBooking(others(nodes, nodes[2]), "booking-1", func(e *qhmember.Endpoint) bool { return e.NodeDown })
	})

	It("repairs news that were lost", func() {
		f, nodes := fleetOfThree()
		f.network.setLose(func(frame []byte) bool { return isNews(frame) })
		nodes[5].Announce(qhmember.Up, target("booking-1", qhmember.Up))
		Eventually(func() *qhmember.Endpoint { return nodes[4].booking("booking-1") }, patience).ShouldNot(BeNil())
		f.network.setLose(nil)
		expectBooking(nodes, "booking-1", func(e *qhmember.Endpoint) bool { return e.State == qhmember.Up })
	})

	It("hears a node that was called down wrongly", func() {
		_, nodes := fleetOfThree()
		wrong := nodes[1].members.Self()
		wrong.State = qhmember.Down
		link, err := stranger().Dial(context.Background(), nodes[7].address)
		Expect(err).NotTo(HaveOccurred())
		Expect(link.Notify(context.Background(), qhwire.KindNews, qhwire.News{Entries: []qhmember.Entry{wrong}})).To(Succeed())
		for _, n := range nodes {
			Eventually(func() qhid.Sequence {
				entry, _ := n.members.Get(wrong.Node)
				return entry.Sequence
			}, patience).Should(BeNumerically(">", wrong.Sequence), "as %s sees it", n.id)
		}
		expectMembers(nodes)
	})

	It("marks nothing down when an availability zone is out of sight", func() {
		f, nodes := fleetOfThree()
		cut := func(a, b qhid.Node) bool { return a[:8] == "kigali-a" && b[:8] != "kigali-a" }
		f.network.setCut(cut)
		time.Sleep(4 * time.Duration(f.settings.SilenceTimeout))
		for _, n := range nodes {
			Expect(n.states()).To(HaveEach(qhmember.Up), "as %s sees it", n.id)
		}
		f.network.setCut(func(qhid.Node, qhid.Node) bool { return false })
		nodes[0].Announce(qhmember.Up, target("booking-1", qhmember.Up))
		expectBooking(nodes, "booking-1", func(e *qhmember.Endpoint) bool { return e.State == qhmember.Up })
	})

	It("lets a node that hears nobody doubt itself", func() {
		f := newFleet()
		nodes := f.start("kigali-a", 6)
		expectMembers(nodes)
		root := f.root("kigali-a")
		f.network.setCut(func(a, _ qhid.Node) bool { return a == root.id })
		for _, n := range others(nodes, root) {
			Eventually(func() qhmember.State { return n.states()[root.id] }, patience).Should(Equal(qhmember.Down))
		}
		time.Sleep(4 * time.Duration(f.settings.SilenceTimeout))
		Expect(root.states()).To(HaveEach(qhmember.Up))
		f.network.setCut(func(qhid.Node, qhid.Node) bool { return false })
		expectMembers(nodes)
	})
})
