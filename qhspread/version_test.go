package qhspread_test

import (
	"bytes"
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstatus"
	"quetzalhaven.dev/qhwire"
)

// expectMonotonicVersions fails the test if the newest known version of a node or
// the version in force on it decreases. The returned function ends the check.
func expectMonotonicVersions(nodes []*node) func() {
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(func() {
			defer GinkgoRecover()
			var lastInForce, lastKnown qhid.Version
			for {
				changed := n.holder.Changed()
				inForce, known := n.versionInForce(), n.State().Version
				Expect(inForce).To(BeNumerically(">=", lastInForce), "in force on %s", n.id)
				Expect(known).To(BeNumerically(">=", lastKnown), "known to %s", n.id)
				lastInForce, lastKnown = inForce, known
				select {
				case <-stop:
					return
				case <-changed:
				case <-time.After(time.Millisecond):
				}
			}
		})
	}
	return func() { close(stop); group.Wait() }
}

var _ = Describe("A version", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet() })

	It("reaches nodes when pushed messages are lost", func() {
		f.commit()
		nodes := f.start("kigali-a", 7)
		expectVersion(nodes, 1)
		f.network.setDropFrame(func(frame []byte) bool {
			return bytes.Contains(frame, []byte(`"method":"diff"`)) || bytes.Contains(frame, []byte(`"method":"have"`))
		})
		expectVersion(nodes, f.commit())
	})

	It("reaches an availability zone that is cut off from the platform", func() {
		access := newPlatformAccess()
		f.store = func(id qhid.Node) qhplatform.Store { return access.store(id, f.platform.Store()) }
		f.commit()
		f.start("kigali-a", 3)
		cut := f.start("kigali-b", 3)
		f.start("kigali-c", 3)
		expectVersion(f.all(), 1)
		expectMembers(f.all())
		access.setUnreachable(true, cut...)
		for range 3 {
			expectVersion(f.all(), f.commit())
		}
	})

	It("is in force on a node that restarts while the platform is unavailable", func() {
		f.commit()
		nodes := f.start("kigali-a", 5)
		expectVersion(nodes, 1)
		f.platform.SetFaults(qhplatform.Faults{StaleBy: 8})
		newest := f.commitVersions(1, 3)
		expectVersion(nodes, newest)
		f.platform.SetFaults(qhplatform.Faults{Down: true})
		nodes[4].kill()
		restarted := f.startNode("kigali-a", nodes[4].id, nodes[0].address)
		Eventually(restarted.Ready(), waitTimeout).Should(BeClosed())
		Expect(restarted.versionInForce()).To(Equal(newest))
		expectMembers(f.all())
	})

	It("is the first one in force on a node that restarts, although its peers are behind the platform", func() {
		access := newPlatformAccess()
		f.store = func(id qhid.Node) qhplatform.Store { return access.store(id, f.platform.Store()) }
		f.commit()
		nodes := f.start("kigali-a", 4)
		expectVersion(nodes, 1)
		access.setUnreachable(true, nodes...)
		newest := f.commitVersions(1, 3)
		nodes[3].kill()
		f.platform.SetFaults(qhplatform.Faults{Delay: qhconfig.Duration(300 * time.Millisecond)})
		access.setUnreachable(false, nodes[3])
		restarted := f.startNode("kigali-a", nodes[3].id, nodes[0].address)
		var first qhid.Version
		Eventually(func() qhid.Version { first = restarted.versionInForce(); return first }).WithPolling(time.Millisecond).WithTimeout(waitTimeout).ShouldNot(BeZero())
		Expect(first).To(Equal(newest))
		Eventually(restarted.Ready(), waitTimeout).Should(BeClosed())
	})

	It("never decreases when the platform returns an old head", func() {
		access := newPlatformAccess()
		f.store = func(id qhid.Node) qhplatform.Store { return access.store(id, f.platform.Store()) }
		f.commit()
		old, err := f.platform.Store().Get(context.Background(), "head")
		Expect(err).NotTo(HaveOccurred())
		nodes := f.start("kigali-a", 5)
		newest := f.commitVersions(1, 3)
		expectVersion(nodes, newest)
		stop := expectMonotonicVersions(nodes)
		defer stop()
		f.platform.SetFaults(qhplatform.Faults{StaleBy: 8, Prefix: "head"})
		access.setStale("head", &old)
		root := f.root("kigali-a")
		root.kill()
		restarted := f.startNode("kigali-a", root.id, f.seeds("kigali-a")...)
		others := append(without(nodes, root), restarted)
		expectVersion(others, newest)
		Eventually(func() int { return f.heldSlots() }, waitTimeout).Should(Equal(1))
		Consistently(func() map[qhid.Node]qhid.Version { return versionsInForce(others) }, time.Second).Should(HaveEach(newest))
		f.platform.SetFaults(qhplatform.Faults{})
		access.setStale("head", nil)
		expectVersion(others, f.commit())
	})

	It("that all nodes refuse is passed on, counted in the summary and replaced by the next", func() {
		f.commit()
		nodes := f.start("kigali-a", 7)
		expectVersion(nodes, 1)
		expectTree(nodes)
		packed, err := qhwire.Pack(invalidConfig())
		Expect(err).NotTo(HaveOccurred())
		link, err := newNonMember().Dial(context.Background(), nodes[6].address)
		Expect(err).NotTo(HaveOccurred())
		refused := qhwire.VersionContent{Version: 2, Digest: invalidConfig().Digest(), FullConfig: packed}
		Expect(link.Notify(context.Background(), qhwire.KindContent, refused)).To(Succeed())
		root := f.root("kigali-a")
		Eventually(func() int { return root.Summary().RefusingNodes }, waitTimeout).Should(Equal(len(nodes)))
		Expect(root.Summary().Versions).To(Equal([]qhstatus.VersionCount{{Version: 1, Nodes: len(nodes)}}))
		Expect(root.Summary().Refusals).To(HaveLen(len(nodes)))
		expectVersion(nodes, f.commitVersions(1, 2))
	})
})

