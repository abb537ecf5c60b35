// Package qhserve assembles the components of a node and runs them until the
// node is stopped.
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
	"quetzalhaven.dev/qhcanary"
	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhkey"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhproxy"
	"quetzalhaven.dev/qhquota"
	"quetzalhaven.dev/qhsetting"
)

const (
	// defaultAnnouncementTTL is how long after its last announcement a target
	// is removed, unless the heartbeat period of the settings requires a longer
	// time.
	defaultAnnouncementTTL = 3 * time.Second
	// expiryCheckInterval is how often expired targets are removed.
	expiryCheckInterval = 500 * time.Millisecond
	// minViewInterval is the minimum age of the view of the members at which
	// merged entries replace it.
	minViewInterval = 50 * time.Millisecond
	// leaveTimeout bounds the time to close the servers and to notify other
	// nodes at shutdown.
	leaveTimeout = 2 * time.Second
	// leaveShare is the part of the shutdown timeout after which the node leaves whatever is
	// not done, such as a request to a platform that does not respond.
	leaveShare = 0.98
	// maxPlatformRate bounds a node's calls to the platform per second.
	maxPlatformRate = 50
	// claimKeyPrefix is the prefix of the platform's objects that hold claims
	// on idempotency keys. They are written for each call with such a key.
	claimKeyPrefix qhplatform.Key = "claim/"
)

// Options configures a node.
type Options struct {
	Settings qhsetting.Node
	// Build is the version of the program.
	Build string
	Log   *zap.Logger
	// SettingsUpdates delivers the settings after each change of their file. It
	// may be nil.
	SettingsUpdates <-chan qhsetting.Node
}

// Node is a running node.
type Node struct {
	Options

	started time.Time
	metrics *metrics.Set
	holder  *qhhold.Holder
	members *qhmember.Table
	guards  *qhguard.Set
	targets *qhannounce.Registry
	// departures keeps which incarnations of the targets have left over a restart.
	departures *departures
	decisions  *qhdecision.Ring
	proxy      *qhproxy.Proxy
	source     source
	// proof tells whether the configuration in force may be used to admit calls by key.
	proof *qhkey.Proof
	// quota bounds the calls of tenants; nil without a store that all nodes watch.
	quota *qhquota.Local
	// canary has what the node needs to keep to roll-outs; nil if there are none.
	canary *qhcanary.Local
	// crashes finds requests that crash targets; nil if none are looked for.
	crashes *qhcrash.Local
	group   *qhgroup.Group
	servers []*http.Server
	// latestSettings has the settings as last read. Only changes of beside and
	// seeds take effect without a restart.
	latestSettings atomic.Pointer[qhsetting.Node]
	// onNodeVersion is called with the configuration versions that other nodes
	// report with calls; nil if the source does not use them.
	onNodeVersion func(version qhid.Version, node qhid.Node)
	// drainRequested is closed by the first drain request through the operator
	// API.
	drainRequested chan struct{}
	// serveErrors receives the error of the first HTTP server that stops
	// unexpectedly.
	serveErrors chan error

	mu sync.Mutex
	// state is the state that the node announces for itself.
	state qhmember.State
}

// Run serves until ctx is done, an operator drains the node or an HTTP server
// fails, and then shuts the node down. Errors have the kinds of qherr.
func Run(ctx context.Context, options Options) error {
	limitRuntimeMemory(options.Settings)
	node, cleanup, err := New(options)
	if err != nil {
		return err
	}
	defer cleanup()
	node.group.Go(node.watchSettings)
	select {
	case <-ctx.Done():
	case <-node.drainRequested:
	case err = <-node.serveErrors:
	}
	node.Shutdown(context.WithoutCancel(ctx))
	return err
}

// New starts a node and returns it with its cleanup function. If listening on
// an address fails, the error is of kind Unavailable.
func New(options Options) (*Node, func(), error) {
	listeners, closeListeners, err := listen(options.Settings.Listen)
	if err != nil {
		return nil, nil, err
	}
	node := &Node{
		Options:        options,
		started:        time.Now(),
		metrics:        metrics.NewSet(),
		decisions:      qhdecision.NewRing(options.Settings.Calls.MaxDecisions),
		drainRequested: make(chan struct{}),
		serveErrors:    make(chan error, 1),
		state:          qhmember.Up,
	}
	node.latestSettings.Store(&options.Settings)
	var cleanup cleanupStack
	cleanup.add(closeListeners)
	group, stopGroup := qhgroup.New(context.Background())
	node.group = group
	cleanup.add(stopGroup)
	node.Log = node.Log.With(zap.String("node", string(node.Settings.ID)))
	if err := node.start(listeners, &cleanup); err != nil {
		cleanup.run()
		return nil, nil, err
	}
	node.Log.Info("node started", zap.String("zone", string(node.Settings.Zone)))
	return node, cleanup.run, nil
}

