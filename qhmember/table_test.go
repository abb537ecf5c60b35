package qhmember_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

func newEntry(node qhid.Node, incarnation qhid.Incarnation, sequence qhid.Sequence, state qhmember.State) qhmember.Entry {
	return qhmember.Entry{
		Node: node, Zone: "kigali-a", PeerAddress: qhid.Address(node) + ":7001", CallAddress: qhid.Address(node) + ":7002",
		Incarnation: incarnation, Sequence: sequence, State: state,
		Targets: []qhmember.AnnouncedTarget{{ID: qhid.Target(node) + "-booking", Service: "booking", State: qhmember.Up, Slots: 9}},
	}
}

// drawEntry draws an entry whose content depends only on its node, incarnation and
// sequence, as with a single owner.
func drawEntry(t *rapid.T) qhmember.Entry {
	node := rapid.SampledFrom([]qhid.Node{"a1", "a2", "b1"}).Draw(t, "node")
	entry := newEntry(node, qhid.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		qhid.Sequence(rapid.IntRange(0, 3).Draw(t, "sequence")), qhmember.Up)
	if node == "b1" {
		entry.Zone = "kigali-b"
	}
	entry.Targets[0].Slots = int(entry.Incarnation)*10 + int(entry.Sequence)
	if entry.Sequence == 2 {
		entry.Targets = nil
	}
	if rapid.Bool().Draw(t, "down") {
		entry.State = qhmember.Down
	}
	return entry
}

// formatView formats a view without the stats of its endpoints.
func formatView(view *qhmember.View) string {
	text := fmt.Sprintln(view.Entries)
	for _, endpoint := range view.Services["booking"] {
		text += fmt.Sprintln(endpoint.AnnouncedTarget, endpoint.Node, endpoint.Zone, endpoint.NodeDown, endpoint.Incarnation)
	}
	return text
}

func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "entries")
		shuffled := rapid.Permutation(append(entries, entries...)).Draw(t, "again")
		first, second := qhmember.NewTable(qhmember.Options{}), qhmember.NewTable(qhmember.Options{})
		first.Merge(entries)
		for _, entry := range shuffled {
			before, known := second.Get(entry.Node)
			second.Merge([]qhmember.Entry{entry})
			after, _ := second.Get(entry.Node)
			if known && qhmember.Compare(after, before) < 0 {
				t.Fatalf("newer entry %v was replaced by %v", before, after)
			}
		}
		if formatView(first.View()) != formatView(second.View()) || first.Checksum() != second.Checksum() {
			t.Fatalf("tables differ:\n%s%x\n%s%x", formatView(first.View()), first.Checksum(), formatView(second.View()), second.Checksum())
		}
	})
}

func TestStatsLastForOneIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := qhmember.NewTable(qhmember.Options{})
		stats := make(map[qhid.Node]*qhmember.EndpointStats)
		incarnations := make(map[qhid.Node]qhid.Incarnation)
		for _, entry := range rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "entries") {
			table.Merge([]qhmember.Entry{entry})
			present := make(map[qhid.Node]bool)
			for _, endpoint := range table.View().Services["booking"] {
				present[endpoint.Node] = true
				if old := stats[endpoint.Node]; old != nil && incarnations[endpoint.Node] == endpoint.Incarnation && old != endpoint.Stats {
					t.Fatalf("stats of %s were lost within one incarnation", endpoint.Node)
				}
				stats[endpoint.Node], incarnations[endpoint.Node] = endpoint.Stats, endpoint.Incarnation
			}
			for node := range stats {
				if !present[node] {
					delete(stats, node)
				}
			}
		}
	})
}

