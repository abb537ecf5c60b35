package qhfeed

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

var _ = Describe("entries of nodes that are down", func() {
	ctx := context.Background()
	const probeInterval = 100 * time.Millisecond
	var store qhplatform.Store
	var nodes []*testNode
	BeforeEach(func() {
		store = qhplatform.NewFake(qhplatform.FakeOptions{}).Store()
		_, err := store.Create(ctx, configKey, encodeStoredConfig(1))
		Expect(err).NotTo(HaveOccurred())
		nodes = nil
		for i := range 3 {
			node := startNodeWithOptions(qhid.Node(fmt.Sprint("n", i)), store, Options{Seeds: func() []qhid.Address { return nil }, ProbeInterval: probeInterval})
			node.announce(qhid.Target(fmt.Sprint("t", i)))
			nodes = append(nodes, node)
		}
		for _, node := range nodes {
			Eventually(node.knownTargets).WithTimeout(eventuallyTimeout).Should(HaveLen(len(nodes)))
		}
	})
	stopNode := func(node *testNode) {
		node.stop()
		node.closeListener()
	}
	readEntry := func(id qhid.Node) func() error {
		return func() error {
			_, err := store.Get(ctx, entryKey(id))
			return err
		}
	}

	It("are deleted by other nodes of the zone", func() {
		stopNode(nodes[2])
		Eventually(readEntry("n2")).WithTimeout(eventuallyTimeout).Should(Satisfy(func(err error) bool { return qherr.Is(err, qherr.NotFound) }))
		Eventually(nodes[0].knownTargets).WithTimeout(eventuallyTimeout).Should(ConsistOf(qhid.Target("t0"), qhid.Target("t1")))
	})

	It("are deleted by the node that has got the address of one", func() {
		entry, known := nodes[0].members.Get("n0")
		Expect(known).To(BeTrue())
		entry.Node, entry.Incarnation = "gone", entry.Incarnation-5
		value, err := json.Marshal(entry)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Create(ctx, entryKey("gone"), value)
		Expect(err).NotTo(HaveOccurred())
		Eventually(readEntry("gone")).WithTimeout(eventuallyTimeout).Should(Satisfy(func(err error) bool { return qherr.Is(err, qherr.NotFound) }))
		for _, node := range nodes {
			Expect(node.knownTargets()).To(HaveLen(len(nodes)))
		}
	})

	It("are kept if no node of the zone responds, since the probing node may be cut off", func() {
		stopNode(nodes[1])
		stopNode(nodes[2])
		Consistently(readEntry("n1")).WithTimeout(4 * maxMissedProbes * probeInterval).Should(Succeed())
	})

	It("do not include those of nodes that respond", func() {
		time.Sleep(4 * maxMissedProbes * probeInterval)
		for _, node := range nodes {
			Expect(node.knownTargets()).To(HaveLen(len(nodes)))
		}
	})
})
