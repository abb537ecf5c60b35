package qhfeed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

const (
	// soakSeedEnv is the environment variable that overrides the seed.
	soakSeedEnv = "QHFEED_SEED"
	// soakSteps is the number of steps of a sequence, soakPause the mean time
	// between two.
	soakSteps = 40
	soakPause = 150 * time.Millisecond
	// soakNodes is the number of nodes, of which some watch through readers.
	soakNodes = minReaders + 3
	// minSoakNodes is the number of nodes that are never removed.
	minSoakNodes = 3
	// soakProbeInterval lets removed nodes be noticed within the time of a test.
	soakProbeInterval = 300 * time.Millisecond
	// recoveryTimeout bounds the time until everything is right after a sequence.
	recoveryTimeout = 30 * time.Second
)

// storeLink is the connection of one node to the store. It may be cut off, or hold
// all watches without a response.
type storeLink struct{ cutOff, silent atomic.Bool }

func (l *storeLink) wrap(store qhplatform.Store) qhplatform.Store {
	get, create, update, remove, list, watch := store.Get, store.Create, store.Update, store.Delete, store.ListAt, store.WatchPrefix
	store.Get = func(ctx context.Context, key qhplatform.Key) (qhplatform.Object, error) {
		if l.cutOff.Load() {
			return qhplatform.Object{}, errCutOff
		}
		return get(ctx, key)
	}
	store.Create = func(ctx context.Context, key qhplatform.Key, value []byte) (qhplatform.Revision, error) {
		if l.cutOff.Load() {
			return 0, errCutOff
		}
		return create(ctx, key, value)
	}
	store.Update = func(ctx context.Context, key qhplatform.Key, value []byte, revision qhplatform.Revision) (qhplatform.Revision, error) {
		if l.cutOff.Load() {
			return 0, errCutOff
		}
		return update(ctx, key, value, revision)
	}
	store.Delete = func(ctx context.Context, key qhplatform.Key, revision qhplatform.Revision) error {
		if l.cutOff.Load() {
			return errCutOff
		}
		return remove(ctx, key, revision)
	}
	store.ListAt = func(ctx context.Context, prefix qhplatform.Key) (qhplatform.Listing, error) {
		if l.cutOff.Load() {
			return qhplatform.Listing{}, errCutOff
		}
		return list(ctx, prefix)
	}
	store.WatchPrefix = func(ctx context.Context, prefix qhplatform.Key, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
		if l.silent.Load() {
			ctx, cancel := context.WithTimeout(ctx, wait)
			defer cancel()
			<-ctx.Done()
			return qhplatform.Changes{}, errCutOff
		}
		changes, err := watch(ctx, prefix, after, wait)
		if l.cutOff.Load() {
			return qhplatform.Changes{}, errCutOff
		}
		return changes, err
	}
	return store
}

// soakNode is a node of the soak test in its latest life.
type soakNode struct {
	*testNode
	id     qhid.Node
	target qhid.Target
	link   *storeLink
	// version is the highest version seen in this life.
	version qhid.Version
}

// soak runs random failures, restores and changes on feeds.
type soak struct {
	random  *rand.Rand
	fake    *qhplatform.Fake
	nodes   []*soakNode
	backups []qhplatform.Backup
	// version is the latest one that the operator wrote.
	version qhid.Version
	lives   int
}

func newSoak(seed uint64) *soak {
	s := &soak{random: rand.New(rand.NewPCG(seed, seed)), fake: qhplatform.NewFake(qhplatform.FakeOptions{})}
	s.write()
	for i := range soakNodes {
		s.nodes = append(s.nodes, s.start(qhid.Node(fmt.Sprint("n", i))))
	}
	s.backup()
	return s
}

// start starts a life of a node, with a new target.
func (s *soak) start(id qhid.Node) *soakNode {
	s.lives++
	n := &soakNode{id: id, target: qhid.Target(fmt.Sprintf("%s-t%d", id, s.lives)), link: &storeLink{}}
	n.testNode = startNodeWithOptions(id, n.link.wrap(s.fake.Store()), Options{Seeds: func() []qhid.Address { return nil }, ProbeInterval: soakProbeInterval})
	n.announce(n.target)
	return n
}

