// Package qhfeed keeps a node in step with a store that every node watches by
// itself: the configuration that operators write there, and the entries by which
// nodes announce themselves and their targets. While the store is out of reach,
// and until it first answers, nodes ask each other (exchange.go).
//
// It is for fleets whose store takes a watch a node; qhspread is for larger ones.
package qhfeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

// nodeKeys is the prefix of the nodes' entries in the store.
const nodeKeys qhplatform.Key = "qhnodes/"

// Options are the options of New. All fields are required.
type Options struct {
	// Config is the object that has the configuration.
	Config qhplatform.Key
	// Decode reads a configuration and its version from the object.
	Decode  func(value []byte) (qhid.Version, qhconfig.Config, error)
	Store   qhplatform.Store
	Holder  *qhhold.Holder
	Members *qhmember.Table
	// Seeds are nodes to ask before any is known.
	Seeds   func() []qhid.Address
	Log     *zap.Logger
	Metrics *metrics.Set
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
	// left is set once the own entry is to be gone.
	left bool
	// announcedOnce is set once this life of the node has said what it has.
	announcedOnce bool
	// hinted is the newest version that another node was asked for.
	hinted atomic.Uint64
}

// New starts a feed and returns it with its clean-up.
func New(options Options) (*Feed, func()) {
	group, stop := qhgroup.New(context.Background())
	f := &Feed{
		Options:   options,
		group:     group,
		client:    newPeerClient(),
		ready:     make(chan struct{}),
		announced: make(chan struct{}, 1),
		revisions: make(map[qhid.Node]qhplatform.Revision),
	}
	f.config = f.newFollower("configuration", prefixOf(options.Config), f.takeConfig)
	f.config.wait, f.config.pause = configWait, configPause
	f.nodes = f.newFollower("nodes", nodeKeys, f.takeNodes)
	f.nodes.wait, f.nodes.pause = nodesWait, nodesPause
	group.Go(f.config.run)
	group.Go(f.nodes.run)
	group.Go(f.publish)
	group.Go(f.askPeers)
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

// Current tells whether the store was heard of lately.
func (f *Feed) Current() bool { return f.config.healthy() && f.nodes.healthy() }

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
		if object.Key == f.Config && object.Value != nil {
			f.offer(object.Value, "store")
		}
	}
}

