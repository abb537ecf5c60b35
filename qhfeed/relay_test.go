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

// storeTap wraps the store of one node. It counts the watches and can cut the node
// off.
type storeTap struct {
	follows atomic.Int64
	cutOff  atomic.Bool
}

var errCutOff = qherr.New(qherr.Unavailable, nil, "wait", "this node is cut off from the store by the test")

func (t *storeTap) wrap(store qhplatform.Store) qhplatform.Store {
	list, follow := store.ListAt, store.WatchPrefix
	store.ListAt = func(ctx context.Context, prefix qhplatform.Key) (qhplatform.Listing, error) {
		if t.cutOff.Load() {
			return qhplatform.Listing{}, errCutOff
		}
		return list(ctx, prefix)
	}
	store.WatchPrefix = func(ctx context.Context, prefix qhplatform.Key, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
		t.follows.Add(1)
		changes, err := follow(ctx, prefix, after, min(wait, time.Second))
		if t.cutOff.Load() {
			return qhplatform.Changes{}, errCutOff
		}
		return changes, err
	}
	return store
}

// zoneFleet is the nodes of one availability zone, each with a target.
type zoneFleet struct {
	nodes []*testNode
	taps  []*storeTap
}

func newZoneFleet(size int, store qhplatform.Store) *zoneFleet {
	f := &zoneFleet{}
	for i := range size {
		tap := &storeTap{}
		node := startNode(qhid.Node(fmt.Sprintf("n%02d", i)), tap.wrap(store))
		node.announce(qhid.Target(fmt.Sprintf("t%02d", i)))
		f.nodes, f.taps = append(f.nodes, node), append(f.taps, tap)
	}
	for _, node := range f.nodes {
		Eventually(node.knownTargets).WithTimeout(eventuallyTimeout).Should(HaveLen(size))
	}
	return f
}

// chosenReaders returns the reader of each node, empty for nodes that watch the
// store.
func (f *zoneFleet) chosenReaders() []qhid.Node {
	var list []qhid.Node
	for _, node := range f.nodes {
		reader, _ := node.feed.chooseReader()
		list = append(list, reader.Node)
	}
	return list
}

func (f *zoneFleet) versions() []qhid.Version {
	var list []qhid.Version
	for _, node := range f.nodes {
		list = append(list, node.holder.Version())
	}
	return list
}

