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

// benchServices is the size of the configuration in the benchmarks of fleets.
const benchServices = 330

// changePause is the time between two changes, enough for all that follows one.
const changePause = 1500 * time.Millisecond

// idleTime is how long an idle fleet is watched.
const idleTime = 10 * time.Second

// BenchmarkFleet measures whole fleets in one process: the tree beside one relay
// that sends the whole state to everyone, and a watch per node.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprintf("tree/%d", size), func(b *testing.B) { benchTree(b, benchFleet, size) })
		b.Run(fmt.Sprintf("narrow/%d", size), func(b *testing.B) { benchTree(b, benchNarrow, size) })
		b.Run(fmt.Sprintf("whole/%d", size), func(b *testing.B) { benchWhole(b, size) })
		b.Run(fmt.Sprintf("watch/%d", size), func(b *testing.B) { benchWatch(b, size) })
	}
}

// report reports the times from commit to each node and the bytes of a change.
func report(b *testing.B, times []time.Duration, busiest, total float64, size int) {
	slices.Sort(times)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "worst-ms")
	b.ReportMetric(busiest/float64(b.N), "busiest-B/change")
	b.ReportMetric(total/float64(b.N)/float64(size), "mean-B/change")
}

func out(set *metrics.Set) float64 {
	return float64(set.GetOrCreateCounter(`qh_wire_way_bytes_total{way="out"}`).Get())
}

// converge commits a change and returns how long each holder took to hold it.
func converge(chain *qhhead.Chain, holders []*qhhold.Holder) []time.Duration {
	ctx := context.Background()
	head, err := chain.Read(ctx)
	Expect(err).NotTo(HaveOccurred())
	config := qhsample.ConfigOfSize(benchServices)
	config.Services[7].MaxQueue = 65 + int(head.Version)
	times := make([]time.Duration, len(holders))
	var began time.Time
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
			times[i] = time.Since(began)
		})
	}
	change := qhhead.Change{Base: head, Config: config, Plan: qhid.Plan(fmt.Sprint("plan-", head.Version)), Author: "ana", Reason: "bench", Time: time.Now()}
	began = time.Now()
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
	converge(f.chain, holders)
	for _, n := range nodes {
		Eventually(func() int { return len(n.members.View().Entries) }, patience).Should(Equal(size))
	}
	time.Sleep(idleTime / 2)
	idle := make([]float64, len(nodes))
	calls, used := f.platform.Counts().Total, processorTime()
	for i, n := range nodes {
		idle[i] = out(n.metrics)
	}
	time.Sleep(idleTime)
	idleBusiest, idleTotal := 0.0, 0.0
	for i, n := range nodes {
		rate := (out(n.metrics) - idle[i]) / idleTime.Seconds()
		idleBusiest, idleTotal = max(idleBusiest, rate), idleTotal+rate
		idle[i] = out(n.metrics)
	}
	used = processorTime() - used
	idleCalls := float64(f.platform.Counts().Total-calls) / idleTime.Seconds()
	began := time.Now()
	var times []time.Duration
	for range b.N {
		times = append(times, converge(f.chain, holders)...)
		time.Sleep(changePause)
	}
	took := time.Since(began).Seconds()
	busiest, total := 0.0, 0.0
	for i, n := range nodes {
		sent := out(n.metrics) - idle[i]
		busiest, total = max(busiest, sent-took*idleBusiest), total+sent
	}
	report(b, times, busiest, total-took*idleTotal, size)
	b.ReportMetric(idleBusiest, "idle-busiest-B/s")
	b.ReportMetric(idleTotal/float64(size), "idle-mean-B/s")
	b.ReportMetric(idleCalls, "idle-calls/s")
	b.ReportMetric(100*used.Seconds()/idleTime.Seconds()/float64(size), "idle-core-%/node")
}

// processorTime returns what this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchFleet returns a fleet with default settings in three availability zones.
func benchFleet(size int) *fleet { return benchFleetOf(size, 3) }

// benchNarrow returns one with settings that favour control bytes.
func benchNarrow(size int) *fleet {
	settings := qhsetting.DefaultNode().Spread
	settings.Fanout, settings.RelaySlots = 3, 2
	return benchFleetWith(settings, size, 3)
}

func benchFleetOf(size, zones int) *fleet {
	return benchFleetWith(qhsetting.DefaultNode().Spread, size, zones)
}

