package qhfeed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

// storeTap wraps the store of one node. It counts the node's watches, and makes the
// node's reads fail while cutOff is set.
type storeTap struct {
	watches atomic.Int64
	cutOff  atomic.Bool
}

var errCutOff = qherr.New(qherr.Unavailable, nil, "wait", "this node is cut off from the store by the test")

func (t *storeTap) wrap(store qhplatform.Store) qhplatform.Store {
	list, watch := store.ListAt, store.WatchPrefix
	store.ListAt = func(ctx context.Context, prefix qhplatform.Key) (qhplatform.Listing, error) {
		if t.cutOff.Load() {
			return qhplatform.Listing{}, errCutOff
		}
		return list(ctx, prefix)
	}
	store.WatchPrefix = func(ctx context.Context, prefix qhplatform.Key, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
		t.watches.Add(1)
		changes, err := watch(ctx, prefix, after, min(wait, time.Second))
		if t.cutOff.Load() {
			return qhplatform.Changes{}, errCutOff
		}
		return changes, err
	}
	return store
}

// testZone has the nodes of one availability zone, each with a target.
type testZone struct {
	nodes []*testNode
	taps  []*storeTap
}

func newTestZone(size int, store qhplatform.Store) *testZone {
	z := &testZone{}
	for i := range size {
		tap := &storeTap{}
		node := startNode(qhid.Node(fmt.Sprintf("n%02d", i)), tap.wrap(store))
		node.announce(qhid.Target(fmt.Sprintf("t%02d", i)))
		z.nodes, z.taps = append(z.nodes, node), append(z.taps, tap)
	}
	for _, node := range z.nodes {
		Eventually(node.knownTargets).WithTimeout(eventuallyTimeout).Should(HaveLen(size))
	}
	return z
}

// chosenReaders returns the reader of each node, empty for nodes that watch the
// store.
func (z *testZone) chosenReaders() []qhid.Node {
	var list []qhid.Node
	for _, node := range z.nodes {
		reader, _ := node.feed.chooseReader()
		list = append(list, reader.Node)
	}
	return list
}

// skippedReaders returns how many readers are skipped, over all nodes.
func (z *testZone) skippedReaders() int {
	skipped := 0
	for _, node := range z.nodes {
		for _, reader := range readersInZone(node.members.View().Entries, node.members.Self().Zone) {
			if node.feed.isSkipped(reader.Node) {
				skipped++
			}
		}
	}
	return skipped
}

func (z *testZone) versions() []qhid.Version {
	var list []qhid.Version
	for _, node := range z.nodes {
		list = append(list, node.holder.Version())
	}
	return list
}