// start starts the components in the order of their dependencies.
func (n *Node) start(listeners listeners, cleanup *cleanupStack) error {
	settings := n.Settings
	self := n.selfEntry()
	store, closeStore := qhplatform.NewHTTP(n.storeOptions())
	cleanup.add(closeStore)
	n.holder = qhhold.New(qhhold.Options{Node: settings.ID, Log: n.Log, Metrics: n.metrics})
	n.members = qhmember.NewTable(qhmember.Options{Self: self, ViewInterval: minViewInterval})
	n.startRollouts()
	if settings.Store != nil {
		n.startTenants()
	}
	n.startCrashes()
	source, stopSource, err := n.startSource(store, listeners.peers)
	if err != nil {
		return err
	}
	n.source = source
	cleanup.add(stopSource)
	n.startProxy(&store, cleanup)
	n.departures = newDepartures(store, settings.ID, n.Log)
	n.startTargets()
	if settings.Store != nil {
		n.group.Go(func(ctx context.Context) { n.departures.run(ctx, n.targets) })
	}
	n.startDecider(store)
	if n.quota != nil {
		n.group.Go(n.quota.Run)
	}
	if n.crashes != nil {
		n.group.Go(n.crashes.Run)
	}
	n.serve(listeners)
	cleanup.add(n.closeServers)
	return nil
}

// startProxy starts the guards of the local targets and the proxy.
func (n *Node) startProxy(store *qhplatform.Store, cleanup *cleanupStack) {
	guards, closeGuards := qhguard.NewSet()
	guards.SetDrainTimeout(time.Duration(queueDrainShare * float64(n.Settings.Bounds.MaxDrainDelay)))
	guards.RegisterMetrics(n.metrics)
	n.guards = guards
	// The same values as qh_target_calls_running and qh_target_calls_queued,
	// under other names.
	n.metrics.GetOrCreateGauge("qh_targets_running", func() float64 { return float64(n.totalLoad().Running) })
	n.metrics.GetOrCreateGauge("qh_targets_queued", func() float64 { return float64(n.totalLoad().Queued) })
	cleanup.add(closeGuards)
	proxy, stopProxy := qhproxy.New(qhproxy.Options{
		Self:            n.Settings.ID,
		Zone:            n.Settings.Zone,
		Settings:        n.callSettings(),
		Snapshot:        n.holder.Current,
		View:            n.members.View,
		LocalGuard:      guards.Get,
		EndTargetCalls:  guards.EndCallsBy,
		Decisions:       n.decisions,
		Log:             n.Log,
		Metrics:         n.metrics,
		Store:           store,
		Dialect:         n.dialect(),
		Canary:          n.canary,
		Crashes:         n.crashes,
		Proof:           n.proof,
		Quota:           n.quota,
		LocalService:    n.localService,
		RetryBudgets:    n.retryBudgets(),
		OnNodeVersion:   n.onNodeVersion,
		LinkSpeed:       n.Settings.Bounds.LinkSpeed,
		OnTargetLeaving: n.targetLeaving,
		Memory:          n.newMemoryAccount(),
	})
	n.proxy = proxy
	cleanup.add(stopProxy)
}

// startTargets starts the registry of announced targets, which removes expired
// ones.
func (n *Node) startTargets() {
	n.targets = qhannounce.NewRegistry(qhannounce.Options{
		TTL:         n.announcementTTL(),
		Now:         time.Now,
		OnChange:    n.targetsChanged,
		OnDeparture: n.departures.wake,
		Log:         n.Log,
	})
	n.group.Every(expiryCheckInterval, func(context.Context) { n.targets.RemoveExpired() })
}

// selfEntry returns the node's first entry in the member table. Its incarnation
// is the start time, so that a restarted node or replaced VM has a higher one;
// if the clock is behind, the entries of other nodes raise the incarnation.
func (n *Node) selfEntry() qhmember.Entry {
	advertised := n.Settings.AdvertisedAddresses()
	return qhmember.Entry{
		Node:        n.Settings.ID,
		Zone:        n.Settings.Zone,
		PeerAddress: advertised.Peers,
		CallAddress: advertised.ForwardedCalls,
		Incarnation: qhid.Incarnation(n.started.UnixMilli()),
		Sequence:    1,
		State:       qhmember.Up,
		LinkSpeed:   n.Settings.Bounds.LinkSpeed,
	}
}

// Ready returns nil if the node accepts calls, otherwise an error of kind
// Unavailable with the reason.
func (n *Node) Ready() error {
	if n.isLeaving() {
		return qherr.New(qherr.Unavailable, nil, "call another node", "node %s is leaving", n.Settings.ID)
	}
	select {
	case <-n.source.ready:
	default:
		return qherr.New(qherr.Unavailable, nil, "wait", "node %s is still fetching the newest configuration version from the platform or its peers", n.Settings.ID)
	}
	if n.holder.Current() == nil {
		return qherr.New(qherr.Unavailable, nil, "confirm a first plan, or check that the platform or a peer can be reached", "node %s has no configuration", n.Settings.ID)
	}
	return nil
}

// Shutdown announces that the node is leaving, refuses new calls, waits for the
// in-flight calls and shuts the servers down.
func (n *Node) Shutdown(ctx context.Context) {
	n.Log.Info("node leaving", zap.Duration("grace", time.Duration(n.Settings.Calls.ShutdownTimeout)))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(leaveShare*float64(n.Settings.Calls.ShutdownTimeout)))
	defer cancel()
	n.announceLeaving()
	drained := n.proxy.Drain(ctx)
	ctx, cancel = context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for _, server := range n.servers {
		if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			n.Log.Warn("HTTP server shutdown failed", zap.Error(err))
		}
	}
	n.source.leave(ctx)
	n.Log.Info("node stopped", zap.Int("cut", drained.Cancelled))
}
