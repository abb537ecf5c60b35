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
