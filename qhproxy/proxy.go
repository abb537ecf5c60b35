// Package qhproxy carries calls: from a caller to the node on the VM of a
// target, and from there to the target.
//
// A call of a caller (callers.go) is checked, matched to a route and a service,
// and its key claimed where it has one (keyed.go). It is then sent to an
// endpoint, and to another one where it may be repeated (send.go). The endpoint's
// node (nodes.go) waits for a slot of the target and sends the call to it
// (target.go); where that node is the caller's own, the hop between nodes is left
// out. The answer is passed on as it comes (answer.go). A call that gets no
// answer of a target is a failure (failure.go), which the mesh answers itself
// (refuse.go): as not run only where no byte of it was given to a target.
//
// An answer that breaks off is broken off towards the caller too. A target's
// answer that neither states its length nor comes in chunks ends with its
// connection, and can't be told from one whose target was killed.
package qhproxy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhbalance"
	"quetzalhaven.dev/qhclaim"
	"quetzalhaven.dev/qhconn"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhdialect"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhretry"
	"quetzalhaven.dev/qhsetting"
)

// Options are the options of a proxy. All functions return at once.
type Options struct {
	Self     qhid.Node
	Zone     qhid.Zone
	Settings qhsetting.Calls
	// Snapshot returns the configuration, or nil before the first.
	Snapshot func() *qhhold.Snapshot
	// View returns the known endpoints, never nil.
	View func() *qhmember.View
	// Local returns the guard of a target of this VM, or nil.
	Local func(qhid.Target) *qhguard.Guard
	// Ring keeps the decisions.
	Ring    *qhdecision.Ring
	Log     *zap.Logger
	Metrics *metrics.Set
	// Dialect is how callers and targets write headers; the product's own where
	// its functions are nil.
	Dialect qhdialect.Dialect
	// Beside returns the service whose target is on this VM, empty for none; it
	// may be nil.
	Beside func() qhid.Service
	// Heard is told of the version that another node has; it may be nil.
	Heard func(version qhid.Version, node qhid.Node)
	// Store keeps the claims of keyed calls; nil refuses keyed calls.
	Store *qhplatform.Store
	// Budgets bounds repeats; by the budget of the settings where it is nil.
	Budgets *qhretry.Budgets
	// Random returns a number in [0, n); nil is math/rand.
	Random func(n int) int
}

// Proxy carries calls.
type Proxy struct {
	Options
	balancer *qhbalance.Balancer
	budgets  *qhretry.Budgets
	peers    *qhconn.PeerPool
	counts   *counts
	// claims is nil where there is no store.
	claims  *qhclaim.Manager
	buffers buffers
	// spans has the longest time that callers of a route wait.
	spans spans
	// random returns a number in [0, n).
	random func(n int) int
	// group has the goroutines that read connections ahead.
	group *qhgroup.Group
	// base is the parent of the contexts of all calls. It ends when calls are cut.
	base context.Context //nolint:containedctx // handed to the servers' BaseContext
	cut  context.CancelCauseFunc
	// targets is the gate of calls to the targets of this VM.
	targets *gate
	// callers is the gate of calls of callers.
	callers *gate
}

// New returns a proxy and its clean-up, which cuts what is still in flight and
// closes the connections to other nodes.
func New(options Options) (*Proxy, func()) {
	if options.Dialect.RemainingTime == nil {
		options.Dialect = qhdialect.Default()
	}
	if options.Beside == nil {
		options.Beside = func() qhid.Service { return "" }
	}
	if options.Random == nil {
		options.Random = rand.IntN
	}
	peers, closePeers := qhconn.NewPeerPool()
	base, cut := context.WithCancelCause(context.Background())
	group, stop := qhgroup.New(context.Background())
	proxy := &Proxy{
		Options:  options,
		balancer: qhbalance.New(qhbalance.Options{Zone: options.Zone, SpillPercent: options.Settings.SpillPercent, Random: options.Random}),
		budgets:  cmp.Or(options.Budgets, qhretry.NewBudgets(options.Settings.RetryBudget)),
		peers:    peers,
		counts:   newCounts(options.Metrics),
		base:     base,
		group:    group,
		cut:      cut,
		random:   options.Random,
		targets:  newGate(),
		callers:  newGate(),
	}
	options.Metrics.NewGauge("qh_calls_in_flight", func() float64 { return float64(proxy.callers.inside.Load()) })
	closeClaims := func() {}
	if options.Store != nil {
		proxy.claims, closeClaims = qhclaim.New(qhclaim.Options{
			Self: options.Self, Store: *options.Store, Log: options.Log, Metrics: options.Metrics,
		})
	}
	return proxy, func() {
		cut(errCut)
		closePeers()
		closeClaims()
		stop()
	}
}

// Callers returns the handler of the callers' listener.
func (p *Proxy) Callers() http.Handler { return http.HandlerFunc(p.serveCaller) }

// Nodes returns the handler of calls that other nodes send on.
func (p *Proxy) Nodes() http.Handler { return http.HandlerFunc(p.serveNode) }

// decide keeps a decision.
func (p *Proxy) decide(d qhdecision.Decision) {
	d.Time = time.Now()
	p.Ring.Add(d)
	p.logDecision(&d)
}
