package qhfeed

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

var disruptionSeeds = flag.Int("qhfeed.seeds", 2, "plays of TestVersionIsInForceInTimeAfterSeveralDisruptions for each convergence limit") //nolint:gochecknoglobals // a flag

const (
	// contactTime is how long a node and the store have to be undisturbed until the
	// convergence limit holds for the node.
	contactTime = 3 * time.Second
	// playRounds is the number of rounds of a play, each with some disruptions.
	playRounds = 30
	// playStep is the time between two checks of all nodes.
	playStep = 20 * time.Millisecond
)

// playedNode is a node of a play, in its current life if it is up.
type playedNode struct {
	networkNode
	*testNode
	// started is the start of this life, disturbed the last moment at which the node was
	// disturbed.
	started, disturbed time.Time
	// version is the highest version seen in this life.
	version qhid.Version
	logs    *observer.ObservedLogs
}

// activeDisruption disturbs nodes until its end.
type activeDisruption struct {
	nodes []*playedNode
	until time.Time
	end   func()
}

// play runs disruptions and changes on the nodes of three zones.
type play struct {
	random  *rand.Rand
	network *network
	fake    *qhplatform.Fake
	limit   time.Duration
	nodes   []*playedNode
	active  []*activeDisruption
	// padding enlarges each version.
	padding string
	// written has the times at which the versions were confirmed, from version 1 on.
	written []time.Time
	// worst is the longest time until a version was in force, by kind of node, since it
	// was confirmed and the node and the store were undisturbed.
	worst map[string]time.Duration
	late  []string
}

func newPlay(seed uint64, limit time.Duration) *play {
	p := &play{
		random: rand.New(rand.NewPCG(seed, uint64(limit))), fake: qhplatform.NewFake(qhplatform.FakeOptions{WatchTimeout: time.Minute, EachChange: true}),
		limit: limit, worst: make(map[string]time.Duration),
	}
	p.network = newNetwork(rand.New(rand.NewPCG(seed, 1)))
	_, err := p.fake.Store().Create(context.Background(), configKey, encodeStoredConfig(1))
	Expect(err).NotTo(HaveOccurred())
	p.written = append(p.written, time.Now())
	for zone := range 3 {
		for i := range minReaders + 2 {
			core, logs := observer.New(zapcore.InfoLevel)
			node := &playedNode{logs: logs, networkNode: networkNode{
				id: qhid.Node(fmt.Sprintf("%c%d", 'a'+zone, i)), zone: qhid.Zone('a' + rune(zone)), limit: limit, log: zap.New(core),
			}}
			if i%2 == 1 {
				node.applyTime = limit / 10
			}
			p.nodes = append(p.nodes, node)
		}
	}
	return p
}

func (p *play) start(n *playedNode) {
	n.testNode, n.started, n.version = n.start(p.network), time.Now(), 0
	n.announce(qhid.Target("t-" + n.id))
}

func (n *playedNode) kill() {
	if n.testNode != nil {
		n.stop()
		n.testNode = nil
	}
}

func (p *play) confirm() {
	ctx, store := context.Background(), p.fake.Store()
	faults := p.fake.Faults()
	p.fake.SetFaults(qhplatform.Faults{}) // the operator's own way to the store works
	object, err := store.Get(ctx, configKey)
	Expect(err).NotTo(HaveOccurred())
	_, err = store.Update(ctx, configKey, encodePaddedConfig(qhid.Version(len(p.written)+1), p.padding), object.Revision)
	Expect(err).NotTo(HaveOccurred())
	p.fake.SetFaults(faults)
	p.written = append(p.written, time.Now())
}

// share returns a random share of the nodes, at least one.
func (p *play) share(share float64) []*playedNode {
	nodes := slices.Clone(p.nodes)
	p.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:max(1, int(share*float64(len(nodes))))]
}

func (p *play) zone() []*playedNode {
	zone := p.nodes[p.random.IntN(len(p.nodes))].zone
	return slices.DeleteFunc(slices.Clone(p.nodes), func(n *playedNode) bool { return n.zone != zone })
}

