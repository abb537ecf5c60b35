// Package qhspread brings configuration versions and membership to every node.
// In each availability zone a few roots hold relay slots and watch the platform;
// all other nodes form a tree of bounded fan-out below them. Roots of different
// availability zones are linked. What is pushed and lost on the way is found and
// pulled by a slow exchange with other nodes.
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
	// refreshPeriod is how often merged entries show in the view.
	refreshPeriod = 50 * time.Millisecond
	// admitRate and admitBurst bound the newcomers that a node answers a second.
	admitRate  = 40
	admitBurst = 20
)

// Options is what a spreader needs.
type Options struct {
	// Self is this node's entry, with a larger incarnation than in earlier lives.
	Self qhmember.Entry
	// OperatorAddress is where this node answers operators.
	OperatorAddress qhid.Address
	Settings        qhsetting.Spread
	// Seeds are peers to ask while the platform is out. It may be empty.
	Seeds   []qhid.Address
	Store   qhplatform.Store
	Chain   *qhhead.Chain
	Holder  *qhhold.Holder
	Members *qhmember.Table
	// Listener takes messages of other nodes. The spreader closes it.
	Listener net.Listener
	// Dial opens a connection to a node; that of package net where it is nil.
	Dial    func(ctx context.Context, address qhid.Address) (net.Conn, error)
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Spreader is one node's part in spreading configuration and membership.
type Spreader struct {
	Options
	zone      qhid.Zone
	self      qhid.Node
	batch     time.Duration
	silence   time.Duration
	group     *qhgroup.Group
	transport *qhwire.Transport
	content   *content
	keeper    *qhlease.Keeper
	admit     *rate.Limiter
	counts    *counts
	relays    *relays
	suspects  *suspects
	converged *convergence
	// ready is closed once, at the end of the start.
	ready chan struct{}
	// turn has an item when parent or lease may have changed.
	turn chan struct{}
	// platform notes when the platform last answered.
	platform contact

	mu sync.Mutex
	// neighbors has the links that take part in spreading.
	neighbors map[*neighbor]struct{}
	// parent is one of neighbors; nil for a root.
	parent *neighbor
	// joining is the attempt to get a parent that runs; nil for none.
	joining *joining
	// path leads from the root to this node, which is its last.
	path []qhid.Node
	// leaving is set once.
	leaving bool
	// pulling is set while a newer version is asked for, next is asked for after it.
	pulling bool
	next    pullable
}

// New starts a spreader. Its clean-up ends all links and goroutines.
func New(ctx context.Context, options Options) (*Spreader, func(), error) {
	group, stopGroup := qhgroup.New(ctx)
	s := &Spreader{
		Options:   options,
		zone:      options.Self.Zone,
		self:      options.Self.Node,
		batch:     time.Duration(options.Settings.BatchDelay),
		silence:   time.Duration(options.Settings.SilenceTimeout),
		group:     group,
		content:   newContent(options.Holder, options.Log),
		admit:     rate.NewLimiter(admitRate, admitBurst),
		relays:    newRelays(),
		suspects:  newSuspects(),
		converged: newConvergence(options.Metrics),
		ready:     make(chan struct{}),
		turn:      make(chan struct{}, 1),
		neighbors: make(map[*neighbor]struct{}),
		path:      []qhid.Node{options.Self.Node},
	}
	s.counts = newCounts(s)
	s.keeper = qhlease.NewKeeper(qhlease.Options{
		Store:           options.Store,
		Zone:            s.zone,
		Slots:           options.Settings.RelaySlots,
		TTL:             time.Duration(options.Settings.LeaseTTL),
		Node:            s.self,
		PeerAddress:     options.Self.PeerAddress,
		OperatorAddress: options.OperatorAddress,
	})
	transport, stopTransport := qhwire.New(ctx, qhwire.Options{
		Mux:       s.mux(),
		Heartbeat: time.Duration(options.Settings.HeartbeatPeriod),
		Silence:   s.silence,
		Timeout:   dialTimeout,
		Dial:      options.Dial,
		Log:       options.Log,
		Metrics:   options.Metrics,
	})
	s.transport = transport
	options.Members.SetViewInterval(refreshPeriod)
	s.start()
	return s, func() { stopGroup(); stopTransport() }, nil
}

// start starts what runs for the life of the spreader.
func (s *Spreader) start() {
	s.transport.Serve(s.Listener)
	s.group.Go(s.begin)
	s.group.Go(s.attachLoop)
	s.group.Go(s.leaseLoop)
	s.group.Go(s.vacancyLoop)
	s.group.Go(s.watchLoop)
	s.group.Go(s.exchangeLoop)
	s.group.Go(s.rootLoop)
	s.group.Every(refreshPeriod, func(context.Context) { s.Members.Refresh() })
	s.group.Every(summaryPeriod, s.sendSummary)
}

// Ready is closed once the question to platform and peers at the start has an
// answer or its bound has passed.
func (s *Spreader) Ready() <-chan struct{} { return s.ready }

// mux returns the handlers of all messages between nodes.
func (s *Spreader) mux() *qhwire.Mux {
	mux := qhwire.NewMux()
	qhwire.HandleCall(mux, qhwire.KindJoin, s.onJoin)
	qhwire.HandleCall(mux, qhwire.KindHello, s.onHello)
	qhwire.HandleNotice(mux, qhwire.KindPath, s.onPath)
	qhwire.HandleNotice(mux, qhwire.KindBye, s.onBye)
	qhwire.HandleNotice(mux, qhwire.KindHave, s.onHave)
	qhwire.HandleNotice(mux, qhwire.KindDiff, s.onDiff)
	qhwire.HandleCall(mux, qhwire.KindPull, s.onPull)
	qhwire.HandleNotice(mux, qhwire.KindContent, s.onContent)
	qhwire.HandleNotice(mux, qhwire.KindNews, s.onNews)
	qhwire.HandleCall(mux, qhwire.KindCompare, s.onCompare)
	qhwire.HandleCall(mux, qhwire.KindZone, s.onZone)
	qhwire.HandleNotice(mux, qhwire.KindSummary, s.onSummary)
	return mux
}