var _ = Describe("a large availability zone", func() {
	const size = 9
	ctx := context.Background()
	var memory *qhplatform.Fake
	var store qhplatform.Store
	var f *zoneFleet
	write := func(version qhid.Version) {
		object, err := store.Get(ctx, configKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, configKey, encodeStoredConfig(version), object.Revision)
		Expect(err).NotTo(HaveOccurred())
	}
	all := func(version qhid.Version) OmegaMatcher {
		return HaveEach(BeEquivalentTo(version))
	}
	BeforeEach(func() {
		memory = qhplatform.NewFake(qhplatform.FakeOptions{})
		store = memory.Store()
		_, err := store.Create(ctx, configKey, encodeStoredConfig(1))
		Expect(err).NotTo(HaveOccurred())
		f = newZoneFleet(size, store)
	})

	It("has minReaders nodes that watch the store, and the others watch through them", func() {
		time.Sleep(2 * time.Second) // watches that began before the nodes knew each other end
		for _, t := range f.taps {
			t.follows.Store(0)
		}
		for version := qhid.Version(2); version < 6; version++ {
			write(version)
			Eventually(f.versions).WithTimeout(eventuallyTimeout).Should(all(version))
		}
		watching := 0
		for _, t := range f.taps {
			if t.follows.Load() > 0 {
				watching++
			}
		}
		Expect(watching).To(Equal(minReaders))
		f.nodes[size-1].announce("new")
		for _, node := range f.nodes {
			Eventually(node.knownTargets).WithTimeout(eventuallyTimeout).Should(ContainElement(qhid.Target("new")))
		}
	})

	It("skips readers that the store refuses", func() {
		f.taps[0].cutOff.Store(true)
		f.taps[1].cutOff.Store(true)
		time.Sleep(2 * time.Second) // pending watches end
		write(2)
		Eventually(func() []qhid.Version { return f.versions()[2:] }).WithTimeout(2 * time.Second).Should(all(2))
	})

	It("skips readers that stopped watching but still respond", func() {
		for _, node := range f.nodes[:3] {
			node.stop()
		}
		write(2)
		Eventually(func() []qhid.Version { return f.versions()[3:] }).WithTimeout(eventuallyTimeout).Should(all(2))
	})

	It("spreads the followers over the readers", func() {
		readers := f.chosenReaders()
		Expect(readers[:minReaders]).To(HaveEach(BeEmpty()))
		Expect(readers[minReaders:]).NotTo(ContainElement(BeEmpty()))
		f.nodes[size-1].feed.skipReader(readers[size-1], "configuration", errors.New("test failure"))
		Expect(f.chosenReaders()[size-1]).NotTo(Or(BeEmpty(), Equal(readers[size-1])))
	})

	It("refuses to relay at a node that watches through a reader", func() {
		last := f.nodes[size-1]
		Eventually(last.feed.config.watchesStore.Load).WithTimeout(eventuallyTimeout).Should(BeFalse())
		url := "http://" + string(last.members.Self().PeerAddress) + followPath
		resp, err := http.Post(url, "application/json", bytes.NewReader([]byte(`{"p":"config/"}`)))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("a reader", func() {
	ctx := context.Background()

	It("restarts its watches when another reader listed a newer version", func() {
		memory := qhplatform.NewFake(qhplatform.FakeOptions{})
		store := memory.Store()
		_, err := store.Create(ctx, configKey, encodeStoredConfig(1))
		Expect(err).NotTo(HaveOccurred())
		a, b := startNode("a", store), startNode("b", store)
		a.announce("ta")
		b.announce("tb")
		Eventually(a.knownTargets).WithTimeout(eventuallyTimeout).Should(HaveLen(2))
		Eventually(b.knownTargets).WithTimeout(eventuallyTimeout).Should(HaveLen(2))
		time.Sleep(2 * nodesWatchInterval)
		memory.SetFaults(qhplatform.Faults{SilentWatches: true})
		b.feed.restartWatches(nil) // its watches restart and receive no changes
		time.Sleep(configWatchInterval)
		object, err := store.Get(ctx, configKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, configKey, encodeStoredConfig(2), object.Revision)
		Expect(err).NotTo(HaveOccurred())
		memory.SetFaults(qhplatform.Faults{})
		Eventually(a.holder.Version).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(2))
		a.feed.notifyReaders(ctx)
		Eventually(b.holder.Version).WithTimeout(minWatchWait / 4).Should(BeEquivalentTo(2))
	})
})

var _ = Describe("a restart of the watches", func() {
	DescribeTable("ends a watch that waits, but not one whose response has begun to arrive", func(responding bool) {
		memory := qhplatform.NewFake(qhplatform.FakeOptions{})
		store := memory.Store()
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
		Expect(nodes()).To(Equal([]qhid.Node{"c", "a", "b", "f"}))
		Expect(totalReaders(entries)).To(Equal(5))
		Expect(readerCount(75)).To(Equal(5))
	})
})

var _ = Describe("an object cache", func() {
	object := func(key qhplatform.Key, revision qhplatform.Revision, value string) qhplatform.Object {
		return qhplatform.Object{Key: key, Revision: revision, Value: []byte(value)}
	}
	It("knows the changes since its last listing but none before it", func() {
		c := newObjectCache()
		c.replace(qhplatform.Listing{Revision: 10, Objects: []qhplatform.Object{object("k/a", 3, "one"), object("k/b", 9, "two")}})
		c.add(qhplatform.Changes{Revision: 14, Objects: []qhplatform.Object{object("k/a", 12, "three"), {Key: "k/b", Revision: 14}}})
		_, _, _, ok := c.since(9)
		Expect(ok).To(BeFalse())
		changes, revision, _, ok := c.since(11)
		Expect(ok).To(BeTrue())
		Expect(revision).To(BeEquivalentTo(14))
		Expect(changes).To(HaveLen(2))
		changes, _, _, _ = c.since(0)
		Expect(changes).To(HaveLen(1)) // a listing has no deleted objects
		Expect(c.newestRevision()).To(BeEquivalentTo(14))
	})
	It("packs a value as a difference from the one that the other node has", func() {
		c := newObjectCache()
		long := bytes.Repeat([]byte("a value of some length, "), 100)
		c.add(qhplatform.Changes{Revision: 1, Objects: []qhplatform.Object{{Key: "k/a", Revision: 1, Value: long}}})
		c.add(qhplatform.Changes{Revision: 2, Objects: []qhplatform.Object{{Key: "k/a", Revision: 2, Value: append([]byte("new "), long...)}}})
		changes, _, _, _ := c.since(1)
		_, base, err := c.packedFor(changes[0], 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(base).To(BeEquivalentTo(1))
		_, base, err = c.packedFor(changes[0], 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(base).To(BeZero())
	})
})

var _ = Describe("a follower whose readers all stop responding", func() {
	It("has a quarter of the convergence limit left for the store after trying two of them", func() {
		const maxWaitFactor = 1.5 // see follower.watch
		Expect(2 * (maxWaitFactor*relayWaitShare + relayGraceShare)).To(BeNumerically("<=", 0.75))
	})

	It("has a new version in force within the convergence limit", func() {
		memory := qhplatform.NewFake(qhplatform.FakeOptions{})
		store := memory.Store()
		_, err := store.Create(context.Background(), configKey, encodeStoredConfig(1))
		Expect(err).NotTo(HaveOccurred())
		f := newZoneFleet(minReaders+3, store)
		follower := f.nodes[minReaders]
		Eventually(follower.feed.config.watchesStore.Load).WithTimeout(eventuallyTimeout).Should(BeFalse())
		// Two readers were skipped lately, the others accept connections and do not
		// respond.
		for _, reader := range f.nodes[:2] {
			follower.feed.skipReader(reader.members.Self().Node, "configuration", errCutOff)
		}
		for i, reader := range f.nodes[2:minReaders] {
			silent, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(silent.Close)
			entry := reader.members.Self()
			entry.PeerAddress = qhid.Address(silent.Addr().String())
			entry.Sequence += 1000
			Expect(follower.members.Merge([]qhmember.Entry{entry})).To(HaveLen(1), "reader %d", i)
		}
		follower.members.Refresh()
		object, err := store.Get(context.Background(), configKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(context.Background(), configKey, encodeStoredConfig(2), object.Revision)
		Expect(err).NotTo(HaveOccurred())
		Eventually(follower.holder.Version).WithTimeout(defaultConvergenceLimit).Should(BeEquivalentTo(2))
	})
})
