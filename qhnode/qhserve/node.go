// Package qhserve puts the parts of a node together and runs them until the
// node is told to stop.
package qhserve

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhannounce"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhproxy"
	"quetzalhaven.dev/qhsetting"
)

const (
	// announceLapse is after how long without an announcement a target is dropped.
	announceLapse = 3 * time.Second
	// sweepPeriod is how often lapsed targets are looked for.
	sweepPeriod = 500 * time.Millisecond
	// viewPause is the shortest time between two views of the members.
	viewPause = 50 * time.Millisecond
	// leaveBound bounds telling the others that the node is gone.
	leaveBound = 2 * time.Second
	// platformRate is how often a second a node calls the platform at most.
	platformRate = 50
	// claimKeys is the prefix of what keyed calls write to the platform.
	claimKeys qhplatform.Key = "claim/"
)

// Options configures a node.
type Options struct {
	Settings qhsetting.Node
	// Build tells which build runs.
	Build string
	Log   *zap.Logger
	// Reloaded brings the settings each time that they changed; it may be nil.
	Reloaded <-chan qhsetting.Node
}

// Node is one running node.
type Node struct {
	Options

	started time.Time
	metrics *metrics.Set
	holder  *qhhold.Holder
	members *qhmember.Table
	guards  *qhguard.Set
	targets *qhannounce.Registry
	ring    *qhdecision.Ring
	proxy   *qhproxy.Proxy
	source  source
	group   *qhgroup.Group
	servers []*http.Server
	// latest has the settings as they were last read. Only what beside and seeds
	// say of it takes effect without a restart.
	latest atomic.Pointer[qhsetting.Node]
	// heard is told of other nodes' versions; nil where the source needs no hints.
	heard func(version qhid.Version, node qhid.Node)
	// drained is closed by the first drain through the operators' API.
	drained chan struct{}
	// failed has the first listener that ended by itself.
	failed chan error

	mu sync.Mutex
	// state is what the node announces of itself.
	state qhmember.State
}

// Run serves until the context ends or an operator drains the node, then stops
// without cutting calls. The errors have the kinds of qherr.
func Run(ctx context.Context, options Options) error {
	node, cleanup, err := New(options)
	if err != nil {
		return err
	}
	defer cleanup()
	node.group.Go(node.reload)
	select {
	case <-ctx.Done():
	case <-node.drained:
	case err = <-node.failed:
	}
	node.Stop(context.WithoutCancel(ctx))
	return err
}

// New starts a node and returns it with its clean-up. A listener that can't be
// opened is of kind Unavailable.
func New(options Options) (*Node, func(), error) {
	listeners, closeListeners, err := listen(options.Settings.Listen)
	if err != nil {
		return nil, nil, err
	}
	node := &Node{
		Options: options,
		started: time.Now(),
		metrics: metrics.NewSet(),
		ring:    qhdecision.NewRing(options.Settings.Calls.MaxDecisions),
		drained: make(chan struct{}),
		failed:  make(chan error, 1),
		state:   qhmember.Up,
	}
	node.latest.Store(&options.Settings)
	var stops cleanups
	stops.add(closeListeners)
	group, stopGroup := qhgroup.New(context.Background())
	node.group = group
	stops.add(stopGroup)
	node.Log = node.Log.With(zap.String("node", string(node.Settings.ID)))
	if err := node.start(listeners, &stops); err != nil {
		stops.run()
		return nil, nil, err
	}
	node.Log.Info("node started", zap.String("zone", string(node.Settings.Zone)))
	return node, stops.run, nil
}

// start starts the parts in the order in which they need each other.
func (n *Node) start(listeners listeners, stops *cleanups) error {
	settings := n.Settings
	self := n.entry()
	store, closeStore := qhplatform.NewHTTP(n.storeOptions())
	stops.add(closeStore)
	n.holder = qhhold.New(qhhold.Options{Node: settings.ID, Log: n.Log, Metrics: n.metrics})
	n.members = qhmember.NewTable(qhmember.Options{Self: self, ViewInterval: viewPause})
	source, stopSource, err := n.startSource(store, listeners.peers)
	if err != nil {
		return err
	}
	n.source = source
	stops.add(stopSource)
	n.startProxy(&store, stops)
	n.startTargets()
	n.serve(listeners)
	stops.add(n.closeServers)
	return nil
}

