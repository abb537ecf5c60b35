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

// waitTimeout bounds the wait for an expected condition.
const waitTimeout = 30 * time.Second

// fleet is a group of nodes in one process with a fake platform.
type fleet struct {
	platform *qhplatform.Fake
	chain    *qhhead.Chain
	network  *network
	settings qhsetting.Spread
	// store returns the store that a node uses; nil for the fake platform's own.
	store           func(node qhid.Node) qhplatform.Store
	mu              sync.Mutex
	nodes           map[qhid.Node]*node
	lastIncarnation qhid.Incarnation
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
	platform := qhplatform.NewFake(qhplatform.FakeOptions{})
	f := &fleet{
		platform: platform,
		chain:    qhhead.New(qhhead.Options{Store: platform.Store()}),
		network:  newNetwork(),
		settings: quickSettings(),
		nodes:    make(map[qhid.Node]*node),
	}
	leaks := goleak.IgnoreCurrent()
	DeferCleanup(func() {
		f.stop()
		Eventually(func() error { return goleak.Find(leaks) }, waitTimeout).Should(Succeed())
	})
	return f
}

// start starts n nodes in an availability zone, whose ids are the name of the zone
// and a number.
func (f *fleet) start(zone qhid.Zone, n int) []*node {
	var started []*node
	for i := range n {
		id := qhid.Node(fmt.Sprintf("%s-%03d", zone, i))
		started = append(started, f.startNode(zone, id, f.seeds(zone)...))
	}
	return started
}

// seeds returns the address of one running node of the availability zone, if
// there is one.
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
	f.lastIncarnation++
	incarnation := f.lastIncarnation
	f.mu.Unlock()
	n := &node{id: id, zone: zone, address: qhid.Address(listener.Addr().String()), metrics: metrics.NewSet()}
	f.network.add(n.address, id)
	self := qhmember.Entry{Node: id, Zone: zone, PeerAddress: n.address, CallAddress: "127.0.0.1:1", Incarnation: incarnation, State: qhmember.Up}
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

// all returns the running nodes, ordered by ID.
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
	f.network.setPartition(func(qhid.Node, qhid.Node) bool { return false })
	var group sync.WaitGroup
	for _, n := range f.all() {
		group.Go(n.kill)
	}
	group.Wait()
}

// commit commits a new version to the platform that adds a service to the last
// one.
func (f *fleet) commit() qhid.Version {
	GinkgoHelper()
	ctx := context.Background()
	head, err := f.chain.ReadHead(ctx)
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

// versionInForce returns the version in force on a node, or 0.
func (n *node) versionInForce() qhid.Version {
	if snapshot := n.holder.Current(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// versionsInForce returns the version in force on each node.
func versionsInForce(nodes []*node) map[qhid.Node]qhid.Version {
	inForce := make(map[qhid.Node]qhid.Version)
	for _, n := range nodes {
		inForce[n.id] = n.versionInForce()
	}
	return inForce
}

// expectVersion waits until a version is in force on all nodes.
func expectVersion(nodes []*node, version qhid.Version) {
	GinkgoHelper()
	Eventually(func() map[qhid.Node]qhid.Version { return versionsInForce(nodes) }, waitTimeout).Should(HaveEach(version))
}

// memberStates returns the state of every node as this node sees it.
func (n *node) memberStates() map[qhid.Node]qhmember.State {
	states := make(map[qhid.Node]qhmember.State)
	for _, entry := range n.members.View().Entries {
		states[entry.Node] = entry.State
	}
	return states
}

// expectMembers waits until all nodes see each other as up.
func expectMembers(nodes []*node) {
	GinkgoHelper()
	want := make(map[qhid.Node]qhmember.State)
	for _, n := range nodes {
		want[n.id] = qhmember.Up
	}
	for _, n := range nodes {
		Eventually(n.memberStates, waitTimeout).Should(Equal(want), "as %s sees it", n.id)
	}
}

// root waits until a node of an availability zone holds a relay slot and returns
// it.
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
	}, waitTimeout).ShouldNot(BeNil())
	return found
}

func without(nodes []*node, excluded ...*node) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return slices.Contains(excluded, n) })
}
