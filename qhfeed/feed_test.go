package qhfeed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsuite"
)

func TestFeed(t *testing.T) { qhsuite.Run(t, "qhfeed") }

const configKey qhplatform.Key = "config/main"

// eventuallyTimeout bounds waits for the results of other goroutines.
const eventuallyTimeout = 20 * time.Second

// storedConfig is a configuration as the tests write it to the store.
type storedConfig struct {
	Version qhid.Version    `json:"version"`
	Config  qhconfig.Config `json:"config"`
	// Padding makes the value as large as one with many routes.
	Padding string `json:"padding,omitempty"`
}

func decodeStoredConfig(value []byte) (qhid.Version, qhconfig.Config, []qhconfig.Problem, error) {
	var stored storedConfig
	if err := json.Unmarshal(value, &stored); err != nil {
		return 0, qhconfig.Config{}, nil, qherr.New(qherr.BadInput, err, "write it again", "configuration cannot be decoded")
	}
	return stored.Version, stored.Config, nil, nil
}

func encodeStoredConfig(version qhid.Version) []byte { return encodePaddedConfig(version, "") }

func encodePaddedConfig(version qhid.Version, padding string) []byte {
	value, err := json.Marshal(storedConfig{Version: version, Config: qhconfig.Config{Services: []qhconfig.Service{{Name: "booking", Slots: int(version)}}}, Padding: padding})
	Expect(err).NotTo(HaveOccurred())
	return value
}

// testNode is a node with its feed and its peer listener.
type testNode struct {
	feed    *Feed
	holder  *qhhold.Holder
	members *qhmember.Table
	stop    func()
	// closeListener closes the peer listener.
	closeListener func()
}

// startNode starts a node and its peer listener.
func startNode(id qhid.Node, store qhplatform.Store, seeds ...qhid.Address) *testNode {
	return startNodeWithOptions(id, store, Options{Seeds: func() []qhid.Address { return seeds }})
}

// startNodeWithOptions is startNode with further options of the feed.
func startNodeWithOptions(id qhid.Node, store qhplatform.Store, options Options) *testNode {
	return startNodeWithTable(id, store, options, qhmember.Options{})
}

// startNodeWithTable is startNodeWithOptions with further options of the member table.
func startNodeWithTable(id qhid.Node, store qhplatform.Store, options Options, table qhmember.Options) *testNode {
	server := httptest.NewUnstartedServer(nil)
	address := qhid.Address(server.Listener.Addr().String())
	n := &testNode{holder: qhhold.New(qhhold.Options{Node: id})}
	table.Self = qhmember.Entry{
		Node: id, Zone: "kigali-a", PeerAddress: address, CallAddress: address, Incarnation: qhid.Incarnation(time.Now().UnixMilli()), Sequence: 1, State: qhmember.Up,
	}
	n.members = qhmember.NewTable(table)
	options.ConfigKey, options.DecodeConfig, options.Store = configKey, decodeStoredConfig, store
	options.Holder, options.Members, options.Log, options.Metrics = n.holder, n.members, zap.NewNop(), metrics.NewSet()
	n.feed, n.stop = New(options)
	n.closeListener = server.Close
	server.Config.Handler = n.feed.Handler()
	server.Start()
	DeferCleanup(func() {
		n.stop()
		server.Close()
	})
	return n
}

func (n *testNode) announce(target qhid.Target) {
	n.feed.Announce(qhmember.Up, []qhmember.AnnouncedTarget{{ID: target, Service: "booking", State: qhmember.Up, Slots: 9}})
}

// knownTargets returns the targets of all nodes that this node knows.
func (n *testNode) knownTargets() []qhid.Target {
	var list []qhid.Target
	for _, endpoint := range n.members.View().Services["booking"] {
		list = append(list, endpoint.ID)
	}
	return list
}