// startProxy starts the path of a call.
func (n *Node) startProxy(store *qhplatform.Store, stops *cleanups) {
	guards, closeGuards := qhguard.NewSet()
	guards.SetDrainTimeout(time.Duration(drainShare * float64(n.Settings.Bounds.MaxDrainDelay)))
	guards.RegisterMetrics(n.metrics)
	n.guards = guards
	n.metrics.GetOrCreateGauge("qh_targets_running", func() float64 { return float64(n.load().Running) })
	n.metrics.GetOrCreateGauge("qh_targets_queued", func() float64 { return float64(n.load().Queued) })
	stops.add(closeGuards)
	proxy, stopProxy := qhproxy.New(qhproxy.Options{
		Self:          n.Settings.ID,
		Zone:          n.Settings.Zone,
		Settings:      n.calls(),
		Snapshot:      n.holder.Current,
		View:          n.members.View,
		LocalGuard:    guards.Get,
		Decisions:     n.ring,
		Log:           n.Log,
		Metrics:       n.metrics,
		Store:         store,
		Dialect:       n.dialect(),
		LocalService:  n.beside,
		RetryBudgets:  n.budgets(),
		OnPeerVersion: n.heard,
	})
	n.proxy = proxy
	stops.add(stopProxy)
}

// startTargets takes announcements and drops those that lapse.
func (n *Node) startTargets() {
	n.targets = qhannounce.NewRegistry(qhannounce.Options{
		TTL:      n.lapse(),
		Now:      time.Now,
		OnChange: n.targetsChanged,
		Log:      n.Log,
	})
	n.group.Every(sweepPeriod, func(context.Context) { n.targets.RemoveExpired() })
}

// entry returns what the node first announces of itself. A VM that is replaced
// starts with a later incarnation; where its clock is behind, the members'
// answer raises it.
func (n *Node) entry() qhmember.Entry {
	announced := n.Settings.AdvertisedAddresses()
	return qhmember.Entry{
		Node:        n.Settings.ID,
		Zone:        n.Settings.Zone,
		PeerAddress: announced.Peers,
		CallAddress: announced.Calls,
		Incarnation: qhid.Incarnation(n.started.UnixMilli()),
		Sequence:    1,
		State:       qhmember.Up,
		LinkSpeed:   n.Settings.Bounds.LinkSpeed,
	}
}

// Ready returns nil when the node takes calls, else why not.
func (n *Node) Ready() error {
	if n.isLeaving() {
		return qherr.New(qherr.Unavailable, nil, "call another node", "node %s is leaving", n.Settings.ID)
	}
	select {
	case <-n.source.ready:
	default:
		return qherr.New(qherr.Unavailable, nil, "wait", "node %s still asks platform and peers for the newest version", n.Settings.ID)
	}
	if n.holder.Current() == nil {
		return qherr.New(qherr.Unavailable, nil, "confirm a first plan, or check that the platform or a peer can be reached", "node %s holds no configuration", n.Settings.ID)
	}
	return nil
}

// Stop refuses new calls, tells the others, waits for the calls in flight and
// closes the listeners.
func (n *Node) Stop(ctx context.Context) {
	n.Log.Info("node stops", zap.Duration("grace", time.Duration(n.Settings.Calls.ShutdownTimeout)))
	n.leave()
	drained := n.proxy.Drain(ctx)
	ctx, cancel := context.WithTimeout(ctx, leaveBound)
	defer cancel()
	for _, server := range n.servers {
		if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			n.Log.Warn("listener did not close", zap.Error(err))
		}
	}
	n.source.leave(ctx)
	n.Log.Info("node stopped", zap.Int("cut", drained.Cancelled))
}
