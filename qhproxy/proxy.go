// Package qhproxy forwards calls: from a caller to the node on the VM of a
// target, and from there to the target.
//
// A caller's call (callers.go) is validated and matched to a route and a
// service. If it carries an idempotency key on a route that uses them, the key
// is claimed (keyed.go). The call is then sent to an endpoint, and retried at
// another one if the route allows it (send.go). The endpoint's node (nodes.go)
// waits for a slot of the target and sends the call to it (target.go); if that
// node is the caller's own, the hop between nodes is skipped. The response is
// streamed back (response.go). A call without a target's response is a failure,
// which the node answers itself (failure.go). It reports the call as not
// executed only if no byte of it was sent to a target, or if the target says
// that it did not execute it.
//
// If a target's response is truncated, so is the response to the caller. A
// response with neither a Content-Length nor chunked encoding ends when its
// connection closes, and cannot be distinguished from one that a killed target
// left incomplete.
package qhproxy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhbalance"
	"quetzalhaven.dev/qhcanary"
	"quetzalhaven.dev/qhclaim"
	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhconn"
	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhdialect"
	"quetzalhaven.dev/qhdrain"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhintake"
	"quetzalhaven.dev/qhkey"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhmemory"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhquota"
	"quetzalhaven.dev/qhretry"
	"quetzalhaven.dev/qhsetting"
	"quetzalhaven.dev/qhshed"
)

// Options configures a Proxy. All functions must return without blocking.
type Options struct {
	Self     qhid.Node
	Zone     qhid.Zone
	Settings qhsetting.Calls
	// Snapshot returns the configuration in force, or nil before the first one.
	Snapshot func() *qhhold.Snapshot
	// View returns the known endpoints; it never returns nil.
	View func() *qhmember.View
	// LocalGuard returns the guard of a target on this VM, or nil.
	LocalGuard func(qhid.Target) *qhguard.Guard
	// Decisions keeps the most recent decisions on calls.
	Decisions *qhdecision.Ring
	Log       *zap.Logger
	Metrics   *metrics.Set
	// Dialect reads and writes the headers of callers and targets. If its
	// functions are nil, the default dialect is used.
	Dialect qhdialect.Dialect
	// LocalService returns the service whose target is on this VM, or "" if
	// there is none. It may be nil.
	LocalService func() qhid.Service
	// OnNodeVersion is called with the configuration version that another node
	// reports. It may be nil.
	OnNodeVersion func(version qhid.Version, node qhid.Node)
	// EndTargetCalls makes the guards of the targets on this VM refuse calls that wait and
	// cannot end by the given time. It is called once at shutdown and may be nil.
	EndTargetCalls func(by time.Time)
	// OnTargetLeaving is called for each response of a target that says that the
	// target is leaving. It may be nil.
	OnTargetLeaving func(target qhid.Target)
	// Canary has the roll-outs of services to other software versions; nil if there
	// are none to keep to.
	Canary *qhcanary.Local
	// Proof tells whether the configuration in force may be used to admit calls by
	// key; nil if no proof is needed.
	Proof *qhkey.Proof
	// Quota limits the calls of tenants; nil if nothing is limited.
	Quota *qhquota.Local
	// Crashes finds requests that crash targets; nil if none are looked for.
	Crashes *qhcrash.Local
	// Store keeps the claims on idempotency keys. If it is nil, calls with a key
	// are refused on routes with the retry policy keyed.
	Store *qhplatform.Store
	// RetryBudgets bounds retries. If it is nil, the retry budget of the
	// settings applies.
	RetryBudgets *qhretry.Budgets
	// LinkSpeed is the network bandwidth of the VM, which bounds the request bodies
	// that other nodes send at a time; 0 if unknown.
	LinkSpeed qhid.MegabitsPerSecond
	// Memory has what is held in memory for the clients of the node; nil if no account is kept.
	Memory *qhmemory.Account
	// Random returns a random number in [0, n). nil means math/rand/v2.
	Random func(n int) int
}

