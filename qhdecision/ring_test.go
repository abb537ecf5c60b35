package qhdecision

import (
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
