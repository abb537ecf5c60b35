// Package qhfeed keeps a node up to date from the object store: with the
// configuration that operators write there, and with the entries by which nodes
// announce themselves and their targets. While the store is unreachable, and until
// it first responds, nodes exchange this data with each other (exchange.go).
//
// In a large availability zone only some nodes, the readers, watch the store. The
// others are clients of a reader: they watch through it (reader.go,
// serve_watch.go). The package is meant for fleets of a few hundred nodes; qhspread
// is for larger ones.
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

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhkey"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

// entryPrefix is the key prefix of the nodes' entries in the store.
const entryPrefix qhplatform.Key = "qhnodes/"

// Options configures New. All fields but those that name a default are required.
type Options struct {
	// ConfigKey is the key of the object that holds the configuration.
	ConfigKey qhplatform.Key
	// DecodeConfig decodes the value of that object into a configuration and its
	// version. The problems are those of parts that could not be decoded.
	DecodeConfig func(value []byte) (qhid.Version, qhconfig.Config, []qhconfig.Problem, error)
	Store        qhplatform.Store
	Holder       *qhhold.Holder
	Members      *qhmember.Table
	// Seeds returns the nodes to ask before any other node is known.
	Seeds func() []qhid.Address
	// ConvergenceLimit bounds the time until a new configuration is in force on
	// every node; 4 s if it is 0.
	ConvergenceLimit time.Duration
	// Proof is confirmed whenever the configuration in force is known to have been the
	// newest; one that is not needed if nil.
	Proof *qhkey.Proof
	// RolloutPrefix is the prefix of the objects with roll-outs; empty to watch none.
	RolloutPrefix qhplatform.Key
	// OnRollouts is called with the objects under RolloutPrefix, one without a value
	// if it was deleted. isListing is set if they are all that exist, and restored
	// for the first listing after a restore of the store.
	OnRollouts func(objects []qhplatform.Object, isListing, restored bool)
	// ProbeInterval is the mean time between two probes of the nodes of this node's
	// availability zone; 5 s if it is 0.
	ProbeInterval time.Duration
	// PeerClient sends the requests to other nodes; that of NewPeerClient if it is nil.
	PeerClient *http.Client
	Log        *zap.Logger
	Metrics    *metrics.Set
}

// Feed keeps the configuration and the member table of one node up to date.
type Feed struct {
	Options
	group *qhgroup.Group
	// config and nodes watch the configuration and the nodes' entries.
	config, nodes *watcher
	// rollouts watches the roll-outs; nil if there are none to watch.
	rollouts *watcher
	// ready is closed by checkReady.
	ready     chan struct{}
	readyOnce sync.Once
	// peerResponded is set after the first exchange with a peer.
	peerResponded atomic.Bool
	// publishWake wakes publish to compare this node's entry with the store.
	publishWake chan struct{}
	// refreshing is set while a later call of refreshMembers is due.
	refreshing atomic.Bool

	mu sync.Mutex
	// storedRevision is the revision of this node's entry in the store; 0 if it has none.
	storedRevision qhplatform.Revision
	// storedEntry is this node's entry as the store has it.
	storedEntry qhmember.Entry
	// entryRevisions has the revisions of the other nodes' entries in the store.
	entryRevisions map[qhid.Node]qhplatform.Revision
	// departed has the nodes whose entries were deleted from the store.
	departed map[qhid.Node]departure
	// rewriteEnd is when the nodes should have written their entries again after
	// the last restore of the store.
	rewriteEnd time.Time
	// skipped has the readers that failed.
	skipped map[qhid.Node]readerSkip
	// hasLeft is set by Leave; this node's entry is then not written again.
	hasLeft bool
	// announced is set by the first Announce.
	announced bool
	// silentConnections counts the connections to the store that became silent.
	silentConnections *metrics.Counter
	// invalidEntries counts the entries in the store that another writer has written.
	invalidEntries *metrics.Counter
	arrivals       arrivalMetrics
	// reportedEra is the latest era of the store that another reader reported.
	reportedEra atomic.Uint64
	// reportedVersion is the newest version that was passed to ReportVersion and
	// that this node has received or is still waiting for.
	reportedVersion atomic.Uint64
	// unusable says why the newest configuration could not be applied; nil if it was.
	unusable atomic.Pointer[string]
}