// Proxy forwards the calls of one node.
type Proxy struct {
	Options
	balancer *qhbalance.Balancer
	budgets  *qhretry.Budgets
	nodePool *qhconn.NodePool
	// intake admits the large request bodies of other nodes.
	intake   *qhintake.Gate
	counters *counters
	limits   *targetLimits
	// shedder is nil if the node refuses no calls for its own load.
	shedder *qhshed.Shedder
	// returns books when refused callers return.
	returns *qhshed.Returns
	// claims is nil if Store is nil.
	claims  *qhclaim.Manager
	buffers bufferPool
	// longestTimeouts has the longest timeout that callers of each route sent.
	longestTimeouts longestTimeouts
	// random is Options.Random.
	random func(n int) int
	// group runs the pipelined calls and the goroutines that read ahead on
	// callers' connections.
	group *qhgroup.Group
	// baseContext is the parent of the contexts of all calls; cancelCalls
	// cancels it.
	baseContext context.Context //nolint:containedctx // handed to the servers' BaseContext
	cancelCalls context.CancelCauseFunc
	// targetCalls counts the in-flight calls to targets of this VM.
	targetCalls *inFlightCounter
	// targetRuns has the deadlines of the calls that targetCalls counts.
	targetRuns targetRuns
	// callerCalls counts the in-flight calls of callers.
	callerCalls *inFlightCounter
	// history has what was seen of the calls of callers.
	history qhdrain.History
	// shutdown is the schedule of the node's shutdown; nil before that.
	shutdown atomic.Pointer[qhdrain.Schedule]
	// conns has the connections of callers.
	conns callerConns
}

// New returns a proxy and a function that cancels the in-flight calls and
// closes the connections to other nodes.
func New(options Options) (*Proxy, func()) {
	if options.Dialect.RemainingTime == nil {
		options.Dialect = qhdialect.Default()
	}
	if options.LocalService == nil {
		options.LocalService = func() qhid.Service { return "" }
	}
	if options.Proof == nil {
		options.Proof = qhkey.NewProof(0, qhclock.Now)
	}
	if options.Random == nil {
		options.Random = rand.IntN
	}
	nodePool, closeNodePool := qhconn.NewNodePool()
	baseContext, cancelCalls := context.WithCancelCause(context.Background())
	group, stop := qhgroup.New(context.Background())
	proxy := &Proxy{
		Options:     options,
		balancer:    qhbalance.New(qhbalance.Options{Zone: options.Zone, SpillPercent: options.Settings.SpillPercent, Random: options.Random}),
		budgets:     cmp.Or(options.RetryBudgets, qhretry.NewBudgets(options.Settings.RetryBudget)),
		nodePool:    nodePool,
		intake:      qhintake.New(options.LinkSpeed),
		counters:    newCounters(options.Metrics),
		limits:      newTargetLimits(),
		returns:     qhshed.NewReturns(),
		baseContext: baseContext,
		group:       group,
		cancelCalls: cancelCalls,
		random:      options.Random,
		targetCalls: newInFlightCounter(),
		callerCalls: newInFlightCounter(),
	}
	proxy.shedder = proxy.newShedder()
	options.Metrics.NewGauge("qh_calls_in_flight", func() float64 { return float64(proxy.callerCalls.count.Load()) })
	options.Metrics.NewGauge("qh_target_rate_limits", func() float64 { return float64(proxy.limits.count()) })
	closeClaims := func() {}
	if options.Store != nil {
		proxy.claims, closeClaims = qhclaim.New(qhclaim.Options{
			Self: options.Self, Store: *options.Store, Log: options.Log, Metrics: options.Metrics,
		})
	}
	return proxy, func() {
		cancelCalls(errShutdownTimeout)
		closeNodePool()
		closeClaims()
		stop()
	}
}

// CallersHandler returns the handler for calls of callers.
func (p *Proxy) CallersHandler() http.Handler { return http.HandlerFunc(p.serveCaller) }

// NodesHandler returns the handler for calls that other nodes forward to
// targets of this VM.
func (p *Proxy) NodesHandler() http.Handler { return http.HandlerFunc(p.serveNode) }

// recordDecision adds a decision to the ring and logs it.
func (p *Proxy) recordDecision(d qhdecision.Decision) {
	d.Time = time.Now()
	d = d.Bounded()
	p.Decisions.Add(d)
	p.logDecision(&d)
}
