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

func entryOf(node qhid.Node, incarnation qhid.Incarnation, sequence qhid.Sequence, state qhmember.State) qhmember.Entry {
	return qhmember.Entry{
		Node: node, Zone: "kigali-a", PeerAddress: "127.0.0.1:7001", CallAddress: "127.0.0.1:7002",
		Incarnation: incarnation, Sequence: sequence, State: state,
		Targets: []qhmember.Target{{ID: qhid.Target(node) + "-booking", Service: "booking", State: qhmember.Up, Slots: 9}},
	}
}

// drawEntry returns an entry whose content follows from its order, as with one owner.
func drawEntry(t *rapid.T) qhmember.Entry {
	node := rapid.SampledFrom([]qhid.Node{"a1", "a2", "b1"}).Draw(t, "node")
	entry := entryOf(node, qhid.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
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

// plain returns a view without what is seen by this node alone.
func plain(view *qhmember.View) string {
	text := fmt.Sprintln(view.Entries)
	for _, endpoint := range view.Services["booking"] {
		text += fmt.Sprintln(endpoint.Target, endpoint.Node, endpoint.Zone, endpoint.NodeDown, endpoint.Incarnation)
	}
	return text
}

func TestMergeOrdersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "entries")
		again := rapid.Permutation(append(entries, entries...)).Draw(t, "again")
		one, other := qhmember.NewTable(qhmember.Options{}), qhmember.NewTable(qhmember.Options{})
		one.Merge(entries)
		for _, entry := range again {
			before, known := other.Get(entry.Node)
			other.Merge([]qhmember.Entry{entry})
			after, _ := other.Get(entry.Node)
			if known && qhmember.Compare(after, before) < 0 {
				t.Fatalf("%v went back to %v", before, after)
			}
		}
		if plain(one.View()) != plain(other.View()) || one.Digest() != other.Digest() {
			t.Fatalf("orders differ:\n%s%x\n%s%x", plain(one.View()), one.Digest(), plain(other.View()), other.Digest())
		}
	})
}

func TestObservedLivesAsLongAsItsNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := qhmember.NewTable(qhmember.Options{})
		seen := make(map[qhid.Node]*qhmember.EndpointStats)
		lives := make(map[qhid.Node]qhid.Incarnation)
		for _, entry := range rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "entries") {
			table.Merge([]qhmember.Entry{entry})
			present := make(map[qhid.Node]bool)
			for _, endpoint := range table.View().Services["booking"] {
				present[endpoint.Node] = true
				if old := seen[endpoint.Node]; old != nil && lives[endpoint.Node] == endpoint.Incarnation && old != endpoint.Stats {
					t.Fatalf("%s forgot what was seen of it", endpoint.Node)
				}
				seen[endpoint.Node], lives[endpoint.Node] = endpoint.Stats, endpoint.Incarnation
			}
			for node := range seen {
				if !present[node] {
					delete(seen, node)
				}
			}
		}
	})
}

var _ = Describe("Table", func() {
	It("answers what others say of its own node", func() {
		self := entryOf("a1", 5, 3, qhmember.Up)
		now := time.Unix(1_800_000_000, 0)
		table := qhmember.NewTable(qhmember.Options{Self: self, Now: func() time.Time { return now }})
		down := self
		down.State = qhmember.Down
		changed := table.Merge([]qhmember.Entry{down})
		Expect(changed).To(HaveLen(1))
		Expect(changed[0].State).To(Equal(qhmember.Up))
		Expect(qhmember.Compare(changed[0], down)).To(BeNumerically(">", 0))
		later := entryOf("a1", 9, 0, qhmember.Leaving)
		Expect(table.Merge([]qhmember.Entry{later})).To(BeEmpty())
		Expect(table.Self().State).To(Equal(qhmember.Up))
		now = now.Add(2 * time.Second)
		changed = table.Merge([]qhmember.Entry{later})
		Expect(qhmember.Compare(changed[0], later)).To(BeNumerically(">", 0))
		Expect(changed[0].State).To(Equal(qhmember.Up))
		Expect(table.Merge([]qhmember.Entry{down, later})).To(BeEmpty())
	})

	It("bounds the quarrel of two processes with one id", func() {
		now := time.Unix(1_800_000_000, 0)
		clock := func() time.Time { return now }
		one := qhmember.NewTable(qhmember.Options{Self: entryOf("a1", 5, 0, qhmember.Up), Now: clock})
		other := qhmember.NewTable(qhmember.Options{Self: entryOf("a1", 6, 0, qhmember.Up), Now: clock})
		said := 0
		for range 100 {
			said += len(one.Merge([]qhmember.Entry{other.Self()}))
			said += len(other.Merge([]qhmember.Entry{one.Self()}))
			now = now.Add(100 * time.Millisecond)
		}
		Expect(said).To(BeNumerically("<=", 12))
	})

	It("marks down only what was judged", func() {
		table := qhmember.NewTable(qhmember.Options{})
		judged := entryOf("a1", 1, 1, qhmember.Up)
		table.Merge([]qhmember.Entry{entryOf("a1", 1, 2, qhmember.Up)})
		_, ok := table.MarkDown(judged)
		Expect(ok).To(BeFalse())
		down, ok := table.MarkDown(entryOf("a1", 1, 2, qhmember.Up))
		Expect(ok).To(BeTrue())
		Expect(down.State).To(Equal(qhmember.Down))
		Expect(table.View().Services["booking"][0].NodeDown).To(BeTrue())
	})

	It("shows a merge within the pause at the refresh", func() {
		now := time.Unix(1_800_000_000, 0)
		table := qhmember.NewTable(qhmember.Options{ViewInterval: time.Second, Now: func() time.Time { return now }})
		table.Merge([]qhmember.Entry{entryOf("a1", 1, 1, qhmember.Up)})
		table.Merge([]qhmember.Entry{entryOf("a2", 1, 1, qhmember.Up)})
		Expect(table.View().Entries).To(HaveLen(1))
		table.Refresh()
		Expect(table.View().Entries).To(HaveLen(2))
	})
})
