package qhfeed

import (
	"encoding/base64"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
)

const (
	// slowLinkSpeed is the bandwidth of the clients' links.
	slowLinkSpeed qhid.MegabitsPerSecond = 5
	// paddedSize is the size of a version with 1,600 routes in a response of the store.
	paddedSize qhid.Bytes = 276_000
	// encodedShare is the part of a value in its encoding in a response.
	encodedShare = 3.0 / 4
	// stormInterval is the time between two versions of a storm.
	stormInterval = 330 * time.Millisecond
)

// newSlowLinkPlay returns a play of one zone whose clients have a slow link, with large
// versions.
func newSlowLinkPlay(seed uint64, limit time.Duration) *play {
	p := newPlay(seed, limit)
	source := make([]byte, base64.StdEncoding.DecodedLen(int(encodedShare*float64(paddedSize))))
	random := rand.NewChaCha8([32]byte{byte(seed)})
	_, _ = random.Read(source) // never fails
	p.padding = base64.StdEncoding.EncodeToString(source)
	p.confirm()
	for _, n := range p.nodes[minReaders : minReaders+2] {
		p.network.limit(string(n.id), slowLinkSpeed)
	}
	return p
}

// turnReadersAway lets the store no longer respond to the readers, which still respond to
// their clients, and returns the clients.
func (p *play) turnReadersAway(length time.Duration) (clients []*playedNode) {
	var readers []*playedNode
	for _, n := range p.nodes {
		if n.isReader() {
			readers = append(readers, n)
		} else {
			clients = append(clients, n)
		}
	}
	end := p.network.disrupt(&disruption{effect: swallows, between: func(a, b string) bool { return a == storeHost && slices.Contains(hosts(readers), b) }})
	p.active = append(p.active, &activeDisruption{nodes: readers, until: time.Now().Add(length), end: end})
	return clients
}

// TestClientWithSlowLinkIsInTimeDuringManyChanges lets a client with a slow link read a
// storm of large versions from the store.
func TestClientWithSlowLinkIsInTimeDuringManyChanges(t *testing.T) {
	const storm = 12
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		p := newSlowLinkPlay(47, 2500*time.Millisecond)
		defer p.startZone()()
		clients := p.turnReadersAway(storm*stormInterval + 2*p.limit)
		for range storm {
			p.confirm()
			p.advance(stormInterval)
		}
		p.advance(p.limit)
		for _, n := range clients {
			Expect(n.holder.Version()).To(BeEquivalentTo(len(p.written)), "client %s, %s after the last version was confirmed", n.id, p.limit)
		}
		Expect(strings.Join(p.late, "\n")).To(BeEmpty())
	})
}