func benchFleetWith(settings qhsetting.Spread, size, zones int) *fleet {
	memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
	f := &fleet{
		platform: memory,
		chain:    qhhead.New(qhhead.Options{Store: memory.Store()}),
		network:  newNetwork(),
		settings: settings,
		nodes:    make(map[qhid.Node]*node),
	}
	for i := range size {
		zone := qhid.Zone(fmt.Sprintf("zone-%02d", i%zones))
		id := qhid.Node(fmt.Sprintf("%s-%03d", zone, i))
		n := f.startNode(zone, id, f.seeds(zone)...)
		n.Announce(qhmember.Up, []qhmember.Target{{ID: qhid.Target(id) + "-booking", Service: "booking", State: qhmember.Up, Slots: 9}})
	}
	return f
}

// benchWatch is the baseline of a watch per node on the platform.
func benchWatch(b *testing.B, size int) {
	RegisterTestingT(b)
	memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	var holders []*qhhold.Holder
	for range size {
		holder := qhhold.New(qhhold.Options{})
		holders = append(holders, holder)
		chain := qhhead.New(qhhead.Options{Store: memory.Store()})
		group.Go(func() {
			var seen qhhead.Head
			for ctx.Err() == nil {
				head, err := chain.Watch(ctx, seen)
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
	chain := qhhead.New(qhhead.Options{Store: memory.Store()})
	converge(chain, holders)
	time.Sleep(time.Second)
	before := memory.Counts()
	var times []time.Duration
	for range b.N {
		times = append(times, converge(chain, holders)...)
		time.Sleep(200 * time.Millisecond)
	}
	after := memory.Counts()
	report(b, times, 0, float64(after.BytesRead-before.BytesRead), size)
	b.ReportMetric(float64(after.Total-before.Total)/float64(b.N), "calls/change")
}

// benchWhole is the baseline of one relay that sends the whole state to everyone.
func benchWhole(b *testing.B, size int) {
	RegisterTestingT(b)
	memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
	chain := qhhead.New(qhhead.Options{Store: memory.Store()})
	ctx, cancel := context.WithCancel(context.Background())
	var holders []*qhhold.Holder
	var links []*qhwire.Link
	hub, stopHub := benchEnd(ctx, nil)
	for range size {
		holder := qhhold.New(qhhold.Options{})
		holders = append(holders, holder)
		end, _ := benchEnd(ctx, holder)
		link, err := hub.Dial(ctx, end.address)
		Expect(err).NotTo(HaveOccurred())
		links = append(links, link)
	}
	var group sync.WaitGroup
	group.Go(func() {
		var seen qhhead.Head
		for ctx.Err() == nil {
			head, err := chain.Watch(ctx, seen)
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
				_ = link.Notify(ctx, qhwire.KindContent, qhwire.Content{Version: head.Version, Digest: record.ConfigDigest, Whole: packed})
			}
		}
	})
	converge(chain, holders)
	time.Sleep(time.Second)
	sent := out(hub.metrics)
	var times []time.Duration
	for range b.N {
		times = append(times, converge(chain, holders)...)
	}
	report(b, times, out(hub.metrics)-sent, out(hub.metrics)-sent, size)
	cancel()
	group.Wait()
	stopHub()
}

type benchNode struct {
	*qhwire.Transport
	address qhid.Address
	metrics *metrics.Set
}

func benchEnd(ctx context.Context, holder *qhhold.Holder) (*benchNode, func()) {
	end := &benchNode{metrics: metrics.NewSet()}
	mux := qhwire.NewMux()
	qhwire.HandleNotice(mux, qhwire.KindContent, func(_ context.Context, _ *qhwire.Link, sent qhwire.Content) {
		config, err := qhwire.Unpack[qhconfig.Config](sent.Whole)
		if err == nil {
			_, _ = holder.Apply(sent.Version, config, sent.Digest)
		}
	})
	settings := qhsetting.DefaultNode().Spread
	transport, stop := qhwire.New(ctx, qhwire.Options{
		Mux: mux, Heartbeat: time.Duration(settings.HeartbeatPeriod), Silence: time.Duration(settings.SilenceTimeout),
		Timeout: 10 * time.Second, Log: zap.NewNop(), Metrics: end.metrics,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	transport.Serve(listener)
	end.Transport, end.address = transport, qhid.Address(listener.Addr().String())
	return end, stop
}

// BenchmarkNews measures what membership costs and how long it takes with the
// default settings in 26 availability zones.
func BenchmarkNews(b *testing.B) {
	RegisterTestingT(b)
	f := benchFleetOf(104, 26)
	defer f.stop()
	nodes := f.all()
	for _, n := range nodes {
		Eventually(func() int { return len(n.members.View().Entries) }, 3*patience).Should(Equal(len(nodes)))
	}
	time.Sleep(idleTime)
	sums := func() []float64 {
		var list []float64
		for _, n := range nodes {
			list = append(list, out(n.metrics))
		}
		return list
	}
	before := sums()
	time.Sleep(idleTime)
	idle := spread(before, sums())
	before = sums()
	began := time.Now()
	var times []time.Duration
	for i := range b.N {
		n := nodes[(7*i)%len(nodes)]
		id := qhid.Target(fmt.Sprintf("extra-%d", i))
		n.Announce(qhmember.Up, target(id, qhmember.Leaving))
		times = append(times, until(nodes, func(n *node) bool { return n.booking(id) != nil })...)
	}
	took := time.Since(began).Seconds()
	cost := spread(before, sums())
	report(b, times, cost.most-idle.most*took/idleTime.Seconds(), (cost.mean-idle.mean*took/idleTime.Seconds())*float64(len(nodes)), len(nodes))
	b.ReportMetric(idle.most/idleTime.Seconds(), "idle-busiest-B/s")
	b.ReportMetric(idle.mean/idleTime.Seconds(), "idle-mean-B/s")
	var deaths []time.Duration
	for _, victim := range []*node{nodes[3], nodes[50], nodes[77]} {
		rest := others(f.all(), victim)
		victim.kill()
		deaths = append(deaths, until(rest, func(n *node) bool { return n.states()[victim.id] == qhmember.Down })...)
	}
	b.ReportMetric(slices.Max(deaths).Seconds(), "dead-worst-s")
	silent := nodes[20]
	rest := others(f.all(), silent)
	f.network.setCut(func(a, _ qhid.Node) bool { return a == silent.id })
	deaths = until(rest, func(n *node) bool { return n.states()[silent.id] == qhmember.Down })
	b.ReportMetric(slices.Max(deaths).Seconds(), "silent-worst-s")
}

// cost is what nodes sent between two counts.
type cost struct{ most, mean float64 }

func spread(before, after []float64) cost {
	var c cost
	for i := range before {
		c.most = max(c.most, after[i]-before[i])
		c.mean += (after[i] - before[i]) / float64(len(before))
	}
	return c
}

// until returns how long it took until each node saw something.
func until(nodes []*node, seen func(*node) bool) []time.Duration {
	began := time.Now()
	times := make([]time.Duration, len(nodes))
	var group sync.WaitGroup
	for i, n := range nodes {
		group.Go(func() {
			for !seen(n) && time.Since(began) < patience {
				time.Sleep(time.Millisecond)
			}
			times[i] = time.Since(began)
		})
	}
	group.Wait()
	return times
}

// BenchmarkHerd kills all nodes of an availability zone at once and starts them
// again, and measures how long it takes until all hold the newest version and
// know each other, and what the platform is asked meanwhile.
func BenchmarkHerd(b *testing.B) {
	for _, size := range []int{32, 128} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchHerd(b, size) })
	}
}

func benchHerd(b *testing.B, size int) {
	RegisterTestingT(b)
	f := benchFleetOf(size, 1)
	defer f.stop()
	version := f.commit()
	nodes := f.all()
	ready := func(n *node) bool { return n.held() == version && len(n.members.View().Entries) >= size }
	until(nodes, ready)
	var times []time.Duration
	calls, most := 0, 0.0
	for range b.N {
		killAll(nodes)
		before := f.platform.Counts().Total
		var again []*node
		for _, n := range nodes {
			again = append(again, f.startNode(n.zone, n.id, nodes[0].address, nodes[size/2].address))
		}
		times = append(times, until(again, ready)...)
		calls += f.platform.Counts().Total - before
		for _, n := range again {
			most = max(most, out(n.metrics))
		}
		nodes = again
	}
	report(b, times, most*float64(b.N), 0, size)
	b.ReportMetric(float64(calls)/float64(b.N)/float64(size), "calls/node")
}