func hosts(nodes []*playedNode) []string {
	var list []string
	for _, n := range nodes {
		list = append(list, string(n.id))
	}
	return list
}

// begin starts a disruption of the nodes for a random time of up to maxLength.
func (p *play) begin(nodes []*playedNode, maxLength time.Duration, end func()) {
	p.active = append(p.active, &activeDisruption{nodes: nodes, until: time.Now().Add(time.Duration(p.random.Int64N(int64(maxLength)))), end: end})
}

func (p *play) disrupt(nodes []*playedNode, maxLength time.Duration, d *disruption) {
	p.begin(nodes, maxLength, p.network.disrupt(d))
}

func toStore(a, b string) bool { return a == storeHost || b == storeHost }

func betweenNodes(a, b string) bool { return !toStore(a, b) }

func (p *play) storeFault(maxLength time.Duration, faults qhplatform.Faults) {
	p.fake.SetFaults(faults)
	p.begin(p.nodes, maxLength, func() { p.fake.SetFaults(qhplatform.Faults{}) })
}

// turnAway lets the store serve only some nodes, which remain undisturbed.
func (p *play) turnAway(effect effect) {
	away := p.share(0.35)
	p.disrupt(away, 5*time.Second, &disruption{effect: effect, between: func(a, b string) bool { return a == storeHost && slices.Contains(hosts(away), b) }})
}

// cut partitions nodes from the store and from the nodes that are not among them.
func (p *play) cut(nodes []*playedNode) {
	inside := hosts(nodes)
	p.disrupt(nodes, 4*time.Second, &disruption{effect: holds, between: func(a, b string) bool { return slices.Contains(inside, a) && !slices.Contains(inside, b) }})
}

// suspend suspends nodes.
func (p *play) suspend(nodes []*playedNode) {
	p.disrupt(nodes, 3*time.Second, &disruption{effect: suspends, between: involving(hosts(nodes)...)})
}

// cutFromStore partitions nodes from the store only.
func (p *play) cutFromStore(nodes []*playedNode) {
	cut := hosts(nodes)
	p.disrupt(nodes, 5*time.Second, &disruption{effect: holds, between: func(a, b string) bool { return a == storeHost && slices.Contains(cut, b) }})
}

// cutFromFar partitions nodes from the store and from the nodes of other zones, but not from
// those of their own.
func (p *play) cutFromFar(nodes []*playedNode) {
	zones := make(map[string]qhid.Zone)
	for _, n := range p.nodes {
		zones[string(n.id)] = n.zone
	}
	cut := hosts(nodes)
	p.disrupt(nodes, 5*time.Second, &disruption{effect: holds, between: func(a, b string) bool { return slices.Contains(cut, a) && zones[a] != zones[b] }})
}

// restartInTurn stops nodes one after the other and starts each again.
func (p *play) restartInTurn(nodes []*playedNode) {
	const interval = 400 * time.Millisecond
	for i, n := range nodes {
		turn := time.Now().Add(time.Duration(i) * interval)
		p.active = append(p.active, &activeDisruption{until: turn, end: n.kill}, &activeDisruption{until: turn.Add(interval), end: func() {
			if n.testNode == nil {
				p.start(n)
			}
		}})
	}
}

// killNodes stops nodes and starts them again. Without power their connections become
// silent, else they are closed.
func (p *play) killNodes(nodes []*playedNode) {
	end := func() {}
	if p.random.IntN(2) == 0 {
		p.network.silence(1, involving(hosts(nodes)...))
		end = p.network.disrupt(&disruption{effect: holds, between: involving(hosts(nodes)...)})
	}
	for _, n := range nodes {
		n.kill()
	}
	p.begin(nodes, 3*time.Second, func() {
		end()
		for _, n := range nodes {
			if n.testNode == nil {
				p.start(n)
			}
		}
	})
}

// silence makes open connections silent for good.
func (p *play) silence(matches func(a, b string) bool) {
	p.network.silence(0.5+p.random.Float64(), matches)
	p.begin(p.nodes, 1, func() {})
}

