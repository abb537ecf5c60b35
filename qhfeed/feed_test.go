package qhfeed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
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

// patience bounds waits for what happens in other goroutines.
const patience = 20 * time.Second

// written is a configuration as the tests' operator writes it.
type written struct {
	Version qhid.Version    `json:"version"`
	Config  qhconfig.Config `json:"config"`
}

func decodeWritten(value []byte) (qhid.Version, qhconfig.Config, error) {
	var w written
	if err := json.Unmarshal(value, &w); err != nil {
		return 0, qhconfig.Config{}, qherr.New(qherr.BadInput, err, "write it again", "unreadable")
	}
	return w.Version, w.Config, nil
}

func encodeWritten(version qhid.Version) []byte {
	value, err := json.Marshal(written{Version: version, Config: qhconfig.Config{Services: []qhconfig.Service{{Name: "booking", Slots: int(version)}}}})
	Expect(err).NotTo(HaveOccurred())
	return value
}

// member is a node with its feed.
type member struct {
	feed    *Feed
	holder  *qhhold.Holder
	members *qhmember.Table
	stop    func()
	// close ends its peers' listener.
	close func()
}

// join starts a node with its peers' listener.
func join(id qhid.Node, store qhplatform.Store, seeds ...qhid.Address) *member {
	return joinWith(id, store, Options{Seeds: func() []qhid.Address { return seeds }})
}

// joinWith starts a node with options of its own.
func joinWith(id qhid.Node, store qhplatform.Store, options Options) *member {
	server := httptest.NewUnstartedServer(nil)
	address := qhid.Address(server.Listener.Addr().String())
	m := &member{holder: qhhold.New(qhhold.Options{Node: id})}
	m.members = qhmember.NewTable(qhmember.Options{Self: qhmember.Entry{
		Node: id, Zone: "kigali-a", PeerAddress: address, CallAddress: address, Incarnation: qhid.Incarnation(time.Now().UnixMilli()), Sequence: 1, State: qhmember.Up,
	}})
	options.ConfigKey, options.DecodeConfig, options.Store = configKey, decodeWritten, store
	options.Holder, options.Members, options.Log, options.Metrics = m.holder, m.members, zap.NewNop(), metrics.NewSet()
	m.feed, m.stop = New(options)
	m.close = server.Close
	server.Config.Handler = m.feed.Handler()
	server.Start()
	DeferCleanup(func() {
		m.stop()
		server.Close()
	})
	return m
}

func (m *member) announce(target qhid.Target) {
	m.feed.Announce(qhmember.Up, []qhmember.Target{{ID: target, Service: "booking", State: qhmember.Up, Slots: 9}})
}

// knows lists the targets that a node knows.
func (m *member) knows() []qhid.Target {
	var list []qhid.Target
	for _, endpoint := range m.members.View().Services["booking"] {
		list = append(list, endpoint.ID)
	}
	return list
}

