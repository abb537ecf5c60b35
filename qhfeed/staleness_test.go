package qhfeed

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// failSource lets a reader of a zone fail as a source of its clients for some time.
func (p *play) failSource(reader *playedNode, length time.Duration) {
	host := string(reader.id)
	d := &disruption{effect: holds, between: involving(host)}
	switch p.random.IntN(4) {
	case 0: // the store turns the reader away
		d = &disruption{effect: swallows, between: func(a, b string) bool { return a == storeHost && b == host }}
	case 1: // the reader's way to the store is cut
		d.between = func(a, b string) bool { return a == storeHost && b == host }
	case 2:
		d.effect = suspends
	}
	p.active = append(p.active, &activeDisruption{nodes: []*playedNode{reader}, until: time.Now().Add(length), end: p.network.disrupt(d)})
}

// TestClientsAreInTimeWhileTheirReadersFailOneAfterTheOther lets both readers of a zone fail
// in different ways around a change, the second one when the first soon refuses its clients.
func TestClientsAreInTimeWhileTheirReadersFailOneAfterTheOther(t *testing.T) {
	const (
		limit  = 2 * time.Second
		rounds = 100
	)
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		p := newPlay(47, limit)
		defer p.startZone()()
		var late []string
		for range rounds {
			readers := slices.DeleteFunc(slices.Clone(p.nodes), func(n *playedNode) bool { return !n.isReader() })
			p.random.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
			p.failSource(readers[0], 3*limit)
			p.advance(time.Duration(p.random.Int64N(int64(limit / 10))))
			p.confirm()
			remaining := time.Duration(p.random.Int64N(int64(limit / 5)))
			for start := time.Now(); readers[0].feed.config.servesFor() > remaining && time.Since(start) < limit; {
				p.advance(playStep)
			}
			p.failSource(readers[1], 2*limit)
			p.advance(2 * limit)
			late = append(late, p.late...)
			p.late = nil
			for len(p.active) > 0 {
				p.advance(playStep)
			}
			p.advance(contactTime + limit)
		}
		t.Logf("longest time until in force %v", p.worst)
		Expect(late).To(BeEmpty())
	})
}