// compact lets watches hear nothing for a while, and then drops the history and the
// connections.
func (p *play) compact() {
	p.fake.SetFaults(qhplatform.Faults{SilentWatches: true, Prefix: configKey})
	p.begin(p.nodes, time.Second, func() {
		p.fake.SetFaults(qhplatform.Faults{})
		p.fake.Compact()
		p.network.reset(toStore)
	})
}

// disruptOnce starts a random disruption.
func (p *play) disruptOnce() {
	kinds := []func(){
		func() { p.silence(toStore) }, func() { p.silence(toStore) }, func() { p.silence(betweenNodes) },
		func() { p.turnAway(swallows) }, func() { p.turnAway(resets) },
		func() { p.cut(p.zone()) }, func() { p.cut(p.share(0.2)) },
		func() { p.killNodes(p.share(0.2)) }, func() { p.killNodes(p.share(0.6)) },
		func() { p.suspend(p.share(0.2)) }, func() { p.cutFromStore(p.share(0.2)) }, func() { p.cutFromFar(p.share(0.2)) },
		func() { p.restartInTurn(p.share(0.5)) },
		func() { p.storeFault(4*time.Second, qhplatform.Faults{Hang: true}) },
		func() { p.storeFault(4*time.Second, qhplatform.Faults{Down: true}) },
		func() {
			p.storeFault(4*time.Second, qhplatform.Faults{Delay: qhconfig.Duration(p.random.Int64N(int64(400 * time.Millisecond)))})
		},
		func() { p.storeFault(2*time.Second, qhplatform.Faults{LostResponses: 3, Prefix: entryPrefix}) },
		p.compact,
	}
	kinds[p.random.IntN(len(kinds))]()
}

// advance lets time pass, ends what is due, and checks all nodes.
func (p *play) advance(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(playStep)
		now := time.Now()
		for _, d := range p.active {
			for _, n := range d.nodes {
				n.disturbed = now
			}
		}
		p.active = slices.DeleteFunc(p.active, func(d *activeDisruption) bool {
			if now.Before(d.until) {
				return false
			}
			d.end()
			return true
		})
		for _, n := range p.nodes {
			if n.testNode != nil {
				p.check(n, now)
			}
		}
	}
}

// check records how long the version in force took, and whether the node is behind
// although it has been undisturbed for contactTime.
func (p *play) check(n *playedNode, now time.Time) {
	version := n.holder.Version()
	Expect(version).To(BeNumerically(">=", n.version), "node %s went back", n.id)
	for ; n.version < version; n.version++ {
		kind := "reader"
		if !n.feed.config.watchesStore.Load() {
			kind = "client"
		}
		if n.applyTime > 0 {
			kind = "slow " + kind
		}
		since := slices.MaxFunc([]time.Time{p.written[n.version], n.disturbed, n.started}, time.Time.Compare)
		p.worst[kind] = max(p.worst[kind], now.Sub(since))
	}
	calm := now.Sub(n.disturbed) > contactTime && now.Sub(n.started) > contactTime
	if behind := int(version) < len(p.written) && now.Sub(p.written[version]) > p.limit; calm && behind {
		p.late = append(p.late, fmt.Sprintf("%s is at version %d, %s after the next was confirmed, undisturbed for %s",
			n.id, version, now.Sub(p.written[version]), now.Sub(n.disturbed)))
		n.disturbed = now // reported once
		p.logLate(n, now)
	}
}

// logLate adds what a late node and the readers of its zone logged lately to the report.
func (p *play) logLate(late *playedNode, now time.Time) {
	for _, n := range p.nodes {
		if n.zone != late.zone || n != late && !n.isReader() {
			continue
		}
		for _, entry := range n.logs.All() {
			if now.Sub(entry.Time) < 2*contactTime {
				p.late = append(p.late, fmt.Sprintf("    %s %s %s %v", entry.Time.Sub(now), n.id, entry.Message, entry.ContextMap()))
			}
		}
	}
}

func (n *playedNode) isReader() bool {
	if n.testNode == nil {
		return false
	}
	_, isClient := n.feed.chooseReader()
	return !isClient
}