// defaultConvergenceLimit is the time within which a new version has to be in force
// on every node if Options has no other limit.
const defaultConvergenceLimit = 4 * time.Second

// New starts a feed. The returned function stops it.
func New(options Options) (*Feed, func()) {
	group, stop := qhgroup.New(context.Background())
	options.ConvergenceLimit = cmp.Or(options.ConvergenceLimit, defaultConvergenceLimit)
	if options.Proof == nil {
		options.Proof = qhkey.NewProof(0, qhclock.Now)
	}
	options.ProbeInterval = cmp.Or(options.ProbeInterval, defaultProbeInterval)
	if options.PeerClient == nil {
		options.PeerClient = NewPeerClient()
	}
	f := &Feed{
		Options:        options,
		group:          group,
		ready:          make(chan struct{}),
		publishWake:    make(chan struct{}, 1),
		entryRevisions: make(map[qhid.Node]qhplatform.Revision),
		departed:       make(map[qhid.Node]departure),
		skipped:        make(map[qhid.Node]readerSkip),

		silentConnections: options.Metrics.NewCounter("qh_store_silent_connections_total"),
		invalidEntries:    options.Metrics.NewCounter("qh_invalid_entries_total"),
		arrivals:          newArrivalMetrics(options.Metrics),
	}
	options.Metrics.NewGauge("qh_config_unusable", func() float64 {
		if f.unusable.Load() != nil {
			return 1
		}
		return 0
	})
	f.config = f.newWatcher("configuration", prefixOf(options.ConfigKey), f.applyConfigObjects)
	f.config.maxWait, f.config.watchInterval = f.configMaxWait, configWatchInterval
	f.config.isConfig, f.config.retryInterval = true, f.limitShare(retryShare)
	f.nodes = f.newWatcher("nodes", entryPrefix, f.applyNodeObjects)
	f.nodes.maxWait, f.nodes.watchInterval = nodesMaxWait, nodesWatchInterval
	if options.RolloutPrefix != "" {
		f.rollouts = f.newWatcher("rollouts", options.RolloutPrefix, func(batch batch) {
			options.OnRollouts(batch.objects, batch.isListing, batch.restored)
		})
		f.rollouts.maxWait, f.rollouts.watchInterval = nodesMaxWait, configWatchInterval
		f.rollouts.readerWait = rolloutReaderWait
	}
	for _, w := range f.watchers() {
		w.pause.Store(int64(w.watchInterval))
		group.Go(w.run)
	}
	group.Go(f.publish)
	group.Go(f.exchangeWithPeers)
	group.Go(f.removeDownNodes)
	group.Go(f.removeWithoutEntry)
	return f, stop
}

// watchers returns all watchers of the feed.
func (f *Feed) watchers() []*watcher {
	if f.rollouts == nil {
		return []*watcher{f.config, f.nodes}
	}
	return []*watcher{f.config, f.nodes, f.rollouts}
}

// prefixOf returns the key up to and including its last slash.
func prefixOf(key qhplatform.Key) qhplatform.Key {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return key[:i+1]
		}
	}
	return key
}

// Ready returns a channel that is closed once the feed has listed the configuration
// and the nodes' entries in the store, or has received a configuration from a peer.
func (f *Feed) Ready() <-chan struct{} { return f.ready }

// StoreReachable reports whether both the configuration and the nodes' entries have
// been listed and their last calls succeeded.
func (f *Feed) StoreReachable() bool { return f.config.healthy() && f.nodes.healthy() }

// allListed reports whether all watchers have listed their objects.
func (f *Feed) allListed() bool {
	for _, w := range f.watchers() {
		if !w.listed.Load() {
			return false
		}
	}
	return true
}

// checkReady closes ready once the node has listed the store or has a configuration
// from a peer.
func (f *Feed) checkReady() {
	if f.allListed() || (f.peerResponded.Load() && f.Holder.Current() != nil) {
		f.readyOnce.Do(func() {
			close(f.ready)
			f.Log.Info("configuration and members received", zap.Uint64("version", uint64(f.Holder.Version())),
				zap.Int("nodes", len(f.Members.View().Entries)), zap.Bool("store", f.config.listed.Load()))
			f.group.Go(f.compareWithPeer)
		})
	}
}

