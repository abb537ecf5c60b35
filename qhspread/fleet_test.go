package qhspread_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsample"
	"quetzalhaven.dev/qhsetting"
	"quetzalhaven.dev/qhspread"
)

// patience bounds the wait for what has to happen.
const patience = 30 * time.Second

// fleet is some nodes in one process with a platform in memory.
type fleet struct {
	platform *qhplatform.Memory
	chain    *qhhead.Chain
	network  *network
	settings qhsetting.Spread
	// store wraps the platform for one node; nil for the platform itself.
	store func(node qhid.Node) qhplatform.Store
	mu    sync.Mutex
	nodes map[qhid.Node]*node
	lives qhid.Incarnation
}

// node is one node of a fleet.
type node struct {
	*qhspread.Spreader
	id      qhid.Node
	zone    qhid.Zone
	address qhid.Address
	holder  *qhhold.Holder
	members *qhmember.Table
	metrics *metrics.Set
	kill    func()
}

func quickSettings() qhsetting.Spread {
	return qhsetting.Spread{
		Fanout:            2,
		RelaySlots:        1,
		BatchDelay:        qhconfig.Duration(10 * time.Millisecond),
		HeartbeatPeriod:   qhconfig.Duration(200 * time.Millisecond),
		SilenceTimeout:    qhconfig.Duration(time.Second),
		AntiEntropyPeriod: qhconfig.Duration(600 * time.Millisecond),
		LeaseTTL:          qhconfig.Duration(1200 * time.Millisecond),
	}
}

func newFleet() *fleet {
	memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
	f := &fleet{
		platform: memory,
		chain:    qhhead.New(qhhead.Options{Store: memory.Store()}),
		network:  newNetwork(),
		settings: quickSettings(),
		nodes:    make(map[qhid.Node]*node),
	}
	leaks := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		f.stop()
		Eventually(func() error { return goleak.Find(leaks) }, patience).Should(Succeed())
	})
	return f
}

// start starts n nodes in an availability zone, named by it and a number.
func (f *fleet) start(zone qhid.Zone, n int) []*node {
	var started []*node
	for i := range n {
		id := qhid.Node(fmt.Sprintf("%s-%03d", zone, i))
		started = append(started, f.startNode(zone, id, f.seeds(zone)...))
	}
	return started
}

// seeds returns the address of one node of the availability zone, if there is one.
func (f *fleet) seeds(zone qhid.Zone) []qhid.Address {
	for _, n := range f.all() {
		if n.zone == zone {
			return []qhid.Address{n.address}
		}
	}
	return nil
}

func (f *fleet) startNode(zone qhid.Zone, id qhid.Node, seeds ...qhid.Address) *node {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.mu.Lock()
	f.lives++
	life := f.lives
	f.mu.Unlock()
	n := &node{id: id, zone: zone, address: qhid.Address(listener.Addr().String()), metrics: metrics.NewSet()}
	f.network.add(n.address, id)
	self := qhmember.Entry{Node: id, Zone: zone, PeerAddress: n.address, CallAddress: "127.0.0.1:1", Incarnation: life, State: qhmember.Up}
	store := f.platform.Store()
	if f.store != nil {
		store = f.store(id)
	}
	n.holder = qhhold.New(qhhold.Options{Log: zap.NewNop(), Metrics: n.metrics, Node: id})
	n.members = qhmember.NewTable(qhmember.Options{Self: self})
	spreader, stop, err := qhspread.New(context.Background(), qhspread.Options{
		Self:     self,
		Settings: f.settings,
		Seeds:    seeds,
		Store:    store,
		Chain:    qhhead.New(qhhead.Options{Store: store}),
		Holder:   n.holder,
		Members:  n.members,
		Listener: listener,
		Dial:     f.network.dialer(id),
		Log:      zap.NewNop(),
		Metrics:  n.metrics,
	})
	Expect(err).NotTo(HaveOccurred())
	n.Spreader = spreader
	n.kill = sync.OnceFunc(func() {
		stop()
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.nodes[id] == n {
			delete(f.nodes, id)
		}
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[id] = n
	return n
}

// all returns the nodes that run, ordered by id.
func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*node
	for _, n := range f.nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *node) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return list
}

func (f *fleet) stop() {
	f.network.setCut(func(qhid.Node, qhid.Node) bool { return false })
	var group sync.WaitGroup
	for _, n := range f.all() {
		group.Go(n.kill)
	}
	group.Wait()
}

// commit puts a new version on the platform: the last one with one more service.
func (f *fleet) commit() qhid.Version {
	GinkgoHelper()
	ctx := context.Background()
	head, err := f.chain.Read(ctx)
	Expect(err).NotTo(HaveOccurred())
	next := qhhead.Change{
		Base:   head,
		Config: qhsample.ConfigOfSize(int(head.Version) + 3),
		Plan:   qhid.Plan(fmt.Sprintf("plan-%d", head.Version)),
		Author: "ana",
		Reason: "test",
		Time:   time.Unix(1_800_000_000, 0).UTC(),
	}
	head, err = f.chain.Commit(ctx, next)
	Expect(err).NotTo(HaveOccurred())
	return head.Version
}

// held returns the version that a node holds.
func (n *node) held() qhid.Version {
	if snapshot := n.holder.Current(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// versions returns the version that each node holds.
func versions(nodes []*node) map[qhid.Node]qhid.Version {
	held := make(map[qhid.Node]qhid.Version)
	for _, n := range nodes {
		held[n.id] = n.held()
	}
	return held
}

// expectVersion waits until all nodes hold a version.
func expectVersion(nodes []*node, version qhid.Version) {
	GinkgoHelper()
	Eventually(func() map[qhid.Node]qhid.Version { return versions(nodes) }, patience).Should(HaveEach(version))
}

// states returns what a node knows of the state of all.
func (n *node) states() map[qhid.Node]qhmember.State {
	states := make(map[qhid.Node]qhmember.State)
	for _, entry := range n.members.View().Entries {
		states[entry.Node] = entry.State
	}
	return states
}

// expectMembers waits until all nodes know each other as up.
func expectMembers(nodes []*node) {
	GinkgoHelper()
	want := make(map[qhid.Node]qhmember.State)
	for _, n := range nodes {
		want[n.id] = qhmember.Up
	}
	for _, n := range nodes {
		Eventually(n.states, patience).Should(Equal(want), "as %s sees it", n.id)
	}
}

// root returns the node of an availability zone that holds a relay slot.
func (f *fleet) root(zone qhid.Zone) *node {
	GinkgoHelper()
	var found *node
	Eventually(func() *node {
		found = nil
		for _, n := range f.all() {
			if n.zone == zone && n.State().Slot != nil {
				found = n
			}
		}
		return found
	}, patience).ShouldNot(BeNil())
	return found
}

func others(nodes []*node, gone ...*node) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return slices.Contains(gone, n) })
}