var _ = Describe("a feed", func() {
	ctx := context.Background()
	var fake *qhplatform.Fake
	var store qhplatform.Store
	BeforeEach(func() {
		fake = qhplatform.NewFake(qhplatform.FakeOptions{})
		store = fake.Store()
	})
	write := func(version qhid.Version) {
		if object, err := store.Get(ctx, configKey); err == nil {
			_, err = store.Update(ctx, configKey, encodeStoredConfig(version), object.Revision)
			Expect(err).NotTo(HaveOccurred())
			return
		}
		_, err := store.Create(ctx, configKey, encodeStoredConfig(version))
		Expect(err).NotTo(HaveOccurred())
	}

	It("applies newer versions only and ignores a configuration that cannot be decoded", func() {
		write(3)
		n := startNode("a", store)
		Eventually(n.feed.Ready()).WithTimeout(eventuallyTimeout).Should(BeClosed())
		Expect(n.holder.Version()).To(BeEquivalentTo(3))
		write(7)
		Eventually(n.holder.Version).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(7))
		write(5)
		write(9)
		Eventually(n.holder.Version).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(9))
		object, err := store.Get(ctx, configKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, configKey, []byte(`{"version":`), object.Revision)
		Expect(err).NotTo(HaveOccurred())
		Consistently(n.holder.Version).WithTimeout(300 * time.Millisecond).Should(BeEquivalentTo(9))
	})

	DescribeTable("keeps the other entries and writes its own again if another writer replaces one", func(value string) {
		write(1)
		a, b := startNode("a", store), startNode("b", store)
		a.announce("ta")
		b.announce("tb")
		Eventually(a.knownTargets).WithTimeout(eventuallyTimeout).Should(ConsistOf(qhid.Target("ta"), qhid.Target("tb")))
		_, err := store.Create(ctx, entryKey("odd"), []byte(value))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() error {
			object, err := store.Get(ctx, entryKey("b"))
			Expect(err).NotTo(HaveOccurred())
			_, err = store.Update(ctx, entryKey("b"), []byte(value), object.Revision)
			return err
		}).WithTimeout(eventuallyTimeout).Should(Succeed())
		Eventually(func() (qhmember.Entry, error) {
			object, err := store.Get(ctx, entryKey("b"))
			Expect(err).NotTo(HaveOccurred())
			return decodeEntry("b", object.Value)
		}).WithTimeout(eventuallyTimeout).Should(HaveField("Targets", HaveLen(1)))
		started := startNode("c", store)
		started.announce("tc")
		all := ConsistOf(qhid.Target("ta"), qhid.Target("tb"), qhid.Target("tc"))
		Eventually(started.knownTargets).WithTimeout(eventuallyTimeout).Should(all)
		Eventually(a.knownTargets).WithTimeout(eventuallyTimeout).Should(all)
		Expect(a.feed.invalidEntries.Get()).To(BeNumerically(">=", 1))
	},
		Entry("nested too deep", `{"node":"odd","targets":`+strings.Repeat("[", 12_000)+strings.Repeat("]", 12_000)+`}`),
		Entry("null", `null`),
		Entry("a text", `"text"`),
		Entry("a number that is too large", `{"node":"odd","zone":"z","inc":1e999}`),
		Entry("a negative counter", `{"node":"odd","zone":"z","inc":-1}`),
		Entry("a port out of range", `{"node":"odd","zone":"kigali-a","peers":"127.0.0.1:99999","calls":"127.0.0.1:99999","inc":1,"seq":1,"state":"up","targets":[{"id":"odd","service":"booking","state":"up","slots":9}]}`),
		Entry("another node's name", `{"node":"x","zone":"kigali-a","peers":"127.0.0.1:1","calls":"127.0.0.1:1","inc":1,"seq":1,"state":"up"}`),
		Entry("an unknown state", `{"node":"odd","zone":"kigali-a","peers":"127.0.0.1:1","calls":"127.0.0.1:1","inc":1,"seq":1,"state":"odd","targets":[{"id":"odd","service":"booking","state":"up","slots":9}]}`),
	)

	It("publishes its targets, their changes and its removal on leaving", func() {
		write(1)
		a, b := startNode("a", store), startNode("b", store)
		a.announce("t1")
		Eventually(b.knownTargets).WithTimeout(eventuallyTimeout).Should(ConsistOf(qhid.Target("t1")))
		a.announce("t2")
		Eventually(b.knownTargets).WithTimeout(eventuallyTimeout).Should(ConsistOf(qhid.Target("t2")))
		a.feed.Leave(ctx)
		Eventually(b.knownTargets).WithTimeout(eventuallyTimeout).Should(BeEmpty())
	})

	It("knows the target of a node that it heard of right after its view was built", func() {
		const viewCost, viewInterval = 100 * time.Millisecond, 50 * time.Millisecond
		var reads atomic.Int64
		slowClock := func() time.Time { return time.Now().Add(time.Duration(reads.Add(1)) * viewCost) }
		write(1)
		a := startNodeWithTable("a", store, Options{}, qhmember.Options{ViewInterval: viewInterval, Now: slowClock})
		b := startNode("b", store)
		Eventually(a.feed.Ready()).WithTimeout(eventuallyTimeout).Should(BeClosed())
		a.announce("ta")
		b.announce("tb")
		Eventually(a.knownTargets).WithTimeout(eventuallyTimeout).Should(ConsistOf(qhid.Target("ta"), qhid.Target("tb")))
	})

	It("writes its entry again after it was deleted by another writer", func() {
		write(1)
		a, b := startNode("a", store), startNode("b", store)
		a.announce("t1")
		Eventually(b.knownTargets).WithTimeout(eventuallyTimeout).Should(HaveLen(1))
		object, err := store.Get(ctx, entryKey("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Delete(ctx, entryKey("a"), object.Revision)).To(Succeed())
		Eventually(func() error { _, err := store.Get(ctx, entryKey("a")); return err }).WithTimeout(eventuallyTimeout).Should(Succeed())
		Eventually(b.knownTargets).WithTimeout(eventuallyTimeout).Should(HaveLen(1))
	})

	It("replaces the entry of its previous incarnation", func() {
		write(1)
		b := startNode("b", store)
		first := startNode("a", store)
		first.announce("t1")
		Eventually(b.knownTargets).WithTimeout(eventuallyTimeout).Should(ConsistOf(qhid.Target("t1")))
		first.stop()
		startNode("a", store).announce("t2")
		Eventually(b.knownTargets).WithTimeout(eventuallyTimeout).Should(ConsistOf(qhid.Target("t2")))
	})

	It("writes its entry although responses of the store are lost", func() {
		write(1)
		fake.SetFaults(qhplatform.Faults{Prefix: entryPrefix, LostResponses: 3})
		a, b := startNode("a", store), startNode("b", store)
		a.announce("t1")
		a.announce("t2")
		Eventually(b.knownTargets).WithTimeout(eventuallyTimeout).Should(ConsistOf(qhid.Target("t2")))
	})

	It("lists again after the store compacted its history", func() {
		write(1)
		a := startNode("a", store)
		Eventually(a.feed.Ready()).WithTimeout(eventuallyTimeout).Should(BeClosed())
		fake.Compact()
		write(2)
		Eventually(a.holder.Version).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(2))
	})

	It("exchanges with a node that has a newer version if its own watch misses that version", func() {
		write(1)
		a, b := startNode("a", store), startNode("b", store)
		b.announce("t1")
		Eventually(a.knownTargets).WithTimeout(eventuallyTimeout).Should(HaveLen(1))
		Eventually(b.holder.Version).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(1))
		fake.SetFaults(qhplatform.Faults{SilentWatches: true})
		config := qhconfig.Config{Services: []qhconfig.Service{{Name: "booking", Slots: 2}}}
		Expect(b.holder.Apply(2, config, config.Digest())).To(BeTrue())
		a.feed.ReportVersion(2, "b")
		Eventually(a.holder.Version).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(2))
	})

	It("gets configuration and members from a seed while the store is down", func() {
		write(4)
		a := startNode("a", store)
		a.announce("t1")
		Eventually(a.holder.Version).WithTimeout(eventuallyTimeout).Should(BeEquivalentTo(4))
		fake.SetFaults(qhplatform.Faults{Down: true})
		own := string(a.members.Self().PeerAddress)
		b := startNode("b", store, qhid.Address(own))
		b.feed.exchange(ctx, qhid.Address(own)) // pickPeer expects the same port on all nodes, which tests on one host cannot have
		Expect(b.feed.Ready()).To(BeClosed())
		Expect(b.holder.Version()).To(BeEquivalentTo(4))
		Expect(b.knownTargets()).To(ConsistOf(qhid.Target("t1")))
		b.announce("t2")
		b.feed.exchange(ctx, qhid.Address(own))
		Expect(a.knownTargets()).To(ConsistOf(qhid.Target("t1"), qhid.Target("t2")))
	})

	It("ignores entries that cannot be decoded or name another node", func() {
		write(1)
		_, err := store.Create(ctx, entryKey("x"), []byte(`{"node":7}`))
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Create(ctx, entryKey("y"), []byte(`{"node":"z","zone":"q","inc":1,"seq":1}`))
		Expect(err).NotTo(HaveOccurred())
		a, b := startNode("a", store), startNode("b", store)
		a.announce("t1")
		Eventually(b.knownTargets).WithTimeout(eventuallyTimeout).Should(ConsistOf(qhid.Target("t1")))
	})

	It("makes few store calls while nothing changes", func() {
		write(1)
		for i := range 4 {
			startNode(qhid.Node(fmt.Sprint("n", i)), store).announce(qhid.Target(fmt.Sprint("t", i)))
		}
		Eventually(func() int { return fake.Counts().Calls[qhplatform.OpCreate] }).WithTimeout(eventuallyTimeout).Should(Equal(5))
		time.Sleep(time.Second)
		before := fake.Counts().Total
		time.Sleep(time.Second)
		Expect(fake.Counts().Total - before).To(BeNumerically("<=", 8))
	})
})

var _ = Describe("wait times of watches", func() {
	It("grow with the number of nodes between the minimum and the maximum", func() {
		Expect(nodesMaxWait(1)).To(Equal(minNodesWait))
		Expect(nodesMaxWait(20)).To(Equal(20 * nodesWaitPerNode))
		Expect(nodesMaxWait(1000)).To(Equal(maxNodesWait))
		Expect(strings.HasSuffix(string(prefixOf(configKey)), "/")).To(BeTrue())
	})
})

var _ = Describe("the grace of the store's responses", func() {
	It("grows with late responses up to its maximum, and shrinks after one in time", func() {
		g := newResponseGrace(400*time.Millisecond, 1200*time.Millisecond)
		g.recordLateness(time.Millisecond)
		Expect(g.allowed()).To(Equal(400 * time.Millisecond))
		g.recordLateness(500 * time.Millisecond)
		Expect(g.allowed()).To(Equal(time.Second))
		g.recordLateness(time.Second)
		Expect(g.allowed()).To(Equal(1200 * time.Millisecond))
		g.recordLateness(0)
		Expect(g.allowed()).To(Equal(400 * time.Millisecond))
	})
})