// run plays rounds of disruptions that come together and again, with changes meanwhile
// and after them.
func (p *play) run() {
	defer p.network.serve(storeHost, qhplatform.NewHandler(p.fake))()
	for _, n := range p.nodes {
		p.start(n)
		defer n.kill()
	}
	p.advance(10 * time.Second)
	for range playRounds {
		for range 1 + p.random.IntN(5) {
			p.disruptOnce()
			p.advance(time.Duration(p.random.Int64N(int64(time.Second))))
			if p.random.IntN(2) == 0 {
				p.confirm()
			}
		}
		for len(p.active) > 0 {
			p.advance(playStep)
		}
		p.advance(time.Duration(p.random.Int64N(int64(time.Second))))
		p.confirm()
		p.advance(contactTime + time.Duration(p.random.Int64N(int64(2*p.limit))))
	}
}

// TestVersionIsInForceInTimeAfterSeveralDisruptions lets disruptions of the store, the
// links and the nodes come together and again.
func TestVersionIsInForceInTimeAfterSeveralDisruptions(t *testing.T) {
	var late []string
	for _, limit := range []time.Duration{2 * time.Second, 2500 * time.Millisecond} {
		for seed := range uint64(*disruptionSeeds) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				p := newPlay(seed, limit)
				p.run()
				t.Logf("limit %s, seed %d: longest time until in force %v", limit, seed, p.worst)
				if len(p.late) > 0 {
					late = append(late, fmt.Sprintf("limit %s, seed %d:\n%s", limit, seed, strings.Join(p.late, "\n")))
				}
			})
		}
	}
	if len(late) > 0 {
		t.Error(strings.Join(late, "\n"))
	}
}

// startZone starts the nodes of the first zone only, and returns the function that stops
// them.
func (p *play) startZone() func() {
	p.nodes = p.nodes[:minReaders+2]
	stopStore := p.network.serve(storeHost, qhplatform.NewHandler(p.fake))
	for _, n := range p.nodes {
		p.start(n)
	}
	p.advance(10 * time.Second)
	return func() {
		for _, n := range p.nodes {
			n.kill()
		}
		stopStore()
	}
}

// TestClientsAreInTimeWhileTheStoreTurnsTheirReadersAway lets the store no longer respond
// to the readers of a zone, which still respond to their clients.
func TestClientsAreInTimeWhileTheStoreTurnsTheirReadersAway(t *testing.T) {
	const (
		limit  = 2 * time.Second
		rounds = 60
	)
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		p := newPlay(38, limit)
		defer p.startZone()()
		for round := range rounds {
			readers := slices.DeleteFunc(slices.Clone(p.nodes), func(n *playedNode) bool { return !n.isReader() })
			end := p.network.disrupt(&disruption{effect: swallows, between: func(a, b string) bool { return a == storeHost && slices.Contains(hosts(readers), b) }})
			p.advance(time.Duration(p.random.Int64N(int64(limit))))
			p.confirm()
			time.Sleep(limit)
			for _, n := range p.nodes {
				if !slices.Contains(readers, n) {
					Expect(n.holder.Version()).To(BeEquivalentTo(len(p.written)), "client %s in round %d, %s after the version was confirmed", n.id, round, limit)
				}
			}
			end()
			p.advance(5 * time.Second)
		}
	})
}

// TestReaderDoesNotServeWhatItKnewBeforeItWasSuspended suspends the VM of a reader, whose
// steady clock then stands still.
func TestReaderDoesNotServeWhatItKnewBeforeItWasSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		p := newPlay(38, 2*time.Second)
		reader := p.nodes[0]
		reader.suspended = new(atomic.Int64)
		defer p.startZone()()
		Expect(reader.feed.config.canServeWatches()).To(BeTrue())
		reader.suspended.Add(int64(6 * time.Second))
		Expect(reader.feed.config.canServeWatches()).To(BeFalse())
		p.advance(p.limit)
		Expect(reader.feed.config.canServeWatches()).To(BeTrue(), "after another response of the store")
	})
}
