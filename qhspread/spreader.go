// Package qhspread distributes configuration versions and the membership of the
// fleet to every node.
//
// A relay is a node that holds a relay slot, a lease on the platform. Each
// availability zone has a few relays, which watch the platform. All other nodes
// of the availability zone form a distribution tree of bounded fan-out below
// them. A root is any node without a parent: a relay, or a node that still looks
// for a parent. Roots of different availability zones are linked with each
// other. Updates that are lost in transit are found and repaired by periodic
// anti-entropy between nodes.
package qhspread

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhlease"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsetting"
	"quetzalhaven.dev/qhwire"
)

const (
	// dialTimeout bounds a dial, a write and a short request.
	dialTimeout = time.Second
	// refreshPeriod is how often the membership view is updated with the merged
	// entries.
	refreshPeriod = 50 * time.Millisecond
	// joinRate and joinBurst limit the join requests that a node accepts, per
	// second and at once.
	joinRate  = 40
	joinBurst = 20
)

// Options configures a spreader.
type Options struct {
	// Self is this node's entry. Its incarnation is larger than that of any
	// earlier run.
	Self qhmember.Entry
	// OperatorAddress is the address of this node's operator API.
	OperatorAddress qhid.Address
	Settings        qhsetting.Spread
	// Seeds are peers that this node contacts when it knows no other node that
	// accepts it. It may be empty.
	Seeds   []qhid.Address
	Store   qhplatform.Store
	Chain   *qhhead.Chain
	Holder  *qhhold.Holder
	Members *qhmember.Table
	// Listener accepts links from other nodes. The spreader closes it.
	Listener net.Listener
	// Dial opens a connection to a node; nil uses package net.
	Dial    func(ctx context.Context, address qhid.Address) (net.Conn, error)
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Spreader distributes configuration versions and membership on behalf of one
// node.
type Spreader struct {
	Options
	zone           qhid.Zone
	self           qhid.Node
	batchDelay     time.Duration
	silenceTimeout time.Duration
	group          *qhgroup.Group
	transport      *qhwire.Transport
	versions       *versionStore
	leases         *qhlease.Manager
	joinLimiter    *rate.Limiter
	metrics        *spreadMetrics
	relays         *relayDirectory
	suspects       *suspectSet
	convergence    *convergence
	// ready is closed when initialSync ends.
	ready chan struct{}
	// topologyChanged holds a signal if the parent or the lease may have changed.
	topologyChanged chan struct{}
	// platformContact is when the platform last responded.
	platformContact lastContact

	mu sync.Mutex
	// neighbors holds the neighbors of all registered links.
	neighbors map[*neighbor]struct{}
	// parent is one of neighbors; nil for a root.
	parent *neighbor
	// joinAttempt is the attempt to join a parent that is in progress, or nil.
	joinAttempt *joinAttempt
	// path lists the nodes from the root to this node, both included.
	path []qhid.Node
	// leaving is set by Leave and never reset.
	leaving bool
	// pulling is set while a pull runs; nextPull is the next one, if any.
	pulling  bool
	nextPull pullSource
}

// New starts a spreader. The returned function closes all links and stops all
// goroutines. The error is always nil.
func New(ctx context.Context, options Options) (*Spreader, func(), error) {
	group, stopGroup := qhgroup.New(ctx)
	s := &Spreader{
		Options:         options,
		zone:            options.Self.Zone,
		self:            options.Self.Node,
		batchDelay:      time.Duration(options.Settings.BatchDelay),
		silenceTimeout:  time.Duration(options.Settings.SilenceTimeout),
		group:           group,
		versions:        newVersionStore(options.Holder, options.Log),
		joinLimiter:     rate.NewLimiter(joinRate, joinBurst),
		relays:          newRelayDirectory(),
		suspects:        newSuspectSet(),
		convergence:     newConvergence(options.Metrics),
		ready:           make(chan struct{}),
		topologyChanged: make(chan struct{}, 1),
		neighbors:       make(map[*neighbor]struct{}),
		path:            []qhid.Node{options.Self.Node},
	}
	s.metrics = newSpreadMetrics(s)
	s.leases = qhlease.NewManager(qhlease.Options{
		Store:           options.Store,
		Zone:            s.zone,
		Slots:           options.Settings.RelaySlots,
		TTL:             time.Duration(options.Settings.LeaseTTL),
		Node:            s.self,
		PeerAddress:     options.Self.PeerAddress,
		OperatorAddress: options.OperatorAddress,
	})
	transport, stopTransport := qhwire.New(ctx, qhwire.Options{
		Mux:             s.mux(),
		HeartbeatPeriod: time.Duration(options.Settings.HeartbeatPeriod),
		SilenceTimeout:  s.silenceTimeout,
		IOTimeout:       dialTimeout,
		Dial:            options.Dial,
		Log:             options.Log,
		Metrics:         options.Metrics,
	})
	s.transport = transport
	options.Members.SetViewInterval(refreshPeriod)
	s.start()
	return s, func() { stopGroup(); stopTransport() }, nil
}

// start starts the goroutines that run until the spreader is stopped.
func (s *Spreader) start() {
	s.transport.Serve(s.Listener)
	s.group.Go(s.initialSync)
	s.group.Go(s.attachLoop)
	s.group.Go(s.leaseLoop)
	s.group.Go(s.freeSlotLoop)
	s.group.Go(s.watchLoop)
	s.group.Go(s.antiEntropyLoop)
	s.group.Go(s.rootLoop)
	s.group.Every(refreshPeriod, func(context.Context) { s.Members.Refresh() })
	s.group.Every(summaryPeriod, s.sendSummary)
}

// Ready returns a channel that is closed once the node has the newest version
// that the platform or its peers know, or when the startup timeout has passed.
func (s *Spreader) Ready() <-chan struct{} { return s.ready }

// mux returns the handlers of all messages between nodes.
func (s *Spreader) mux() *qhwire.Mux {
	mux := qhwire.NewMux()
	qhwire.HandleRequest(mux, qhwire.KindJoin, s.onJoin)
	qhwire.HandleRequest(mux, qhwire.KindRootLink, s.onRootLink)
	qhwire.HandleNotice(mux, qhwire.KindPath, s.onPath)
	qhwire.HandleNotice(mux, qhwire.KindClose, s.onClose)
	qhwire.HandleNotice(mux, qhwire.KindVersion, s.onVersion)
	qhwire.HandleNotice(mux, qhwire.KindDiff, s.onDiff)
	qhwire.HandleRequest(mux, qhwire.KindPull, s.onPull)
	qhwire.HandleNotice(mux, qhwire.KindContent, s.onContent)
	qhwire.HandleNotice(mux, qhwire.KindMembership, s.onMembership)
	qhwire.HandleRequest(mux, qhwire.KindDigests, s.onDigests)
	qhwire.HandleRequest(mux, qhwire.KindZoneEntries, s.onZoneEntries)
	qhwire.HandleNotice(mux, qhwire.KindSummary, s.onSummary)
	return mux
}