// applyConfigObjects applies the configuration if it is among the objects. One that
// cannot be decoded is refused, and the previous version stays in force.
func (f *Feed) applyConfigObjects(batch batch) {
	for _, object := range batch.objects {
		if object.Key == f.ConfigKey && object.Value != nil {
			f.applyConfig(object.Value, "store")
		}
	}
}

func (f *Feed) applyConfig(value []byte, source string) {
	version, config, problems, err := f.DecodeConfig(value)
	if err == nil {
		_, err = f.Holder.ApplyRepaired(version, config, problems)
	}
	if err != nil {
		f.unusable.Store(new(err.Error()))
		f.Log.Error("cannot apply configuration", zap.String("from", source), zap.Uint64("version", uint64(version)), zap.Error(err))
		return
	}
	f.unusable.Store(nil)
	f.checkReady()
}

// Unusable says why the newest configuration is not in force; empty if it could be applied.
func (f *Feed) Unusable() string {
	if problem := f.unusable.Load(); problem != nil {
		return *problem
	}
	return ""
}

// recordArrival records how a version reached this node: from which reader or peer, which
// is empty for the store; as the last of how many objects; after how long without a response to this node's watch; how old
// the sender's own knowledge was, 0 if it is not known; and how long applying took.
func (f *Feed) recordArrival(from string, version qhid.Version, objects int, gap, age, applying time.Duration) {
	f.arrivals.gap.Update(gap.Seconds())
	f.arrivals.age.Update(age.Seconds())
	f.arrivals.applying.Update(applying.Seconds())
	f.Log.Info("configuration received", zap.Uint64("version", uint64(version)), zap.String("from", from),
		zap.Int("objects", objects), zap.Duration("gap", gap), zap.Duration("age", age), zap.Duration("applying", applying))
}

// arrivalMetrics has what recordArrival records, in seconds.
type arrivalMetrics struct{ gap, age, applying *metrics.Histogram }

func newArrivalMetrics(set *metrics.Set) arrivalMetrics {
	return arrivalMetrics{
		gap:      set.NewHistogram("qh_config_arrival_gap_seconds"),
		age:      set.NewHistogram("qh_config_arrival_age_seconds"),
		applying: set.NewHistogram("qh_config_applying_seconds"),
	}
}

// Announce replaces the state and the targets that this node announces. Its entry is
// written to the store in the background.
func (f *Feed) Announce(state qhmember.State, targets []qhmember.AnnouncedTarget) {
	f.Members.Announce(state, targets)
	f.mu.Lock()
	f.announced = true
	f.mu.Unlock()
	f.wakePublisher()
}

func (f *Feed) wakePublisher() {
	select {
	case f.publishWake <- struct{}{}:
	default:
	}
}

// restartWatches restarts the watches of all watchers, or of all but the given one,
// whose own watch has ended. What ended or delayed one watch may have made the
// others miss a change.
func (f *Feed) restartWatches(ended *watcher) {
	for _, w := range f.watchers() {
		if w == ended {
			continue
		}
		select {
		case w.restartWatch <- struct{}{}:
		default: // a restart is pending already
		}
	}
}

// ReportVersion tells the feed that another node has the given version in force. If
// this node's watch does not deliver that version in time, its watches are
// restarted, and if that does not help, this node exchanges with the other one.
func (f *Feed) ReportVersion(version qhid.Version, node qhid.Node) {
	last := f.reportedVersion.Load()
	if version <= f.Holder.Version() || uint64(version) <= last || !f.reportedVersion.CompareAndSwap(last, uint64(version)) {
		return
	}
	f.group.Go(func(ctx context.Context) {
		if !qhgroup.Sleep(ctx, f.config.expectedArrival()) || f.Holder.Version() >= version {
			return
		}
		f.Log.Info("configuration version behind another node", zap.String("member", string(node)), zap.Uint64("version", uint64(version)), zap.Uint64("held", uint64(f.Holder.Version())))
		f.restartWatches(nil)
		if !qhgroup.Sleep(ctx, f.config.expectedArrival()) || f.Holder.Version() >= version {
			return
		}
		if entry, ok := f.Members.Get(node); ok {
			f.exchange(ctx, entry.PeerAddress)
		}
		if f.Holder.Version() < version {
			f.reportedVersion.Store(last) // so that another node is asked
		}
	})
}
