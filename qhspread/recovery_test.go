package qhspread_test

import (
	"context"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhwire"
)

// expectAnnouncementReaches announces a target on a node and waits until all
// nodes know it.
func expectAnnouncementReaches(nodes []*node, from *node, id qhid.Target) {
	GinkgoHelper()
	from.Announce(qhmember.Up, target(id, qhmember.Up))
	expectBookingEndpoint(nodes, id, func(e *qhmember.Endpoint) bool { return e.State == qhmember.Up })
}

// killConcurrently kills nodes at the same time.
func killConcurrently(nodes []*node) {
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(n.kill)
	}
	group.Wait()
}

// expectOneRoot waits until all nodes have a path from the same root.
func expectOneRoot(nodes []*node) {
	GinkgoHelper()
	Eventually(func() map[qhid.Node]bool {
		roots := make(map[qhid.Node]bool)
		for _, n := range nodes {
			roots[n.State().Path[0]] = true
		}
		return roots
	}, waitTimeout).Should(HaveLen(1))
}

var _ = Describe("An availability zone", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet()
		f.commit()
	})

	It("keeps distributing updates when its relays are killed while the platform is unavailable", func() {
		nodes := append(f.start("kigali-a", 8), f.start("kigali-b", 2)...)
		expectVersion(nodes, 1)
		expectMembers(nodes)
		f.platform.SetFaults(qhplatform.Faults{Down: true})
		root := f.root("kigali-a")
		root.kill()
		survivors := without(nodes, root)
		expectOneRoot(survivors[:7])
		expectAnnouncementReaches(survivors, survivors[0], "booking-1")
		expectAnnouncementReaches(survivors, survivors[8], "booking-2")
		f.platform.SetFaults(qhplatform.Faults{})
		expectVersion(survivors, f.commit())
		Eventually(f.heldSlots, waitTimeout).Should(Equal(2))
	})

	It("works with several relays", func() {
		f.settings.RelaySlots = 2
		nodes := append(f.start("kigali-a", 8), f.start("kigali-b", 4)...)
		expectVersion(nodes, 1)
		Eventually(f.heldSlots, waitTimeout).Should(Equal(4))
		expectVersion(nodes, f.commit())
		expectAnnouncementReaches(nodes, nodes[0], "booking-1")
		expectAnnouncementReaches(nodes, nodes[7], "booking-2")
		expectAnnouncementReaches(nodes, nodes[11], "booking-3")
	})

	It("recovers after most of its nodes were killed at once", func() {
		nodes := f.start("kigali-a", 16)
		expectVersion(nodes, 1)
		expectMembers(nodes)
		killed := nodes[:12]
		killConcurrently(killed)
		newest := f.commit()
		expectVersion(nodes[12:], newest)
		var restarted []*node
		for _, n := range killed {
			restarted = append(restarted, f.startNode(n.zone, n.id, nodes[15].address))
		}
		all := append(restarted, nodes[12:]...)
		expectVersion(all, newest)
		expectMembers(all)
		expectTree(all)
	})

	It("recovers from a network partition", func() {
		nodes := f.start("kigali-a", 8)
		expectVersion(nodes, 1)
		expectMembers(nodes)
		root := f.root("kigali-a")
		half := map[qhid.Node]bool{root.id: true}
		for _, n := range without(nodes, root)[:3] {
			half[n.id] = true
		}
		f.network.setPartition(func(a, b qhid.Node) bool { return half[a] != half[b] })
		newest := f.commit()
		expectVersion(nodes, newest)
		f.network.setPartition(func(qhid.Node, qhid.Node) bool { return false })
		expectMembers(nodes)
		expectTree(nodes)
		expectVersion(nodes, f.commit())
	})

	It("distributes updates and marks no node down when all open connections stall while new ones work", func() {
		nodes := f.start("kigali-a", 7)
		expectVersion(nodes, 1)
		expectMembers(nodes)
		stop := make(chan struct{})
		var group sync.WaitGroup
		group.Go(func() {
			defer GinkgoRecover()
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				for _, n := range nodes {
					Expect(n.memberStates()).To(HaveEach(qhmember.Up), "as %s sees it", n.id)
				}
			}
		})
		f.network.stallConnections()
		expectVersion(nodes, f.commit())
		expectAnnouncementReaches(nodes, nodes[3], "booking-1")
		expectTree(nodes)
		close(stop)
		group.Wait()
	})

	It("receives versions from a platform whose watches deliver nothing", func() {
		nodes := f.start("kigali-a", 3)
		expectVersion(nodes, 1)
		f.platform.SetFaults(qhplatform.Faults{SilentWatches: true})
		for range 2 {
			expectVersion(nodes, f.commit())
		}
	})

	It("keeps its relay and receives versions while the platform is slow", func() {
		nodes := f.start("kigali-a", 3)
		expectVersion(nodes, 1)
		root := f.root("kigali-a")
		f.platform.SetFaults(qhplatform.Faults{Delay: qhconfig.Duration(300 * time.Millisecond)})
		for range 3 {
			expectVersion(nodes, f.commit())
		}
		Expect(f.root("kigali-a")).To(Equal(root))
	})
})

var _ = Describe("A child", func() {
	It("accepts a path that its parent sends before the join response", func() {
		mux := qhwire.NewMux()
		qhwire.HandleRequest(mux, qhwire.KindJoin, func(ctx context.Context, link *qhwire.Link, _ qhwire.JoinRequest) (qhwire.LinkResponse, error) {
			Expect(link.Notify(ctx, qhwire.KindPath, qhwire.PathUpdate{Path: []qhid.Node{"new", "parent"}})).To(Succeed())
			return qhwire.LinkResponse{Node: "parent", Zone: "kigali-a", Path: []qhid.Node{"old", "parent"}}, nil
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		newNonMemberWith(mux).Serve(listener)
		child := newFleet().startNode("kigali-a", "child", qhid.Address(listener.Addr().String()))
		Eventually(func() []qhid.Node { return child.State().Path }, waitTimeout).Should(Equal([]qhid.Node{"new", "parent", "child"}))
	})
})
