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

// tap is the store of one node: it counts its watches and can be cut off.
type tap struct {
	follows atomic.Int64
	cut     atomic.Bool
}

var errCut = qherr.New(qherr.Unavailable, nil, "wait", "this node is cut off from the store")

func (t *tap) of(store qhplatform.Store) qhplatform.Store {
	list, follow := store.ListAt, store.Follow
	store.ListAt = func(ctx context.Context, prefix qhplatform.Key) (qhplatform.Listing, error) {
		if t.cut.Load() {
			return qhplatform.Listing{}, errCut
		}
		return list(ctx, prefix)
	}
	store.Follow = func(ctx context.Context, prefix qhplatform.Key, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
		t.follows.Add(1)
		changes, err := follow(ctx, prefix, after, min(wait, time.Second))
		if t.cut.Load() {
			return qhplatform.Changes{}, errCut
		}
		return changes, err
	}
	return store
}

// fleet is the nodes of one availability zone, each with a target.
type fleet struct {
	nodes []*member
	taps  []*tap
}

func newFleet(size int, store qhplatform.Store) *fleet {
	f := &fleet{}
	for i := range size {
		t := &tap{}
		node := join(qhid.Node(fmt.Sprintf("n%02d", i)), t.of(store))
		node.announce(qhid.Target(fmt.Sprintf("t%02d", i)))
		f.nodes, f.taps = append(f.nodes, node), append(f.taps, t)
	}
	for _, node := range f.nodes {
		Eventually(node.knows).WithTimeout(patience).Should(HaveLen(size))
	}
	return f
}

// through returns the reader of each node, empty for the store.
func (f *fleet) through() []qhid.Node {
	var list []qhid.Node
	for _, node := range f.nodes {
		reader, _ := node.feed.reader()
		list = append(list, reader.Node)
	}
	return list
}

func (f *fleet) versions() []qhid.Version {
	var list []qhid.Version
	for _, node := range f.nodes {
		list = append(list, node.holder.Version())
	}
	return list
}