// commitVersions commits versions until there are n more than from, without
// platform faults.
func (f *fleet) commitVersions(from qhid.Version, n int) qhid.Version {
	GinkgoHelper()
	faults := f.platform.Faults()
	f.platform.SetFaults(qhplatform.Faults{})
	defer f.platform.SetFaults(faults)
	version := from
	for range n {
		version = f.commit()
	}
	return version
}

var _ = Describe("A relay", func() {
	It("that was paused until its lease expired does not disrupt the other nodes", func() {
		f := newFleet()
		access := newPlatformAccess()
		f.store = func(id qhid.Node) qhplatform.Store { return access.store(id, f.platform.Store()) }
		f.commit()
		nodes := f.start("kigali-a", 6)
		expectVersion(nodes, 1)
		expectMembers(nodes)
		stop := expectMonotonicVersions(nodes)
		defer stop()
		paused := f.root("kigali-a")
		resume := access.pause(paused.id)
		f.network.setPartition(func(a, _ qhid.Node) bool { return a == paused.id })
		Eventually(func() *node { return f.root("kigali-a") }, waitTimeout).ShouldNot(Equal(paused))
		others := without(nodes, paused)
		expectVersion(others, f.commit())
		Expect(paused.versionInForce()).To(Equal(qhid.Version(1)))
		f.network.setPartition(func(qhid.Node, qhid.Node) bool { return false })
		resume()
		expectVersion(nodes, f.commit())
		expectMembers(nodes)
		Eventually(func() []qhid.Node { return paused.State().Path }, waitTimeout).Should(HaveLen(len(paused.State().Path)))
		Eventually(func() int { return f.heldSlots() }, waitTimeout).Should(Equal(1))
		Eventually(func() int { return len(paused.State().Path) }, waitTimeout).Should(BeNumerically(">", 1))
	})

	It("that is killed is replaced by another", func() {
		f := newFleet()
		f.commit()
		nodes := f.start("kigali-a", 8)
		expectVersion(nodes, 1)
		for range 2 {
			root := f.root("kigali-a")
			root.kill()
			nodes = without(nodes, root)
			expectVersion(nodes, f.commit())
			Eventually(func() int { return f.heldSlots() }, waitTimeout).Should(Equal(1))
		}
		expectTree(nodes)
	})
})

// heldSlots returns how many nodes hold a relay slot.
func (f *fleet) heldSlots() int {
	held := 0
	for _, n := range f.all() {
		if n.State().Slot != nil {
			held++
		}
	}
	return held
}

// expectTree waits until the nodes form one distribution tree: all have a path
// from the same root, none has more children than the fan-out, and the summary of
// the root counts every node.
func expectTree(nodes []*node) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		roots := make(map[qhid.Node]bool)
		total := 0
		for _, n := range nodes {
			state := n.State()
			roots[state.Path[0]] = true
			if len(state.Path) == 1 {
				total = state.Summary.Versions[0].Nodes
			}
			children := 0
			for _, link := range state.Links {
				if link.Role == "child" {
					children++
				}
			}
			g.Expect(children).To(BeNumerically("<=", 2))
		}
		g.Expect(roots).To(HaveLen(1))
		g.Expect(total).To(Equal(len(nodes)))
	}, waitTimeout).Should(Succeed())
}

var _ = Describe("A node whose parent is killed", func() {
	It("finds another parent", func() {
		f := newFleet()
		f.commit()
		nodes := f.start("kigali-a", 10)
		expectVersion(nodes, 1)
		root := f.root("kigali-a")
		for _, link := range root.State().Links {
			if n := f.node(link.Node); n != nil && link.Role == "child" {
				n.kill()
				nodes = without(nodes, n)
				break
			}
		}
		expectVersion(nodes, f.commit())
		expectTree(nodes)
	})

	It("is refused if too many nodes ask to join at once", func() {
		f := newFleet()
		f.settings.Fanout = 64
		nodes := f.start("kigali-a", 1)
		started := time.Now()
		accepted := f.joinConcurrently(nodes[0], 200)
		limit := 20 + 40*(time.Since(started).Seconds()+1)
		Expect(accepted).To(BeNumerically("<=", limit))
		Expect(accepted).To(BeNumerically(">", 0))
	})
})

func (f *fleet) node(id qhid.Node) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}
