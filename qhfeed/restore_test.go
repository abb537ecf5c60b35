package qhfeed

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// lostWrites is the number of writes that a restore takes back in these tests.
const lostWrites = 50

// writeObjects makes as many writes under a prefix that no watcher watches.
func writeObjects(store qhplatform.Store, name string, count int) {
	for i := range count {
		_, err := store.Create(context.Background(), qhplatform.Key(fmt.Sprintf("other/%s-%d", name, i)), []byte("x"))
		Expect(err).NotTo(HaveOccurred())
	}
}

// writeConfig writes a version of the configuration.
func writeConfig(store qhplatform.Store, version qhid.Version) {
	ctx := context.Background()
	object, err := store.Get(ctx, configKey)
	if err == nil {
		_, err = store.Update(ctx, configKey, encodeStoredConfig(version), object.Revision)
	} else {
		_, err = store.Create(ctx, configKey, encodeStoredConfig(version))
	}
	Expect(err).NotTo(HaveOccurred())
}

// withoutEra returns the store as one that does not tell its era.
func withoutEra(store qhplatform.Store) qhplatform.Store {
	list, watch := store.ListAt, store.WatchPrefix
	store.ListAt = func(ctx context.Context, prefix qhplatform.Key) (qhplatform.Listing, error) {
		listing, err := list(ctx, prefix)
		listing.Era = 0
		return listing, err
	}
	store.WatchPrefix = func(ctx context.Context, prefix qhplatform.Key, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
		changes, err := watch(ctx, prefix, after, wait)
		changes.Era = 0
		return changes, err
	}
	return store
}

var _ = Describe("a feed whose store is restored from a copy", func() {
	var fake *qhplatform.Fake
	var store qhplatform.Store
	BeforeEach(func() {
		fake = qhplatform.NewFake(qhplatform.FakeOptions{})
		store = fake.Store()
		writeConfig(store, 3)
	})
	haveVersion := func(n *testNode, version qhid.Version) {
		GinkgoHelper()
		Eventually(n.holder.Version).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(version))
	}
	// loseWrites makes writes, version 5 among them, and restores a copy from
	// before them.
	loseWrites := func(n *testNode) {
		GinkgoHelper()
		backup := fake.Backup()
		writeObjects(store, "lost", lostWrites)
		writeConfig(store, 5)
		haveVersion(n, 5)
		fake.Restore(backup)
	}

	DescribeTable("puts the versions written after the restore in force, and none older than its own", func(wrap func(qhplatform.Store) qhplatform.Store) {
		n := startNode("a", wrap(store))
		haveVersion(n, 3)
		loseWrites(n)
		Consistently(n.holder.Version).WithTimeout(300 * time.Millisecond).Should(BeEquivalentTo(5))
		writeConfig(store, 5)
		writeConfig(store, 7)
		haveVersion(n, 7)
		backup := fake.Backup()
		writeObjects(store, "again", lostWrites)
		writeConfig(store, 9)
		haveVersion(n, 9)
		fake.Restore(backup)
		writeConfig(store, 11)
		haveVersion(n, 11)
		Eventually(n.feed.StoreReachable).WithTimeout(eventuallyTimeout).Should(BeTrue())
	},
		Entry("that tells its era", func(s qhplatform.Store) qhplatform.Store { return s }),
		Entry("that does not tell its era", withoutEra),
	)

	It("misses no version although the revisions have grown past the known one before its watch continues", func() {
		tap := &storeTap{}
		n := startNode("a", tap.wrap(store))
		haveVersion(n, 3)
		backup := fake.Backup()
		writeObjects(store, "lost", lostWrites)
		writeConfig(store, 5)
		haveVersion(n, 5)
		tap.cutOff.Store(true)
		fake.Restore(backup)
		writeConfig(store, 7)
		writeObjects(store, "new", 2*lostWrites)
		tap.cutOff.Store(false)
		haveVersion(n, 7)
	})

	It("lists again if another reader reports a new era while its watch is held", func() {
		held := store
		held.WatchPrefix = func(ctx context.Context, _ qhplatform.Key, _ qhplatform.Revision, _ time.Duration) (qhplatform.Changes, error) {
			<-ctx.Done()
			return qhplatform.Changes{}, errCutOff
		}
		a, b := startNode("a", store), startNode("b", held)
		a.announce("ta")
		haveVersion(b, 3)
		haveVersion(a, 3)
		fake.Restore(fake.Backup())
		writeConfig(store, 7)
		haveVersion(a, 7)
		Expect(a.feed.knownEra()).To(BeEquivalentTo(2))
		response, err := post[struct{}](context.Background(), a.feed.PeerClient, b.members.Self().PeerAddress, noticePath, versionNotice{Era: 2})
		Expect(err).NotTo(HaveOccurred())
		Expect(response).To(BeZero())
		haveVersion(b, 7)
	})

	It("gets the version of its peers if it starts while the store has an older one", func() {
		a := startNode("a", store)
		a.announce("ta")
		haveVersion(a, 3)
		Eventually(func() error { _, err := store.Get(context.Background(), entryKey("a")); return err }).WithTimeout(eventuallyTimeout).Should(Succeed())
		loseWrites(a)
		b := startNode("b", store)
		haveVersion(b, 5)
	})

	It("reaches the clients of its readers", func() {
		zone := newTestZone(minReaders+3, store)
		Eventually(zone.nodes[minReaders].feed.config.watchesStore.Load).WithTimeout(eventuallyTimeout).Should(BeFalse())
		backup := fake.Backup()
		writeObjects(store, "lost", lostWrites)
		writeConfig(store, 5)
		Eventually(zone.versions).WithTimeout(eventuallyTimeout).Should(HaveEach(BeEquivalentTo(5)))
		fake.Restore(backup)
		writeConfig(store, 5)
		writeConfig(store, 7)
		Eventually(zone.versions).WithTimeout(eventuallyTimeout).Should(HaveEach(BeEquivalentTo(7)))
	})
})