var _ = Describe("a feed", func() {
	ctx := context.Background()
	var memory *qhplatform.Memory
	var store qhplatform.Store
	BeforeEach(func() {
		memory = qhplatform.NewMemory(qhplatform.MemoryOptions{})
		store = memory.Store()
	})
	write := func(version qhid.Version) {
		if object, err := store.Get(ctx, configKey); err == nil {
			_, err = store.Update(ctx, configKey, encodeWritten(version), object.Revision)
			Expect(err).NotTo(HaveOccurred())
			return
		}
		_, err := store.Create(ctx, configKey, encodeWritten(version))
		Expect(err).NotTo(HaveOccurred())
	}

	It("takes each configuration whole and never goes back", func() {
		write(3)
		m := join("a", store)
		Eventually(m.feed.Ready()).WithTimeout(patience).Should(BeClosed())
		Expect(m.holder.Version()).To(BeEquivalentTo(3))
		write(7)
		Eventually(m.holder.Version).WithTimeout(patience).Should(BeEquivalentTo(7))
		write(5)
		write(9)
		Eventually(m.holder.Version).WithTimeout(patience).Should(BeEquivalentTo(9))
		object, err := store.Get(ctx, configKey)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, configKey, []byte(`{"version":`), object.Revision)
		Expect(err).NotTo(HaveOccurred())
		Consistently(m.holder.Version).WithTimeout(300 * time.Millisecond).Should(BeEquivalentTo(9))
	})

	It("tells others of its targets, of a change and of its leaving", func() {
		write(1)
		a, b := join("a", store), join("b", store)
		a.announce("t1")
		Eventually(b.knows).WithTimeout(patience).Should(ConsistOf(qhid.Target("t1")))
		a.announce("t2")
		Eventually(b.knows).WithTimeout(patience).Should(ConsistOf(qhid.Target("t2")))
		a.feed.Leave(ctx)
		Eventually(b.knows).WithTimeout(patience).Should(BeEmpty())
	})

	It("has its entry back where it was removed while it lives", func() {
		write(1)
		a, b := join("a", store), join("b", store)
		a.announce("t1")
		Eventually(b.knows).WithTimeout(patience).Should(HaveLen(1))
		object, err := store.Get(ctx, keyOf("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Delete(ctx, keyOf("a"), object.Revision)).To(Succeed())
		Eventually(func() error { _, err := store.Get(ctx, keyOf("a")); return err }).WithTimeout(patience).Should(Succeed())
		Eventually(b.knows).WithTimeout(patience).Should(HaveLen(1))
	})

	It("replaces the entry of its life before", func() {
		write(1)
		b := join("b", store)
		first := join("a", store)
		first.announce("t1")
		Eventually(b.knows).WithTimeout(patience).Should(ConsistOf(qhid.Target("t1")))
		first.stop()
		join("a", store).announce("t2")
		Eventually(b.knows).WithTimeout(patience).Should(ConsistOf(qhid.Target("t2")))
	})

	It("writes its entry although answers are lost", func() {
		write(1)
		memory.SetFaults(qhplatform.Faults{Prefix: nodeKeys, LostResponses: 3})
		a, b := join("a", store), join("b", store)
		a.announce("t1")
		a.announce("t2")
		Eventually(b.knows).WithTimeout(patience).Should(ConsistOf(qhid.Target("t2")))
	})

	It("lists again where the store forgot its history", func() {
		write(1)
		a := join("a", store)
		Eventually(a.feed.Ready()).WithTimeout(patience).Should(BeClosed())
		memory.Compact()
		write(2)
		Eventually(a.holder.Version).WithTimeout(patience).Should(BeEquivalentTo(2))
	})

	It("asks another node for a version that its own watch does not tell of", func() {
		write(1)
		a, b := join("a", store), join("b", store)
		b.announce("t1")
		Eventually(a.knows).WithTimeout(patience).Should(HaveLen(1))
		Eventually(b.holder.Version).WithTimeout(patience).Should(BeEquivalentTo(1))
		memory.SetFaults(qhplatform.Faults{SilentWatches: true})
		config := qhconfig.Config{Services: []qhconfig.Service{{Name: "booking", Slots: 2}}}
		Expect(b.holder.Apply(2, config, config.Digest())).To(BeTrue())
		a.feed.ReportVersion(2, "b")
		Eventually(a.holder.Version).WithTimeout(patience).Should(BeEquivalentTo(2))
	})

	It("learns from a seed while the store is down", func() {
		write(4)
		a := join("a", store)
		a.announce("t1")
		Eventually(a.holder.Version).WithTimeout(patience).Should(BeEquivalentTo(4))
		memory.SetFaults(qhplatform.Faults{Down: true})
		own := string(a.members.Self().PeerAddress)
		b := join("b", store, qhid.Address(own))
		b.feed.ask(ctx, qhid.Address(own)) // on one machine the seeds' port is another one
		Expect(b.feed.Ready()).To(BeClosed())
		Expect(b.holder.Version()).To(BeEquivalentTo(4))
		Expect(b.knows()).To(ConsistOf(qhid.Target("t1")))
		b.announce("t2")
		b.feed.ask(ctx, qhid.Address(own))
		Expect(a.knows()).To(ConsistOf(qhid.Target("t1"), qhid.Target("t2")))
	})

	It("passes over entries that can't be read", func() {
		write(1)
		_, err := store.Create(ctx, keyOf("x"), []byte(`{"node":7}`))
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Create(ctx, keyOf("y"), []byte(`{"node":"z","zone":"q","inc":1,"seq":1}`))
		Expect(err).NotTo(HaveOccurred())
		a, b := join("a", store), join("b", store)
		a.announce("t1")
		Eventually(b.knows).WithTimeout(patience).Should(ConsistOf(qhid.Target("t1")))
	})

	It("costs few calls while nothing changes", func() {
		write(1)
		for i := range 4 {
			join(qhid.Node(fmt.Sprint("n", i)), store).announce(qhid.Target(fmt.Sprint("t", i)))
		}
		Eventually(func() int { return memory.Counts().Calls[qhplatform.OpCreate] }).WithTimeout(patience).Should(Equal(5))
		time.Sleep(time.Second)
		before := memory.Counts().Total
		time.Sleep(time.Second)
		Expect(memory.Counts().Total - before).To(BeNumerically("<=", 8))
	})
})

var _ = Describe("waits of watches", func() {
	It("grow with the number of nodes within their bounds", func() {
		Expect(configWait(1)).To(Equal(minWait))
		Expect(configWait(20)).To(Equal(20 * perNode))
		Expect(configWait(1000)).To(Equal(maxWait))
		Expect(strings.HasSuffix(string(prefixOf(configKey)), "/")).To(BeTrue())
	})
})
