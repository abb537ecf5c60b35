package qhfeed

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

var _ = Describe("the entries of nodes in a store that is restored from a copy", func() {
	ctx := context.Background()
	var fake *qhplatform.Fake
	var store qhplatform.Store
	BeforeEach(func() {
		fake = qhplatform.NewFake(qhplatform.FakeOptions{})
		store = fake.Store()
		writeConfig(store, 1)
	})
	// storedTargets returns the targets in the entry of a node in the store.
	storedTargets := func(node qhid.Node) func() []qhid.Target {
		return func() (list []qhid.Target) {
			object, err := store.Get(ctx, entryKey(node))
			var entry qhmember.Entry
			if err != nil || json.Unmarshal(object.Value, &entry) != nil {
				return nil
			}
			for _, target := range entry.Targets {
				list = append(list, target.ID)
			}
			return list
		}
	}
	waitFor := func(get func() []qhid.Target, expected ...qhid.Target) {
		GinkgoHelper()
		Eventually(get).WithTimeout(eventuallyTimeout).Should(ConsistOf(expected))
	}

	It("are written again if the restore took them back", func() {
		a, b := startNode("a", store), startNode("b", store)
		Eventually(a.feed.Ready()).WithTimeout(eventuallyTimeout).Should(BeClosed())
		backup := fake.Backup()
		writeObjects(store, "lost", lostWrites)
		a.announce("t1")
		waitFor(storedTargets("a"), "t1")
		waitFor(b.knownTargets, "t1")
		fake.Restore(backup)
		waitFor(storedTargets("a"), "t1")
		waitFor(startNode("c", store).knownTargets, "t1")
		waitFor(b.knownTargets, "t1")
	})

	It("are written again if the store has an earlier one", func() {
		a := startNode("a", store)
		a.announce("t1")
		waitFor(storedTargets("a"), "t1")
		backup := fake.Backup()
		writeObjects(store, "lost", lostWrites)
		a.announce("t2")
		waitFor(storedTargets("a"), "t2")
		fake.Restore(backup)
		waitFor(storedTargets("a"), "t2")
	})

	It("are written again if a delayed write replaced the latest one", func() {
		a := startNode("a", store)
		a.announce("t1")
		waitFor(storedTargets("a"), "t1")
		first, err := store.Get(ctx, entryKey("a"))
		Expect(err).NotTo(HaveOccurred())
		a.announce("t2")
		waitFor(storedTargets("a"), "t2")
		latest, err := store.Get(ctx, entryKey("a"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * nodesWatchInterval) // a has received its own entry
		_, err = store.Update(ctx, entryKey("a"), first.Value, latest.Revision)
		Expect(err).NotTo(HaveOccurred())
		waitFor(storedTargets("a"), "t2")
	})

	It("are used until their nodes have written them again", func() {
		cutOff := store
		tap := &storeTap{}
		a, b := startNode("a", tap.wrap(cutOff)), startNode("b", store)
		Eventually(a.feed.Ready()).WithTimeout(eventuallyTimeout).Should(BeClosed())
		backup := fake.Backup()
		writeObjects(store, "lost", lostWrites)
		a.announce("t1")
		waitFor(b.knownTargets, "t1")
		tap.cutOff.Store(true)
		fake.Restore(backup)
		Eventually(b.feed.knownEra).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(2))
		Consistently(b.knownTargets).WithTimeout(2 * time.Second).Should(ConsistOf(qhid.Target("t1")))
		tap.cutOff.Store(false)
		waitFor(storedTargets("a"), "t1")
		Expect(b.knownTargets()).To(ConsistOf(qhid.Target("t1")))
	})

	It("are dropped if their nodes are gone and do not write them again", func() {
		a, b := startNode("a", store), startNode("b", store)
		b.announce("t2")
		waitFor(a.knownTargets, "t2")
		backup := fake.Backup()
		writeObjects(store, "lost", lostWrites)
		a.announce("t1")
		waitFor(b.knownTargets, "t1", "t2")
		a.stop()
		a.closeListener()
		fake.Restore(backup)
		waitFor(b.knownTargets, "t2")
	})

	It("do not come back if their nodes have left", func() {
		a, b := startNode("a", store), startNode("b", store)
		a.announce("t1")
		b.announce("t2")
		waitFor(b.knownTargets, "t1", "t2")
		backup := fake.Backup()
		writeObjects(store, "lost", lostWrites)
		a.feed.Leave(ctx)
		waitFor(b.knownTargets, "t2")
		a.stop()
		a.closeListener()
		fake.Restore(backup)
		Eventually(b.feed.knownEra).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(2))
		Consistently(b.knownTargets).WithTimeout(2 * time.Second).Should(ConsistOf(qhid.Target("t2")))
		waitFor(storedTargets("a"))
	})

	It("are deleted again by a node that is leaving", func() {
		a := startNode("a", store)
		a.announce("t1")
		waitFor(storedTargets("a"), "t1")
		backup := fake.Backup()
		writeObjects(store, "lost", lostWrites)
		a.feed.Leave(ctx)
		waitFor(storedTargets("a"))
		fake.Restore(backup)
		Eventually(a.feed.knownEra).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(2))
		waitFor(storedTargets("a"))
	})

	It("of nodes that are gone are dropped if only a peer had them", func() {
		a := startNode("a", store)
		Eventually(a.feed.Ready()).WithTimeout(eventuallyTimeout).Should(BeClosed())
		gone := qhmember.Entry{
			Node: "gone", Zone: "kigali-b", PeerAddress: "127.0.0.1:1", CallAddress: "127.0.0.1:1", Incarnation: 1, Sequence: 1, State: qhmember.Up,
			Targets: []qhmember.AnnouncedTarget{{ID: "t1", Service: "booking", State: qhmember.Up, Slots: 9}},
		}
		a.feed.applyExchange(exchangeMessage{Entries: []qhmember.Entry{gone}})
		Expect(a.knownTargets()).To(ConsistOf(qhid.Target("t1")))
		waitFor(a.knownTargets)
	})
})
