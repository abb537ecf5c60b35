package qhfeed

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

var _ = Describe("nodes that are gone", func() {
	ctx := context.Background()
	const sweep = 100 * time.Millisecond
	var store qhplatform.Store
	var nodes []*member
	BeforeEach(func() {
		store = qhplatform.NewMemory(qhplatform.MemoryOptions{}).Store()
		_, err := store.Create(ctx, configKey, encodeWritten(1))
		Expect(err).NotTo(HaveOccurred())
		nodes = nil
		for i := range 3 {
			node := joinWith(qhid.Node(fmt.Sprint("n", i)), store, Options{Seeds: func() []qhid.Address { return nil }, SweepInterval: sweep})
			node.announce(qhid.Target(fmt.Sprint("t", i)))
			nodes = append(nodes, node)
		}
		for _, node := range nodes {
			Eventually(node.knows).WithTimeout(patience).Should(HaveLen(len(nodes)))
		}
	})
	die := func(node *member) {
		node.stop()
		node.close()
	}
	entryOf := func(id qhid.Node) func() error {
		return func() error {
			_, err := store.Get(ctx, keyOf(id))
			return err
		}
	}

	It("have their entries removed by others of their zone", func() {
		die(nodes[2])
		Eventually(entryOf("n2")).WithTimeout(patience).Should(Satisfy(func(err error) bool { return qherr.Is(err, qherr.NotFound) }))
		Eventually(nodes[0].knows).WithTimeout(patience).Should(ConsistOf(qhid.Target("t0"), qhid.Target("t1")))
	})

	It("are not told from a cut where none answers", func() {
		die(nodes[1])
		die(nodes[2])
		Consistently(entryOf("n1")).WithTimeout(4 * goneRounds * sweep).Should(Succeed())
	})

	It("are not those that live", func() {
		time.Sleep(4 * goneRounds * sweep)
		for _, node := range nodes {
			Expect(node.knows()).To(HaveLen(len(nodes)))
		}
	})
})