func (s *soak) node() *soakNode { return s.nodes[s.random.IntN(len(s.nodes))] }

func (s *soak) write() {
	s.version++
	writeConfig(s.fake.Store(), s.version)
}

func (s *soak) pad() {
	writeObjects(s.fake.Store(), fmt.Sprintf("pad-%d", s.random.Uint64()), s.random.IntN(30))
}

func (s *soak) backup() { s.backups = append(s.backups, s.fake.Backup()) }

// restore restores one of the last backups. The operator writes the latest version
// again, and other writers may make any number of writes.
func (s *soak) restore() {
	recent := s.backups[max(0, len(s.backups)-3):]
	s.fake.Restore(recent[s.random.IntN(len(recent))])
	if s.random.IntN(2) == 0 {
		s.pad()
	}
	writeConfig(s.fake.Store(), s.version)
}

func (s *soak) restart() {
	i := s.random.IntN(len(s.nodes))
	old := s.nodes[i]
	if s.random.IntN(2) == 0 {
		old.feed.Leave(context.Background())
	}
	old.stop()
	old.closeListener()
	s.nodes[i] = s.start(old.id)
}

func (s *soak) remove() {
	if len(s.nodes) <= minSoakNodes {
		return
	}
	last := s.nodes[len(s.nodes)-1]
	if s.random.IntN(2) == 0 {
		last.feed.Leave(context.Background())
	}
	last.stop()
	last.closeListener()
	s.nodes = s.nodes[:len(s.nodes)-1]
}

func (s *soak) fault() {
	faults := []qhplatform.Faults{{LostResponses: 2, Prefix: entryPrefix}, {SilentWatches: true}, {Prefix: entryPrefix, Down: true}, {}}
	s.fake.SetFaults(faults[s.random.IntN(len(faults))])
}

func (s *soak) repair() {
	s.fake.SetFaults(qhplatform.Faults{})
	for _, n := range s.nodes {
		n.link.cutOff.Store(false)
		n.link.silent.Store(false)
	}
}

// step runs one random action. Faults of the store end before the operator writes.
func (s *soak) step() {
	actions := []func(){
		s.write, s.write, s.write, s.backup, s.backup, s.pad, s.restore, s.restore, s.restart, s.remove, s.fault, s.repair, s.fake.Compact,
		func() { s.node().link.cutOff.Store(true) },
		func() { s.node().link.silent.Store(true) },
		func() { n := s.node(); n.target += "x"; n.announce(n.target) },
	}
	s.fake.SetFaults(qhplatform.Faults{})
	actions[s.random.IntN(len(actions))]()
}

// checkVersions expects that no node has gone back in its life.
func (s *soak) checkVersions() {
	GinkgoHelper()
	for _, n := range s.nodes {
		version := n.holder.Version()
		Expect(version).To(BeNumerically(">=", n.version), "node %s", n.id)
		n.version = version
	}
}

// expectRecovery expects that all nodes have the latest version and exactly the
// targets of the nodes that are up.
func (s *soak) expectRecovery() {
	GinkgoHelper()
	var targets []qhid.Target
	for _, n := range s.nodes {
		targets = append(targets, n.target)
	}
	for _, n := range s.nodes {
		Eventually(n.holder.Version).WithTimeout(recoveryTimeout).Should(Equal(s.version), "node %s", n.id)
		Eventually(n.knownTargets).WithTimeout(recoveryTimeout).Should(ConsistOf(targets), "node %s", n.id)
	}
}

var _ = Describe("Random sequences of restores, failures and changes", func() {
	seeds := []uint64{1, 2, 3}
	if text := os.Getenv(soakSeedEnv); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			panic(err)
		}
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		It(fmt.Sprintf("leave all nodes with the latest version and the targets that exist, seed %d", seed), func() {
			s := newSoak(seed)
			for range soakSteps {
				s.step()
				time.Sleep(time.Duration(s.random.Int64N(2 * int64(soakPause))))
				s.checkVersions()
			}
			s.repair()
			s.write()
			s.expectRecovery()
		})
	}
})