var _ = Describe("a large availability zone", func() {
	const size = 9
	ctx := context.Background()
	var fake *qhplatform.Fake
	var store qhplatform.Store
	var zone *testZone
	write := func(version qhid.Version) {
		object, err := store.Get(ctx, configKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, configKey, encodeStoredConfig(version), object.Revision)
		Expect(err).NotTo(HaveOccurred())
	}
	allAtVersion := func(version qhid.Version) OmegaMatcher {
		return HaveEach(BeEquivalentTo(version))
	}
	BeforeEach(func() {
		fake = qhplatform.NewFake(qhplatform.FakeOptions{})
		store = fake.Store()
		_, err := store.Create(ctx, configKey, encodeStoredConfig(1))
		Expect(err).NotTo(HaveOccurred())
		zone = newTestZone(size, store)
	})

	It("has minReaders nodes that watch the store, and the others watch through them", func() {
		time.Sleep(2 * time.Second) // watches that began before the nodes knew each other end
		for _, t := range zone.taps {
			t.watches.Store(0)
		}
		for version := qhid.Version(2); version < 6; version++ {
			write(version)
			Eventually(zone.versions).WithTimeout(eventuallyTimeout).Should(allAtVersion(version))
		}
		watching := 0
		for _, t := range zone.taps {
			if t.watches.Load() > 0 {
				watching++
			}
		}
		Expect(watching).To(Equal(minReaders))
		zone.nodes[size-1].announce("new")
		for _, node := range zone.nodes {
			Eventually(node.knownTargets).WithTimeout(eventuallyTimeout).Should(ContainElement(qhid.Target("new")))
		}
	})

	It("skips readers that are cut off from the store", func() {
		zone.taps[0].cutOff.Store(true)
		zone.taps[1].cutOff.Store(true)
		time.Sleep(2 * time.Second) // pending watches end
		write(2)
		Eventually(func() []qhid.Version { return zone.versions()[2:] }).WithTimeout(2 * time.Second).Should(allAtVersion(2))
	})

	It("skips readers that stopped watching but still respond", func() {
		for _, node := range zone.nodes[:3] {
			node.stop()
		}
		write(2)
		Eventually(func() []qhid.Version { return zone.versions()[3:] }).WithTimeout(eventuallyTimeout).Should(allAtVersion(2))
	})

	It("spreads the clients over the readers", func() {
		// Nodes skip readers that they asked before these had begun to serve.
		Eventually(zone.skippedReaders).WithTimeout(eventuallyTimeout).Should(BeZero())
		readers := zone.chosenReaders()
		Expect(readers[:minReaders]).To(HaveEach(BeEmpty()))
		Expect(readers[minReaders:]).NotTo(ContainElement(BeEmpty()))
		skipping := zone.nodes[size-1].feed
		skipping.skipReader(readers[size-1], skipping.config, errors.New("test failure"))
		Expect(zone.chosenReaders()[size-1]).NotTo(Or(BeEmpty(), Equal(readers[size-1])))
	})

	It("refuses watches at a node that itself watches through a reader", func() {
		last := zone.nodes[size-1]
		Eventually(last.feed.config.watchesStore.Load).WithTimeout(eventuallyTimeout).Should(BeFalse())
		url := "http://" + string(last.members.Self().PeerAddress) + watchPath
		resp, err := http.Post(url, "application/json", bytes.NewReader([]byte(`{"p":"config/"}`)))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("a reader", func() {
	ctx := context.Background()

	It("restarts its watches when another reader listed a newer version", func() {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		store := fake.Store()
		_, err := store.Create(ctx, configKey, encodeStoredConfig(1))
		Expect(err).NotTo(HaveOccurred())
		a, b := startNode("a", store), startNode("b", store)
		a.announce("ta")
		b.announce("tb")
		Eventually(a.knownTargets).WithTimeout(eventuallyTimeout).Should(HaveLen(2))
		Eventually(b.knownTargets).WithTimeout(eventuallyTimeout).Should(HaveLen(2))
		time.Sleep(2 * nodesWatchInterval)
		fake.SetFaults(qhplatform.Faults{SilentWatches: true})
		b.feed.restartWatches(nil) // its watches restart and receive no changes
		time.Sleep(configWatchInterval)
		object, err := store.Get(ctx, configKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, configKey, encodeStoredConfig(2), object.Revision)
		Expect(err).NotTo(HaveOccurred())
		fake.SetFaults(qhplatform.Faults{})
		Eventually(a.holder.Version).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(2))
		a.feed.notifyReaders(ctx)
		Eventually(b.holder.Version).WithTimeout(500 * time.Millisecond).Should(BeEquivalentTo(2))
	})
})

var _ = Describe("a restart of the watches", func() {
	DescribeTable("ends a watch that waits, but not one whose response has begun to arrive", func(responding bool) {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		store := fake.Store()
		_, err := store.Create(context.Background(), configKey, encodeStoredConfig(1))
		Expect(err).NotTo(HaveOccurred())
		var ended atomic.Int64
		waiting := make(chan struct{}, 8)
		store.WatchPrefix = func(ctx context.Context, _ qhplatform.Key, after qhplatform.Revision, _ time.Duration) (qhplatform.Changes, error) {
			if trace := httptrace.ContextClientTrace(ctx); trace != nil && responding {
				trace.GotFirstResponseByte()
			}
			waiting <- struct{}{}
			select {
			case <-ctx.Done():
				ended.Add(1)
			case <-time.After(time.Second):
			}
			return qhplatform.Changes{Revision: after}, ctx.Err()
		}
		node := startNode("a", store)
		Eventually(waiting).WithTimeout(eventuallyTimeout).Should(Receive())
		Eventually(waiting).WithTimeout(eventuallyTimeout).Should(Receive())
		node.feed.restartWatches(nil)
		if responding {
			Consistently(ended.Load).WithTimeout(500 * time.Millisecond).Should(BeZero())
			return
		}
		Eventually(ended.Load).WithTimeout(500 * time.Millisecond).Should(BeEquivalentTo(2))
	}, Entry("waiting", false), Entry("response arriving", true))
})

var _ = Describe("the readers of a zone", func() {
	entry := func(node qhid.Node, zone qhid.Zone, link qhid.MegabitsPerSecond, state qhmember.State) qhmember.Entry {
		return qhmember.Entry{Node: node, Zone: zone, LinkSpeed: link, State: state}
	}
	It("are the nodes with the fastest links that are up", func() {
		entries := []qhmember.Entry{
			entry("a", "z", 5, qhmember.Up), entry("b", "z", 5, qhmember.Up), entry("c", "z", 100, qhmember.Up),
			entry("d", "z", 100, qhmember.Leaving), entry("e", "y", 100, qhmember.Up), entry("f", "z", 5, qhmember.Up), entry("g", "z", 5, qhmember.Up),
		}
		nodes := func() (list []qhid.Node) {
			for _, reader := range readersInZone(entries, "z") {
				list = append(list, reader.Node)
			}
			return list
		}
		Expect(nodes()).To(Equal([]qhid.Node{"c"})) // the links of the others are too slow
		entries[2].LinkSpeed = 8
		Expect(nodes()).To(Equal([]qhid.Node{"c", "a"}))
		Expect(totalReaders(entries)).To(Equal(3))
		Expect(readerCount(75)).To(Equal(5))
	})
})

var _ = Describe("an object cache", func() {
	object := func(key qhplatform.Key, revision qhplatform.Revision, value string) qhplatform.Object {
		return qhplatform.Object{Key: key, Revision: revision, Value: []byte(value)}
	}
	It("knows the changes since its last listing but none before it", func() {
		c := newObjectCache()
		c.replace([]qhplatform.Object{object("k/a", 3, "one"), object("k/b", 9, "two")}, position{revision: 10}, false)
		c.add([]qhplatform.Object{object("k/a", 12, "three"), {Key: "k/b", Revision: 14}}, position{revision: 14})
		_, _, _, ok := c.since(position{revision: 9})
		Expect(ok).To(BeFalse())
		changes, at, _, ok := c.since(position{revision: 11})
		Expect(ok).To(BeTrue())
		Expect(at.revision).To(BeEquivalentTo(14))
		Expect(changes).To(HaveLen(2))
		changes, _, _, _ = c.since(position{})
		Expect(changes).To(HaveLen(1)) // a listing has no deleted objects
		Expect(c.newestRevision()).To(BeEquivalentTo(14))
	})
	It("packs a value as a difference from the one that the other node has", func() {
		c := newObjectCache()
		long := bytes.Repeat([]byte("a value of some length, "), 100)
		c.add([]qhplatform.Object{{Key: "k/a", Revision: 1, Value: long}}, position{revision: 1})
		c.add([]qhplatform.Object{{Key: "k/a", Revision: 2, Value: append([]byte("new "), long...)}}, position{revision: 2})
		changes, _, _, _ := c.since(position{revision: 1})
		_, base, err := c.packedFor(changes[0], 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(base).To(BeEquivalentTo(1))
		_, base, err = c.packedFor(changes[0], 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(base).To(BeZero())
	})
})

var _ = Describe("a client whose readers all stop responding", func() {
	It("has a new version in force within the convergence limit", func() {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		store := fake.Store()
		_, err := store.Create(context.Background(), configKey, encodeStoredConfig(1))
		Expect(err).NotTo(HaveOccurred())
		zone := newTestZone(minReaders+3, store)
		client := zone.nodes[minReaders]
		Eventually(client.feed.config.watchesStore.Load).WithTimeout(eventuallyTimeout).Should(BeFalse())
		// The readers accept connections but do not respond.
		for i, reader := range zone.nodes[:minReaders] {
			silent, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(silent.Close)
			entry := reader.members.Self()
			entry.PeerAddress = qhid.Address(silent.Addr().String())
			entry.Sequence += 1000
			Expect(client.members.Merge([]qhmember.Entry{entry})).To(HaveLen(1), "reader %d", i)
		}
		client.members.Refresh()
		object, err := store.Get(context.Background(), configKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(context.Background(), configKey, encodeStoredConfig(2), object.Revision)
		Expect(err).NotTo(HaveOccurred())
		Eventually(client.holder.Version).WithTimeout(defaultConvergenceLimit).Should(BeEquivalentTo(2))
	})
})
