package qhdecision

import (
	"runtime"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
)

func TestRingKeepsLatestDecisions(t *testing.T) {
	g := NewWithT(t)
	ring := NewRing(3)
	g.Expect(ring.Recent(5)).To(BeEmpty())
	for attempt := range 5 {
		ring.Add(Decision{Request: qhid.Request([]string{"a", "b"}[attempt%2]), Attempt: attempt})
	}
	g.Expect(ring.Recent(2)).To(Equal([]Decision{{Request: "b", Attempt: 3}, {Request: "a", Attempt: 4}}))
	g.Expect(ring.Find("a")).To(Equal([]Decision{{Request: "a", Attempt: 2}, {Request: "a", Attempt: 4}}))
	g.Expect(ring.Find("c")).To(BeEmpty())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 100 {
				ring.Add(Decision{})
				ring.Recent(3)
			}
		})
	}
	wg.Wait()
	g.Expect(ring.Recent(9)).To(HaveLen(3))
}

func TestRingKeepsTheStartOfLongTexts(t *testing.T) {
	g := NewWithT(t)
	ring := NewRing(1000)
	long := strings.Repeat("x", 60_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 1000 {
		ring.Add(Decision{Request: qhid.Request(strings.Clone(long)), Detail: strings.Clone(long), Attempt: i})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	g.Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 4<<20))
	found := ring.Find(qhid.Request(long))
	g.Expect(found).To(HaveLen(1000))
	g.Expect(found[0].Detail).To(And(HavePrefix("xxx"), HaveSuffix("...")))
	g.Expect(ring.Find("x")).To(BeEmpty())
}
