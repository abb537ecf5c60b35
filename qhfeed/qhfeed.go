// Package qhfeed keeps a node in step with a store that every node watches by
// itself: the configuration that operators write there, and the entries by which
// nodes announce themselves and their targets. While the store is out of reach,
// and until it first answers, nodes ask each other (exchange.go).
//
// In a large availability zone only some nodes watch the store, and the others
// follow it through them (reader.go, relay.go). It is for fleets of some hundred
// nodes; qhspread is for larger ones.
package qhfeed

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

// nodeKeys is the prefix of the nodes' entries in the store.
const nodeKeys qhplatform.Key = "qhnodes/"

// Options are the options of New. All fields but InForce and Sweep are required.
type Options struct {
	// ConfigKey is the object that has the configuration.
	ConfigKey qhplatform.Key
	// DecodeConfig reads a configuration and its version from the object.
	DecodeConfig func(value []byte) (qhid.Version, qhconfig.Config, error)
	Store        qhplatform.Store
	Holder       *qhhold.Holder
	Members      *qhmember.Table
	// Seeds are nodes to ask before any is known.
	Seeds func() []qhid.Address
	// ConvergenceLimit is how soon a configuration has to be in force everywhere.
	ConvergenceLimit time.Duration
	// SweepInterval is how often the nodes of the zone are looked after; 5 s where it is 0.
	SweepInterval time.Duration
	Log           *zap.Logger
	Metrics       *metrics.Set
}

// Feed keeps one node in step.
type Feed struct {
	Options
	group  *qhgroup.Group
	client *http.Client
	// config and nodes are the two things that are followed.
	config, nodes *follower
	// ready is closed once both were read, from the store or from a peer.
	ready     chan struct{}
	readyOnce sync.Once
	// peer is set once a peer has told what it knows.
	peer atomic.Bool
	// announced wakes the publisher.
	announced chan struct{}

	mu sync.Mutex
	// mine is the revision of the own entry in the store; 0 for none.
	mine qhplatform.Revision
	// written is the entry that the store has.
	written qhmember.Entry
	// revisions has those of the other nodes' entries.
	revisions map[qhid.Node]qhplatform.Revision
	// passed has until when a reader of the store is passed over.
	passed map[qhid.Node]time.Time
	// left is set once the own entry is to be gone.
	left bool
	// announcedOnce is set once this life of the node has said what it has.
	announcedOnce bool
	// hinted is the newest version that another node was asked for.
	hinted atomic.Uint64
}

// defaultInForce is the product's own bound, see docs/DESIGN.md.
const defaultInForce = 4 * time.Second

// New starts a feed and returns it with its clean-up.
func New(options Options) (*Feed, func()) {
	group, stop := qhgroup.New(context.Background())
	options.ConvergenceLimit = cmp.Or(options.ConvergenceLimit, defaultInForce)
	options.SweepInterval = cmp.Or(options.SweepInterval, defaultSweep)
	f := &Feed{
		Options:   options,
		group:     group,
		client:    newPeerClient(),
		ready:     make(chan struct{}),
		announced: make(chan struct{}, 1),
		revisions: make(map[qhid.Node]qhplatform.Revision),
		passed:    make(map[qhid.Node]time.Time),
	}
	f.config = f.newFollower("configuration", prefixOf(options.ConfigKey), f.takeConfig)
	f.config.wait, f.config.pause = configWait, configPause
	f.nodes = f.newFollower("nodes", nodeKeys, f.takeNodes)
	f.nodes.wait, f.nodes.pause = nodesWait, nodesPause
	for _, fo := range []*follower{f.config, f.nodes} {
		fo.resting.Store(int64(fo.pause))
	}
	group.Go(f.config.run)
	group.Go(f.nodes.run)
	group.Go(f.publish)
	group.Go(f.askPeers)
	group.Go(f.sweep)
	return f, stop
}

// prefixOf returns the key up to its last segment, which it is listed by.
func prefixOf(key qhplatform.Key) qhplatform.Key {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return key[:i+1]
		}
	}
	return key
}

// Ready returns a channel that is closed once the feed knows what the store, or
// where that is out of reach a peer, has.
func (f *Feed) Ready() <-chan struct{} { return f.ready }

// StoreReachable tells whether the store was heard of lately.
func (f *Feed) StoreReachable() bool { return f.config.healthy() && f.nodes.healthy() }

// settle closes ready once there is enough to serve by.
func (f *Feed) settle() {
	if (f.config.read.Load() && f.nodes.read.Load()) || (f.peer.Load() && f.Holder.Current() != nil) {
		f.readyOnce.Do(func() {
			close(f.ready)
			f.Log.Info("node knows configuration and members", zap.Uint64("version", uint64(f.Holder.Version())),
				zap.Int("nodes", len(f.Members.View().Entries)), zap.Bool("store", f.config.read.Load()))
		})
	}
}

// takeConfig offers the configuration among the objects to the holder. A bad one
// is kept out, and the one in force stays.
func (f *Feed) takeConfig(objects []qhplatform.Object, _ bool) {
	for _, object := range objects {
		if object.Key == f.ConfigKey && object.Value != nil {
			f.offer(object.Value, "store")
		}
	}
}

func (f *Feed) offer(value []byte, from string) {
	version, config, err := f.DecodeConfig(value)
	if err == nil {
		_, err = f.Holder.ApplyWithoutDigest(version, config)
	}
	if err != nil {
		f.Log.Error("configuration refused", zap.String("from", from), zap.Uint64("version", uint64(version)), zap.Error(err))
		return
	}
	f.settle()
}

// Announce replaces what this node says of itself and has it written.
func (f *Feed) Announce(state qhmember.State, targets []qhmember.Target) {
	f.Members.Announce(state, targets)
	f.mu.Lock()
	f.announcedOnce = true
	f.mu.Unlock()
	f.wake()
}

func (f *Feed) wake() {
	select {
	case f.announced <- struct{}{}:
	default:
	}
}

// doubt makes the other follower watch again, since what ended one watch may
// have made the other one miss something.
func (f *Feed) doubt(ended *follower) {
	for _, fo := range []*follower{f.config, f.nodes} {
		if fo == ended {
			continue
		}
		select {
		case fo.doubted <- struct{}{}:
		default: // it is doubted already
		}
	}
}

// ReportVersion is told of a version that another node has. Where the own watch has not
// told of it when it should have, the watches are doubted, and where that does not
// help the node is asked for it.
func (f *Feed) ReportVersion(version qhid.Version, node qhid.Node) {
	last := f.hinted.Load()
	if version <= f.Holder.Version() || uint64(version) <= last || !f.hinted.CompareAndSwap(last, uint64(version)) {
		return
	}
	f.group.Go(func(ctx context.Context) {
		if !qhgroup.Sleep(ctx, f.config.due()) || f.Holder.Version() >= version {
			return
		}
		f.Log.Info("another node has a newer version", zap.String("member", string(node)), zap.Uint64("version", uint64(version)), zap.Uint64("held", uint64(f.Holder.Version())))
		f.doubt(nil)
		if !qhgroup.Sleep(ctx, f.config.due()) || f.Holder.Version() >= version {
			return
		}
		if entry, ok := f.Members.Get(node); ok {
			f.ask(ctx, entry.PeerAddress)
		}
		if f.Holder.Version() < version {
			f.hinted.Store(last) // another node may answer
		}
	})
}