func (f *Feed) offer(value []byte, from string) {
	version, config, err := f.Decode(value)
	if err == nil {
		_, err = f.Holder.Offer(version, config, config.Digest())
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

// follower follows the objects under one prefix.
type follower struct {
	feed   *Feed
	name   string
	prefix qhplatform.Key
	// take is given the objects that are new; whole is set for a listing.
	take func(objects []qhplatform.Object, whole bool)
	// read is set once the objects were listed.
	read atomic.Bool
	// failing is set while calls fail.
	failing atomic.Bool
	// wait is how long a watch is held by the store, for so many nodes.
	wait func(nodes int) time.Duration
	// pause is the shortest time between two watches, in which changes that come
	// in quick succession share one call.
	pause time.Duration
	// doubted wakes a watch that may have missed something.
	doubted chan struct{}
}

func (f *Feed) newFollower(name string, prefix qhplatform.Key, take func([]qhplatform.Object, bool)) *follower {
	fo := &follower{feed: f, name: name, prefix: prefix, take: take, doubted: make(chan struct{}, 1)}
	f.Metrics.NewGauge(`qh_store_followed{what="`+name+`"}`, func() float64 {
		if fo.healthy() {
			return 1
		}
		return 0
	})
	return fo
}

func (fo *follower) healthy() bool { return fo.read.Load() && !fo.failing.Load() }

const (
	// configPause and nodesPause are the shortest times between two watches.
	configPause = 200 * time.Millisecond
	nodesPause  = 400 * time.Millisecond
	// perNode spreads the ends of the watches of all nodes: a watch that the store
	// has lost is noticed by some node within about this time.
	perNode = 400 * time.Millisecond
	// minWait and maxWait bound how long a watch is held.
	minWait = 2 * time.Second
	maxWait = 20 * time.Second
	// firstPause and lastPause bound the random pause after a call that failed.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
)

// run lists and then follows, and lists again where the history is gone.
func (fo *follower) run(ctx context.Context) {
	pause := newPause()
	for ctx.Err() == nil {
		listing, err := fo.feed.Store.ListAt(ctx, fo.prefix)
		if err != nil {
			fo.failed(ctx, err, pause)
			continue
		}
		pause.reset()
		fo.heard()
		fo.take(listing.Objects, true)
		fo.read.Store(true)
		fo.feed.settle()
		fo.follow(ctx, listing.At, pause)
	}
}

// follow returns once the history is gone or the context ends.
func (fo *follower) follow(ctx context.Context, at qhplatform.Revision, pause *pause) {
	for ctx.Err() == nil {
		changes, err := fo.watch(ctx, at)
		if ctx.Err() == nil && errors.Is(err, errDoubted) {
			continue
		}
		if qherr.Is(err, qherr.Conflict) {
			fo.feed.Log.Info("store forgot its history", zap.String("what", fo.name), zap.Uint64("revision", uint64(at)))
			fo.feed.doubt(fo)
			return
		}
		if err != nil {
			fo.failed(ctx, err, pause)
			continue
		}
		pause.reset()
		fo.heard()
		fo.take(changes.Objects, false)
		at = max(at, changes.At)
		if len(changes.Objects) > 0 {
			qhgroup.Sleep(ctx, fo.pause)
		}
	}
}

// errDoubted ends a watch that may have missed something.
var errDoubted = errors.New("the watch may have missed a change; watch again") //nolint:gochecknoglobals // a sentinel

// watch waits for changes, for a random time around what the number of nodes
// asks for, or until it is doubted.
func (fo *follower) watch(ctx context.Context, at qhplatform.Revision) (qhplatform.Changes, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	fo.feed.group.Go(func(context.Context) {
		select {
		case <-fo.doubted:
			cancel(errDoubted)
		case <-stop:
		}
	})
	wait := fo.wait(len(fo.feed.Members.View().Entries))
	changes, err := fo.feed.Store.Follow(ctx, fo.prefix, at, wait/2+rand.N(wait))
	if err != nil && errors.Is(context.Cause(ctx), errDoubted) {
		return qhplatform.Changes{}, errDoubted
	}
	return changes, err
}

func configWait(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*perNode, minWait), maxWait)
}

func nodesWait(nodes int) time.Duration { return min(2*configWait(nodes), maxWait) }

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

// hintPause is the time in which a watch should have told of a version that
// another node has: the pause between two watches and a call to the store.
const hintPause = 2 * configPause

// Heard is told of a version that another node has. Where the own watch has not
// told of it soon after, the node is asked for it and the watches are doubted.
func (f *Feed) Heard(version qhid.Version, node qhid.Node) {
	last := f.hinted.Load()
	if version <= f.Holder.Version() || uint64(version) <= last || !f.hinted.CompareAndSwap(last, uint64(version)) {
		return
	}
	f.group.Go(func(ctx context.Context) {
		if !qhgroup.Sleep(ctx, hintPause) || f.Holder.Version() >= version {
			return
		}
		f.Log.Info("another node has a newer version", zap.String("member", string(node)), zap.Uint64("version", uint64(version)), zap.Uint64("held", uint64(f.Holder.Version())))
		f.doubt(nil)
		if entry, ok := f.Members.Get(node); ok {
			f.ask(ctx, entry.Peers)
		}
		if f.Holder.Version() < version {
			f.hinted.Store(last) // another node may answer
		}
	})
}

// heard notes a call that was answered.
func (fo *follower) heard() {
	if fo.failing.Swap(false) {
		fo.feed.Log.Info("store answers again", zap.String("what", fo.name))
	}
}

// failed notes a call that failed and pauses.
func (fo *follower) failed(ctx context.Context, err error, pause *pause) {
	if ctx.Err() != nil {
		return
	}
	if !fo.failing.Swap(true) {
		fo.feed.Log.Warn("store does not answer", zap.String("what", fo.name), zap.Error(err))
	}
	pause.wait(ctx)
}