var _ = Describe("a position in the history of a store", func() {
	const fromStore, fromReader = true, false
	DescribeTable("tells how a listing relates to it", func(known, next position, source bool, expected succession) {
		Expect(known.compareListing(next, source)).To(Equal(expected))
	},
		Entry("a higher revision", position{1, 5}, position{1, 9}, fromReader, follows),
		Entry("a lower revision of the same era", position{1, 5}, position{1, 4}, fromStore, precedes),
		Entry("a later era, whatever the revision", position{1, 5}, position{2, 9}, fromReader, restored),
		Entry("an earlier era, whatever the revision", position{2, 5}, position{1, 9}, fromStore, precedes),
		Entry("a lower revision of the store without an era", position{0, 5}, position{0, 4}, fromStore, restored),
		Entry("a lower revision of a reader without an era", position{0, 5}, position{0, 4}, fromReader, precedes),
		Entry("a lower revision of the store in a response without the era", position{1, 5}, position{0, 4}, fromStore, restored),
		Entry("a higher revision in a response without the era", position{1, 5}, position{0, 9}, fromStore, follows),
		Entry("the first listing", position{}, position{3, 9}, fromStore, follows),
	)
})

var _ = Describe("an object cache of a restored store", func() {
	It("drops the objects of the earlier era and knows no history for its clients", func() {
		c := newObjectCache()
		c.replace([]qhplatform.Object{{Key: "k/a", Revision: 8, Value: []byte("old")}}, position{1, 9}, false)
		c.replace([]qhplatform.Object{{Key: "k/a", Revision: 3, Value: []byte("copy")}}, position{2, 4}, true)
		changes, at, _, ok := c.since(position{era: 2})
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(position{2, 4}))
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Value).To(Equal([]byte("copy")))
		_, base, err := c.packedFor(changes[0], 8)
		Expect(err).NotTo(HaveOccurred())
		Expect(base).To(BeZero())
		_, at, _, ok = c.since(position{1, 9})
		Expect(ok).To(BeFalse())
		Expect(at.era).To(BeEquivalentTo(2))
	})
})
