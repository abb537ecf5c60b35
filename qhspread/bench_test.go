package qhspread_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsample"
	"quetzalhaven.dev/qhsetting"
	"quetzalhaven.dev/qhwire"
)

// benchServices is the number of services in the configuration of the fleet
// benchmarks.
const benchServices = 330

// changeInterval is the time between two changes, enough for all traffic that a
// change causes.
const changeInterval = 1500 * time.Millisecond

// idlePeriod is how long the traffic of an idle fleet is measured.
const idlePeriod = 10 * time.Second

// BenchmarkFleet compares ways to distribute versions to a fleet in one process:
// the distribution tree with two settings, a single relay that sends the full
// configuration to every node, and one watch of the platform per node.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprintf("tree/%d", size), func(b *testing.B) { benchTree(b, benchFleet, size) })
		b.Run(fmt.Sprintf("narrow/%d", size), func(b *testing.B) { benchTree(b, benchNarrowFleet, size) })
		b.Run(fmt.Sprintf("whole/%d", size), func(b *testing.B) { benchBroadcast(b, size) })
		b.Run(fmt.Sprintf("watch/%d", size), func(b *testing.B) { benchWatch(b, size) })
	}
}

// reportMetrics reports the times from the commit of a version until it is in
// force on each node, and the bytes sent per change.
func reportMetrics(b *testing.B, times []time.Duration, busiest, total float64, size int) {
	slices.Sort(times)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "worst-ms")
	b.ReportMetric(busiest/float64(b.N), "busiest-B/change")
	b.ReportMetric(total/float64(b.N)/float64(size), "mean-B/change")
}

func bytesSent(set *metrics.Set) float64 {
	return float64(set.GetOrCreateCounter(`qh_wire_way_bytes_total{way="out"}`).Get())
}

// commitAndMeasure commits a change and returns the time until the version is in
// force at each holder.
func commitAndMeasure(chain *qhhead.Chain, holders []*qhhold.Holder) []time.Duration {
	ctx := context.Background()
	head, err := chain.ReadHead(ctx)
	Expect(err).NotTo(HaveOccurred())
	config := qhsample.ConfigOfSize(benchServices)
	config.Services[7].MaxQueue = 65 + int(head.Version)
	times := make([]time.Duration, len(holders))
	var started time.Time
	var group sync.WaitGroup
	for i, holder := range holders {
		group.Go(func() {
			for {
				changed := holder.Changed()
				if snapshot := holder.Current(); snapshot != nil && snapshot.Version > head.Version {
					break
				}
				<-changed
			}
			times[i] = time.Since(started)
		})
	}
	change := qhhead.Change{Base: head, Config: config, Plan: qhid.Plan(fmt.Sprint("plan-", head.Version)), Author: "ana", Reason: "bench", Time: time.Now()}
	started = time.Now()
	_, err = chain.Commit(ctx, change)
	Expect(err).NotTo(HaveOccurred())
	group.Wait()
	return times
}

