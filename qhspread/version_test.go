package qhspread_test

import (
	"bytes"
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstatus"
	"quetzalhaven.dev/qhwire"
)

// track fails the test when a node holds an older version than before. It
// returns what ends it.
func track(nodes []*node) func() {
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(func() {
			defer GinkgoRecover()
			var last, known qhid.Version
			for {
				changed := n.holder.Changed()
				held, state := n.held(), n.State().Version
				Expect(held).To(BeNumerically(">=", last), "held by %s", n.id)
				Expect(state).To(BeNumerically(">=", known), "known to %s", n.id)
				last, known = held, state
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

	It("reaches nodes whose pushes are lost", func() {
		f.commit()
		nodes := f.start("kigali-a", 7)
		expectVersion(nodes, 1)
		f.network.setLose(func(frame []byte) bool {
			return bytes.Contains(frame, []byte(`"method":"diff"`)) || bytes.Contains(frame, []byte(`"method":"have"`))
		})
		expectVersion(nodes, f.commit())
	})

	It("reaches an availability zone that is cut off from the platform", func() {
		reach := newReach()
		f.store = func(id qhid.Node) qhplatform.Store { return reach.store(id, f.platform.Store()) }
		f.commit()
		f.start("kigali-a", 3)
		cut := f.start("kigali-b", 3)
		f.start("kigali-c", 3)
		expectVersion(f.all(), 1)
		expectMembers(f.all())
		reach.setAway(true, cut...)
		for range 3 {
			expectVersion(f.all(), f.commit())
		}
	})

	It("is the newest for a node that restarts while the platform is out", func() {
		f.commit()
		nodes := f.start("kigali-a", 5)
		expectVersion(nodes, 1)
		f.platform.SetFaults(qhplatform.Faults{StaleBy: 8})
		newest := f.commitOver(1, 3)
		expectVersion(nodes, newest)
		f.platform.SetFaults(qhplatform.Faults{Down: true})
		nodes[4].kill()
		again := f.startNode("kigali-a", nodes[4].id, nodes[0].address)
		Eventually(again.Ready(), patience).Should(BeClosed())
		Expect(again.held()).To(Equal(newest))
		expectMembers(f.all())
	})

	It("never goes back when the platform answers with an old head", func() {
		reach := newReach()
		f.store = func(id qhid.Node) qhplatform.Store { return reach.store(id, f.platform.Store()) }
		f.commit()
		old, err := f.platform.Store().Get(context.Background(), "head")
		Expect(err).NotTo(HaveOccurred())
		nodes := f.start("kigali-a", 5)
		newest := f.commitOver(1, 3)
		expectVersion(nodes, newest)
		stop := track(nodes)
		defer stop()
		f.platform.SetFaults(qhplatform.Faults{StaleBy: 8, Prefix: "head"})
		reach.setOld("head", &old)
		root := f.root("kigali-a")
		root.kill()
		again := f.startNode("kigali-a", root.id, f.seeds("kigali-a")...)
		rest := append(others(nodes, root), again)
		expectVersion(rest, newest)
		Eventually(func() int { return f.slots() }, patience).Should(Equal(1))
		Consistently(func() map[qhid.Node]qhid.Version { return versions(rest) }, time.Second).Should(HaveEach(newest))
		f.platform.SetFaults(qhplatform.Faults{})
		reach.setOld("head", nil)
		expectVersion(rest, f.commit())
	})

	It("that all find bad is known to all, counted and followed by the next", func() {
		f.commit()
		nodes := f.start("kigali-a", 7)
		expectVersion(nodes, 1)
		expectTree(nodes)
		whole, err := qhwire.Pack(qhBad())
		Expect(err).NotTo(HaveOccurred())
		link, err := stranger().Dial(context.Background(), nodes[6].address)
		Expect(err).NotTo(HaveOccurred())
		bad := qhwire.Content{Version: 2, Digest: qhBad().Digest(), Whole: whole}
		Expect(link.Notify(context.Background(), qhwire.KindContent, bad)).To(Succeed())
		root := f.root("kigali-a")
		Eventually(func() int { return root.Summary().RefusingNodes }, patience).Should(Equal(len(nodes)))
		Expect(root.Summary().Versions).To(Equal([]qhstatus.VersionCount{{Version: 1, Nodes: len(nodes)}}))
		Expect(root.Summary().Refusals).To(HaveLen(len(nodes)))
		expectVersion(nodes, f.commitOver(1, 2))
	})
})

// commitOver commits versions until there are n more than from.
func (f *fleet) commitOver(from qhid.Version, n int) qhid.Version {
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
	It("that was paused past its lease does no harm", func() {
		f := newFleet()
		reach := newReach()
		f.store = func(id qhid.Node) qhplatform.Store { return reach.store(id, f.platform.Store()) }
		f.commit()
		nodes := f.start("kigali-a", 6)
		expectVersion(nodes, 1)
		expectMembers(nodes)
		stop := track(nodes)
		defer stop()
		paused := f.root("kigali-a")
		resume := reach.pause(paused.id)
		f.network.setCut(func(a, _ qhid.Node) bool { return a == paused.id })
		Eventually(func() *node { return f.root("kigali-a") }, patience).ShouldNot(Equal(paused))
		rest := others(nodes, paused)
		expectVersion(rest, f.commit())
		Expect(paused.held()).To(Equal(qhid.Version(1)))
		f.network.setCut(func(qhid.Node, qhid.Node) bool { return false })
		resume()
		expectVersion(nodes, f.commit())
		expectMembers(nodes)
		Eventually(func() []qhid.Node { return paused.State().Path }, patience).Should(HaveLen(len(paused.State().Path)))
		Eventually(func() int { return f.slots() }, patience).Should(Equal(1))
		Eventually(func() int { return len(paused.State().Path) }, patience).Should(BeNumerically(">", 1))
	})

	It("that is killed is followed by another", func() {
		f := newFleet()
		f.commit()
		nodes := f.start("kigali-a", 8)
		expectVersion(nodes, 1)
		for range 2 {
			root := f.root("kigali-a")
			root.kill()
			nodes = others(nodes, root)
			expectVersion(nodes, f.commit())
			Eventually(func() int { return f.slots() }, patience).Should(Equal(1))
		}
		expectTree(nodes)
	})
})

// slots returns how many nodes hold a relay slot.
func (f *fleet) slots() int {
	held := 0
	for _, n := range f.all() {
		if n.State().Slot != nil {
			held++
		}
	}
	return held
}

// expectTree waits until all nodes have a path from the same root, each as many
// children as it may, and the counts add up.
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
	}, patience).Should(Succeed())
}

var _ = Describe("A node whose parent is killed", func() {
	It("finds another", func() {
		f := newFleet()
		f.commit()
		nodes := f.start("kigali-a", 10)
		expectVersion(nodes, 1)
		root := f.root("kigali-a")
		for _, link := range root.State().Links {
			if n := f.get(link.Node); n != nil && link.Role == "child" {
				n.kill()
				nodes = others(nodes, n)
				break
			}
		}
		expectVersion(nodes, f.commit())
		expectTree(nodes)
	})

	It("is not let in with a whole herd at once", func() {
		f := newFleet()
		f.settings.Fanout = 64
		nodes := f.start("kigali-a", 1)
		began := time.Now()
		let := f.knock(nodes[0], 200)
		most := 20 + 40*(time.Since(began).Seconds()+1)
		Expect(let).To(BeNumerically("<=", most))
		Expect(let).To(BeNumerically(">", 0))
	})
})

func (f *fleet) get(id qhid.Node) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}