var _ = Describe("Table", func() {
	It("refutes newer entries of others about its own node", func() {
		self := newEntry("a1", 5, 3, qhmember.Up)
		now := time.Unix(1_800_000_000, 0)
		table := qhmember.NewTable(qhmember.Options{Self: self, Now: func() time.Time { return now }})
		down := self
		down.State = qhmember.Down
		changed := table.Merge([]qhmember.Entry{down})
		Expect(changed).To(HaveLen(1))
		Expect(changed[0].State).To(Equal(qhmember.Up))
		Expect(qhmember.Compare(changed[0], down)).To(BeNumerically(">", 0))
		later := newEntry("a1", 9, 0, qhmember.Leaving)
		Expect(table.Merge([]qhmember.Entry{later})).To(BeEmpty())
		Expect(table.Self().State).To(Equal(qhmember.Up))
		now = now.Add(2 * time.Second)
		changed = table.Merge([]qhmember.Entry{later})
		Expect(qhmember.Compare(changed[0], later)).To(BeNumerically(">", 0))
		Expect(changed[0].State).To(Equal(qhmember.Up))
		Expect(table.Merge([]qhmember.Entry{down, later})).To(BeEmpty())
	})

	It("limits the refutations of two processes with one id", func() {
		now := time.Unix(1_800_000_000, 0)
		clock := func() time.Time { return now }
		first := qhmember.NewTable(qhmember.Options{Self: newEntry("a1", 5, 0, qhmember.Up), Now: clock})
		second := qhmember.NewTable(qhmember.Options{Self: newEntry("a1", 6, 0, qhmember.Up), Now: clock})
		refutations := 0
		for range 100 {
			refutations += len(first.Merge([]qhmember.Entry{second.Self()}))
			refutations += len(second.Merge([]qhmember.Entry{first.Self()}))
			now = now.Add(100 * time.Millisecond)
		}
		Expect(refutations).To(BeNumerically("<=", 12))
	})

	It("gives an address to the node that started last, in any order of entries", func() {
		old := qhmember.Entry{Node: "n1", Zone: "z", PeerAddress: "10.0.0.1:80", Incarnation: 5, Sequence: 9, State: qhmember.Up, Targets: []qhmember.AnnouncedTarget{{ID: "t1", Service: "booking"}}}
		successor := qhmember.Entry{Node: "n2", Zone: "z", PeerAddress: "10.0.0.1:80", Incarnation: 6, Sequence: 1, State: qhmember.Up, Targets: []qhmember.AnnouncedTarget{{ID: "t2", Service: "booking"}}}
		var checksums []qhmember.Checksum
		for _, entries := range [][]qhmember.Entry{{old, successor}, {successor, old}} {
			t := qhmember.NewTable(qhmember.Options{Self: qhmember.Entry{Node: "self", Zone: "z", PeerAddress: "10.0.0.9:80", Incarnation: 1, State: qhmember.Up}})
			for _, entry := range entries {
				t.Merge([]qhmember.Entry{entry})
			}
			Expect(t.View().Services["booking"]).To(HaveLen(1))
			Expect(t.View().Services["booking"][0].ID).To(BeEquivalentTo("t2"))
			_, known := t.Get("n1")
			Expect(known).To(BeFalse())
			checksums = append(checksums, t.Checksum())
		}
		Expect(checksums[0]).To(Equal(checksums[1]))
	})

	It("keeps its own address whatever other entries say", func() {
		t := qhmember.NewTable(qhmember.Options{Self: qhmember.Entry{Node: "self", Zone: "z", PeerAddress: "10.0.0.9:80", Incarnation: 1, State: qhmember.Up}})
		t.Merge([]qhmember.Entry{{Node: "n1", Zone: "z", PeerAddress: "10.0.0.9:80", Incarnation: 7, State: qhmember.Up}})
		_, known := t.Get("n1")
		Expect(known).To(BeFalse())
		Expect(t.Self().Node).To(BeEquivalentTo("self"))
	})

	It("marks a node down only if the given entry is its latest", func() {
		table := qhmember.NewTable(qhmember.Options{})
		outdated := newEntry("a1", 1, 1, qhmember.Up)
		table.Merge([]qhmember.Entry{newEntry("a1", 1, 2, qhmember.Up)})
		_, ok := table.MarkDown(outdated)
		Expect(ok).To(BeFalse())
		down, ok := table.MarkDown(newEntry("a1", 1, 2, qhmember.Up))
		Expect(ok).To(BeTrue())
		Expect(down.State).To(Equal(qhmember.Down))
		Expect(table.View().Services["booking"][0].NodeDown).To(BeTrue())
	})

	It("makes a merge within the view interval visible at the refresh", func() {
		now := time.Unix(1_800_000_000, 0)
		table := qhmember.NewTable(qhmember.Options{ViewInterval: time.Second, Now: func() time.Time { return now }})
		table.Merge([]qhmember.Entry{newEntry("a1", 1, 1, qhmember.Up)})
		table.Merge([]qhmember.Entry{newEntry("a2", 1, 1, qhmember.Up)})
		Expect(table.View().Entries).To(HaveLen(1))
		table.Refresh()
		Expect(table.View().Entries).To(HaveLen(2))
	})
})