func benchTree(b *testing.B, start func(size int) *fleet, size int) {
	RegisterTestingT(b)
	f := start(size)
	defer f.stop()
	nodes := f.all()
	var holders []*qhhold.Holder
	for _, n := range nodes {
		holders = append(holders, n.holder)
	}
	commitAndMeasure(f.chain, holders)
	for _, n := range nodes {
		Eventually(func() int { return len(n.members.View().Entries) }, waitTimeout).Should(Equal(size))
	}
	time.Sleep(idlePeriod / 2)
	idle := make([]float64, len(nodes))
	calls, cpu := f.platform.Counts().Total, cpuTime()
	for i, n := range nodes {
		idle[i] = bytesSent(n.metrics)
	}
	time.Sleep(idlePeriod)
	idleBusiest, idleTotal := 0.0, 0.0
	for i, n := range nodes {
		rate := (bytesSent(n.metrics) - idle[i]) / idlePeriod.Seconds()
		idleBusiest, idleTotal = max(idleBusiest, rate), idleTotal+rate
		idle[i] = bytesSent(n.metrics)
	}
	cpu = cpuTime() - cpu
	idleCalls := float64(f.platform.Counts().Total-calls) / idlePeriod.Seconds()
	started := time.Now()
	var times []time.Duration
	for range b.N {
		times = append(times, commitAndMeasure(f.chain, holders)...)
		time.Sleep(changeInterval)
	}
	elapsed := time.Since(started).Seconds()
	busiest, total := 0.0, 0.0
	for i, n := range nodes {
		sent := bytesSent(n.metrics) - idle[i]
		busiest, total = max(busiest, sent-elapsed*idleBusiest), total+sent
	}
	reportMetrics(b, times, busiest, total-elapsed*idleTotal, size)
	b.ReportMetric(idleBusiest, "idle-busiest-B/s")
	b.ReportMetric(idleTotal/float64(size), "idle-mean-B/s")
	b.ReportMetric(idleCalls, "idle-calls/s")
	b.ReportMetric(100*cpu.Seconds()/idlePeriod.Seconds()/float64(size), "idle-core-%/node")
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchFleet returns a fleet with default settings in three availability zones.
func benchFleet(size int) *fleet { return benchFleetOf(size, 3) }

// benchNarrowFleet returns a fleet with a smaller fan-out and fewer relays, which
// sends fewer bytes of control messages.
func benchNarrowFleet(size int) *fleet {
	settings := qhsetting.DefaultNode().Spread
	settings.Fanout, settings.RelaySlots = 3, 2
	return benchFleetWith(settings, size, 3)
}

func benchFleetOf(size, zones int) *fleet {
	return benchFleetWith(qhsetting.DefaultNode().Spread, size, zones)
}

func benchFleetWith(settings qhsetting.Spread, size, zones int) *fleet {
	platform := qhplatform.NewFake(qhplatform.FakeOptions{})
	f := &fleet{
		platform: platform,
		chain:    qhhead.New(qhhead.Options{Store: platform.Store()}),
		network:  newNetwork(),
		settings: settings,
		nodes:    make(map[qhid.Node]*node),
	}
	for i := range size {
		zone := qhid.Zone(fmt.Sprintf("zone-%02d", i%zones))
		id := qhid.Node(fmt.Sprintf("%s-%03d", zone, i))
		n := f.startNode(zone, id, f.seeds(zone)...)
		n.Announce(qhmember.Up, []qhmember.AnnouncedTarget{{ID: qhid.Target(id) + "-booking", Service: "booking", State: qhmember.Up, Slots: 9}})
	}
	return f
}

// benchWatch measures the baseline of one platform watch per node.
func benchWatch(b *testing.B, size int) {
	RegisterTestingT(b)
	platform := qhplatform.NewFake(qhplatform.FakeOptions{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	var holders []*qhhold.Holder
	for range size {
		holder := qhhold.New(qhhold.Options{})
		holders = append(holders, holder)
		chain := qhhead.New(qhhead.Options{Store: platform.Store()})
		group.Go(func() {
			var seen qhhead.Head
			for ctx.Err() == nil {
				head, err := chain.WatchHead(ctx, seen)
				if err != nil {
					continue
				}
				seen = head
				config, record, err := chain.Load(ctx, head)
				if err == nil {
					_, _ = holder.Apply(head.Version, config, record.ConfigDigest)
				}
			}
		})
	}
	chain := qhhead.New(qhhead.Options{Store: platform.Store()})
	commitAndMeasure(chain, holders)
	time.Sleep(time.Second)
	before := platform.Counts()
	var times []time.Duration
	for range b.N {
		times = append(times, commitAndMeasure(chain, holders)...)
		time.Sleep(200 * time.Millisecond)
	}
	after := platform.Counts()
	reportMetrics(b, times, 0, float64(after.BytesRead-before.BytesRead), size)
	b.ReportMetric(float64(after.Total-before.Total)/float64(b.N), "calls/change")
}

// benchBroadcast measures the baseline of one relay that sends the full
// configuration to every node.
func benchBroadcast(b *testing.B, size int) {
	RegisterTestingT(b)
	platform := qhplatform.NewFake(qhplatform.FakeOptions{})
	chain := qhhead.New(qhhead.Options{Store: platform.Store()})
	ctx, cancel := context.WithCancel(context.Background())
	var holders []*qhhold.Holder
	var links []*qhwire.Link
	relay, stopRelay := newBenchNode(ctx, nil)
	for range size {
		holder := qhhold.New(qhhold.Options{})
		holders = append(holders, holder)
		peer, _ := newBenchNode(ctx, holder)
		link, err := relay.Dial(ctx, peer.address)
		Expect(err).NotTo(HaveOccurred())
		links = append(links, link)
	}
	var group sync.WaitGroup
	group.Go(func() {
		var seen qhhead.Head
		for ctx.Err() == nil {
			head, err := chain.WatchHead(ctx, seen)
			if err != nil {
				continue
			}
			seen = head
			config, record, err := chain.Load(ctx, head)
			if err != nil {
				continue
			}
			packed, _ := qhwire.Pack(config)
			for _, link := range links {
				_ = link.Notify(ctx, qhwire.KindContent, qhwire.VersionContent{Version: head.Version, Digest: record.ConfigDigest, FullConfig: packed})
			}
		}
	})
	commitAndMeasure(chain, holders)
	time.Sleep(time.Second)
	sent := bytesSent(relay.metrics)
	var times []time.Duration
	for range b.N {
		times = append(times, commitAndMeasure(chain, holders)...)
	}
	reportMetrics(b, times, bytesSent(relay.metrics)-sent, bytesSent(relay.metrics)-sent, size)
	cancel()
	group.Wait()
	stopRelay()
}

type benchNode struct {
	*qhwire.Transport
	address qhid.Address
	metrics *metrics.Set
}

func newBenchNode(ctx context.Context, holder *qhhold.Holder) (*benchNode, func()) {
	peer := &benchNode{metrics: metrics.NewSet()}
	mux := qhwire.NewMux()
	qhwire.HandleNotice(mux, qhwire.KindContent, func(_ context.Context, _ *qhwire.Link, received qhwire.VersionContent) {
		config, err := qhwire.Unpack[qhconfig.Config](received.FullConfig)
		if err == nil {
			_, _ = holder.Apply(received.Version, config, received.Digest)
		}
	})
	settings := qhsetting.DefaultNode().Spread
	transport, stop := qhwire.New(ctx, qhwire.Options{
		Mux: mux, HeartbeatPeriod: time.Duration(settings.HeartbeatPeriod), SilenceTimeout: time.Duration(settings.SilenceTimeout),
		IOTimeout: 10 * time.Second, Log: zap.NewNop(), Metrics: peer.metrics,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	transport.Serve(listener)
	peer.Transport, peer.address = transport, qhid.Address(listener.Addr().String())
	return peer, stop
}

// BenchmarkMembership measures the bytes and the delay of membership updates
// with the default settings in 26 availability zones.
func BenchmarkMembership(b *testing.B) {
	RegisterTestingT(b)
	f := benchFleetOf(104, 26)
	defer f.stop()
	nodes := f.all()
	for _, n := range nodes {
		Eventually(func() int { return len(n.members.View().Entries) }, 3*waitTimeout).Should(Equal(len(nodes)))
	}
	time.Sleep(idlePeriod)
	sentByNode := func() []float64 {
		var list []float64
		for _, n := range nodes {
			list = append(list, bytesSent(n.metrics))
		}
		return list
	}
	before := sentByNode()
	time.Sleep(idlePeriod)
	idle := costBetween(before, sentByNode())
	before = sentByNode()
	started := time.Now()
	var times []time.Duration
	for i := range b.N {
		n := nodes[(7*i)%len(nodes)]
		id := qhid.Target(fmt.Sprintf("extra-%d", i))
		n.Announce(qhmember.Up, target(id, qhmember.Leaving))
		times = append(times, timesUntil(nodes, func(n *node) bool { return n.bookingEndpoint(id) != nil })...)
	}
	elapsed := time.Since(started).Seconds()
	cost := costBetween(before, sentByNode())
	reportMetrics(b, times, cost.busiest-idle.busiest*elapsed/idlePeriod.Seconds(), (cost.mean-idle.mean*elapsed/idlePeriod.Seconds())*float64(len(nodes)), len(nodes))
	b.ReportMetric(idle.busiest/idlePeriod.Seconds(), "idle-busiest-B/s")
	b.ReportMetric(idle.mean/idlePeriod.Seconds(), "idle-mean-B/s")
	var detectionTimes []time.Duration
	for _, victim := range []*node{nodes[3], nodes[50], nodes[77]} {
		survivors := without(f.all(), victim)
		victim.kill()
		detectionTimes = append(detectionTimes, timesUntil(survivors, func(n *node) bool { return n.memberStates()[victim.id] == qhmember.Down })...)
	}
	b.ReportMetric(slices.Max(detectionTimes).Seconds(), "dead-worst-s")
	partitioned := nodes[20]
	survivors := without(f.all(), partitioned)
	f.network.setPartition(func(a, _ qhid.Node) bool { return a == partitioned.id })
	detectionTimes = timesUntil(survivors, func(n *node) bool { return n.memberStates()[partitioned.id] == qhmember.Down })
	b.ReportMetric(slices.Max(detectionTimes).Seconds(), "silent-worst-s")
}

// cost is the number of bytes that the busiest and the average node sent
// between two measurements.
type cost struct{ busiest, mean float64 }

func costBetween(before, after []float64) cost {
	var c cost
	for i := range before {
		c.busiest = max(c.busiest, after[i]-before[i])
		c.mean += (after[i] - before[i]) / float64(len(before))
	}
	return c
}

// timesUntil returns the time until the condition is true on each node.
func timesUntil(nodes []*node, seen func(*node) bool) []time.Duration {
	started := time.Now()
	times := make([]time.Duration, len(nodes))
	var group sync.WaitGroup
	for i, n := range nodes {
		group.Go(func() {
			for !seen(n) && time.Since(started) < waitTimeout {
				time.Sleep(time.Millisecond)
			}
			times[i] = time.Since(started)
		})
	}
	group.Wait()
	return times
}

// BenchmarkMassRestart kills all nodes of an availability zone at once and
// restarts them. It measures the time until the newest version is in force on all
// of them and they know each other, and the calls to the platform in that time.
func BenchmarkMassRestart(b *testing.B) {
	for _, size := range []int{32, 128} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchMassRestart(b, size) })
	}
}

func benchMassRestart(b *testing.B, size int) {
	RegisterTestingT(b)
	f := benchFleetOf(size, 1)
	defer f.stop()
	version := f.commit()
	nodes := f.all()
	ready := func(n *node) bool { return n.versionInForce() == version && len(n.members.View().Entries) >= size }
	timesUntil(nodes, ready)
	var times []time.Duration
	calls, busiest := 0, 0.0
	for range b.N {
		killConcurrently(nodes)
		before := f.platform.Counts().Total
		var restarted []*node
		for _, n := range nodes {
			restarted = append(restarted, f.startNode(n.zone, n.id, nodes[0].address, nodes[size/2].address))
		}
		times = append(times, timesUntil(restarted, ready)...)
		calls += f.platform.Counts().Total - before
		for _, n := range restarted {
			busiest = max(busiest, bytesSent(n.metrics))
		}
		nodes = restarted
	}
	reportMetrics(b, times, busiest*float64(b.N), 0, size)
	b.ReportMetric(float64(calls)/float64(b.N)/float64(size), "calls/node")
}