var _ = Describe("a large availability zone", func() {
	const size = 9
	ctx := context.Background()
	var memory *qhplatform.Memory
	var store qhplatform.Store
	var f *fleet
	write := func(version qhid.Version) {
		object, err := store.Get(ctx, configKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, configKey, encodeWritten(version), object.Revision)
		Expect(err).NotTo(HaveOccurred())
	}
	all := func(version qhid.Version) OmegaMatcher {
		return HaveEach(BeEquivalentTo(version))
	}
	BeforeEach(func() {
		memory = qhplatform.NewMemory(qhplatform.MemoryOptions{})
		store = memory.Store()
		_, err := store.Create(ctx, configKey, encodeWritten(1))
		Expect(err).NotTo(HaveOccurred())
		f = newFleet(size, store)
	})

	It("has few nodes that watch the store, and the others follow through them", func() {
		time.Sleep(2 * time.Second) // watches from before the nodes knew each other end
		for _, t := range f.taps {
			t.follows.Store(0)
		}
		for version := qhid.Version(2); version < 6; version++ {
			write(version)
			Eventually(f.versions).WithTimeout(patience).Should(all(version))
		}
		watching := 0
		for _, t := range f.taps {
			if t.follows.Load() > 0 {
				watching++
			}
		}
		Expect(watching).To(Equal(zoneReaders))
		f.nodes[size-1].announce("new")
		for _, node := range f.nodes {
			Eventually(node.knows).WithTimeout(patience).Should(ContainElement(qhid.Target("new")))
		}
	})

	It("passes over a reader that the store turns away", func() {
		f.taps[0].cut.Store(true)
		f.taps[1].cut.Store(true)
		time.Sleep(2 * time.Second) // the watches that were waiting end
		write(2)
		Eventually(func() []qhid.Version { return f.versions()[2:] }).WithTimeout(2 * time.Second).Should(all(2))
	})

	It("passes over a reader that stopped following but still answers", func() {
		for _, node := range f.nodes[:3] {
			node.stop()
		}
		write(2)
		Eventually(func() []qhid.Version { return f.versions()[3:] }).WithTimeout(patience).Should(all(2))
	})

	It("spreads the followers over the readers", func() {
		through := f.through()
		Expect(through[:zoneReaders]).To(HaveEach(BeEmpty()))
		Expect(through[zoneReaders:]).NotTo(ContainElement(BeEmpty()))
		f.nodes[size-1].feed.passOver(through[size-1], "configuration", errors.New("a test"))
		Expect(f.through()[size-1]).NotTo(Or(BeEmpty(), Equal(through[size-1])))
	})

	It("refuses to relay at a node that follows through another", func() {
		last := f.nodes[size-1]
		Eventually(last.feed.config.direct.Load).WithTimeout(patience).Should(BeFalse())
		url := "http://" + string(last.members.Self().PeerAddress) + followPath
		resp, err := http.Post(url, "application/json", bytes.NewReader([]byte(`{"p":"config/"}`)))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("a reader", func() {
	ctx := context.Background()

	It("watches anew where another one listed a newer version", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		store := memory.Store()
		_, err := store.Create(ctx, configKey, encodeWritten(1))
		Expect(err).NotTo(HaveOccurred())
		a, b := join("a", store), join("b", store)
		a.announce("ta")
		b.announce("tb")
		Eventually(a.knows).WithTimeout(patience).Should(HaveLen(2))
		Eventually(b.knows).WithTimeout(patience).Should(HaveLen(2))
		time.Sleep(2 * nodesPause)
		memory.SetFaults(qhplatform.Faults{SilentWatches: true})
		b.feed.doubt(nil) // its watches begin anew, and hear of nothing
		time.Sleep(configPause)
		object, err := store.Get(ctx, configKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, configKey, encodeWritten(2), object.Revision)
		Expect(err).NotTo(HaveOccurred())
		memory.SetFaults(qhplatform.Faults{})
		Eventually(a.holder.Version).WithTimeout(patience).Should(BeEquivalentTo(2))
		a.feed.tellReaders(ctx)
		Eventually(b.holder.Version).WithTimeout(minWait / 4).Should(BeEquivalentTo(2))
	})
})

var _ = Describe("a doubt", func() {
	DescribeTable("ends a watch that waits, not one whose answer comes", func(comes bool) {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		store := memory.Store()
		_, err := store.Create(context.Background(), configKey, encodeWritten(1))
		Expect(err).NotTo(HaveOccurred())
		var ended atomic.Int64
		waiting := make(chan struct{}, 8)
		store.Follow = func(ctx context.Context, _ qhplatform.Key, after qhplatform.Revision, _ time.Duration) (qhplatform.Changes, error) {
			if trace := httptrace.ContextClientTrace(ctx); trace != nil && comes {
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
		node := join("a", store)
		Eventually(waiting).WithTimeout(patience).Should(Receive())
		Eventually(waiting).WithTimeout(patience).Should(Receive())
		node.feed.doubt(nil)
		if comes {
			Consistently(ended.Load).WithTimeout(500 * time.Millisecond).Should(BeZero())
			return
		}
		Eventually(ended.Load).WithTimeout(500 * time.Millisecond).Should(BeEquivalentTo(2))
	}, Entry("waiting", false), Entry("coming", true))
})

var _ = Describe("the readers of a zone", func() {
	entry := func(node qhid.Node, zone qhid.Zone, link qhid.MegabitsPerSecond, state qhmember.State) qhmember.Entry {
		return qhmember.Entry{Node: node, Zone: zone, LinkSpeed: link, State: state}
	}
	It("are those with the fastest links that are up", func() {
		entries := []qhmember.Entry{
			entry("a", "z", 5, qhmember.Up), entry("b", "z", 5, qhmember.Up), entry("c", "z", 100, qhmember.Up),
			entry("d", "z", 100, qhmember.Leaving), entry("e", "y", 100, qhmember.Up), entry("f", "z", 5, qhmember.Up), entry("g", "z", 5, qhmember.Up),
		}
		nodes := func() (list []qhid.Node) {
			for _, reader := range readersOf(entries, "z") {
				list = append(list, reader.Node)
			}
			return list
		}
		Expect(nodes()).To(Equal([]qhid.Node{"c"})) // the others have slow links
		entries[2].LinkSpeed = 8
		Expect(nodes()).To(Equal([]qhid.Node{"c", "a", "b", "f"}))
		Expect(allReaders(entries)).To(Equal(5))
		Expect(readerCount(75)).To(Equal(5))
	})
})

var _ = Describe("a mirror", func() {
	object := func(key qhplatform.Key, revision qhplatform.Revision, value string) qhplatform.Object {
		return qhplatform.Object{Key: key, Revision: revision, Value: []byte(value)}
	}
	It("knows what changed since its last listing, and no more", func() {
		m := newMirror()
		m.replace(qhplatform.Listing{Revision: 10, Objects: []qhplatform.Object{object("k/a", 3, "one"), object("k/b", 9, "two")}})
		m.add(qhplatform.Changes{Revision: 14, Objects: []qhplatform.Object{object("k/a", 12, "three"), {Key: "k/b", Revision: 14}}})
		_, _, _, known := m.since(9)
		Expect(known).To(BeFalse())
		found, at, _, known := m.since(11)
		Expect(known).To(BeTrue())
		Expect(at).To(BeEquivalentTo(14))
		Expect(found).To(HaveLen(2))
		found, _, _, _ = m.since(0)
		Expect(found).To(HaveLen(1)) // a listing has nothing that was deleted
		Expect(m.newest()).To(BeEquivalentTo(14))
	})
	It("packs a value against the one that the other node has", func() {
		m := newMirror()
		long := bytes.Repeat([]byte("a value of some length, "), 100)
		m.add(qhplatform.Changes{Revision: 1, Objects: []qhplatform.Object{{Key: "k/a", Revision: 1, Value: long}}})
		m.add(qhplatform.Changes{Revision: 2, Objects: []qhplatform.Object{{Key: "k/a", Revision: 2, Value: append([]byte("new "), long...)}}})
		found, _, _, _ := m.since(1)
		_, against, err := m.packedFor(found[0], 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(against).To(BeEquivalentTo(1))
		_, against, err = m.packedFor(found[0], 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(against).To(BeZero())
	})
})

var _ = Describe("a follower whose readers all go silent", func() {
	It("has a quarter of the bound left for the store after two of them", func() {
		const longest = 1.5 // see follower.watch
		Expect(2 * (longest*relayWait + relayBound)).To(BeNumerically("<=", 0.75))
	})

	It("has a version in force in time", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		store := memory.Store()
		_, err := store.Create(context.Background(), configKey, encodeWritten(1))
		Expect(err).NotTo(HaveOccurred())
		f := newFleet(zoneReaders+3, store)
		follower := f.nodes[zoneReaders]
		Eventually(follower.feed.config.direct.Load).WithTimeout(patience).Should(BeFalse())
		// Two readers were passed over lately, the others take connections and say nothing.
		for _, reader := range f.nodes[:2] {
			follower.feed.passOver(reader.members.Self().Node, "configuration", errCut)
		}
		for i, reader := range f.nodes[2:zoneReaders] {
			quiet, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(quiet.Close)
			entry := reader.members.Self()
			entry.PeerAddress = qhid.Address(quiet.Addr().String())
			entry.Sequence += 1000
			Expect(follower.members.Merge([]qhmember.Entry{entry})).To(HaveLen(1), "reader %d", i)
		}
		follower.members.Refresh()
		object, err := store.Get(context.Background(), configKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(context.Background(), configKey, encodeWritten(2), object.Revision)
		Expect(err).NotTo(HaveOccurred())
		Eventually(follower.holder.Version).WithTimeout(defaultInForce).Should(BeEquivalentTo(2))
	})
})
