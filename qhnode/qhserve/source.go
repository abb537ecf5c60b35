package qhserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"quetzalhaven.dev/platform"
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdialect"
	"quetzalhaven.dev/qhfeed"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhretry"
	"quetzalhaven.dev/qhsetting"
	"quetzalhaven.dev/qhspread"
	"quetzalhaven.dev/qhstatus"
)

const (
	// storeRate is how often a second a node calls a store that all nodes watch.
	storeRate = 10
	// storeWait is how long a watch of such a store is held.
	storeWait = 20 * time.Second
	// lingerShare is the part of the grace period in which callers are still
	// served, since the platform takes a while to send them elsewhere.
	lingerShare = 0.45
	// drainShare is the part of the time to drain in which a target that leaves
	// takes what waits for it.
	drainShare = 0.5
	// lapseBeats is how many announcements in a row a target may miss.
	lapseBeats = 4
)

// source is where a node gets versions and members from.
type source struct {
	// ready is closed once the node knows what others have.
	ready    <-chan struct{}
	announce func(state qhmember.State, targets []qhmember.Target)
	leave    func(ctx context.Context)
	summary  func() qhstatus.Summary
	state    func() qhspread.State
	// peers answers other nodes over HTTP; nil where the source has its own listener.
	peers http.Handler
}

// startSource starts what the settings ask for: a feed where each node watches
// the store by itself, else the tree.
func (n *Node) startSource(store qhplatform.Store, peers net.Listener) (source, func(), error) {
	if n.Settings.Store != nil {
		from, stop := n.startFeed(store)
		return from, stop, nil
	}
	spreader, stop, err := qhspread.New(n.group.Context(), qhspread.Options{
		Self:            n.members.Self(),
		OperatorAddress: n.Settings.AdvertisedAddresses().Operators,
		Settings:        n.Settings.Spread,
		Seeds:           n.Settings.Seeds,
		Store:           store,
		Chain:           qhhead.New(qhhead.Options{Store: store}),
		Holder:          n.holder,
		Members:         n.members,
		Listener:        peers,
		Log:             n.Log,
		Metrics:         n.metrics,
	})
	if err != nil {
		return source{}, nil, err
	}
	return source{
		ready:    spreader.Ready(),
		announce: spreader.Announce,
		leave:    spreader.Leave,
		summary:  spreader.Summary,
		state:    spreader.State,
	}, stop, nil
}

func (n *Node) startFeed(store qhplatform.Store) (source, func()) {
	feed, stop := qhfeed.New(qhfeed.Options{
		ConfigKey:        platform.ConfigKey,
		DecodeConfig:     platform.DecodeConfig,
		Store:            store,
		Holder:           n.holder,
		Members:          n.members,
		Seeds:            func() []qhid.Address { return n.latest.Load().Seeds },
		ConvergenceLimit: time.Duration(n.Settings.Bounds.MaxConfigDelay),
		Log:              n.Log,
		Metrics:          n.metrics,
	})
	n.heard = feed.ReportVersion
	return source{
		ready: feed.Ready(),
		announce: func(state qhmember.State, targets []qhmember.Target) {
			feed.Announce(state, targets)
			if state == qhmember.Leaving {
				n.group.Go(feed.Leave)
			}
		},
		leave:   feed.Leave,
		summary: func() qhstatus.Summary { return qhstatus.Summary{} },
		state:   func() qhspread.State { return qhspread.State{} },
		peers:   feed.Handler(),
	}, stop
}

// storeOptions returns how the platform's objects are reached.
func (n *Node) storeOptions() qhplatform.HTTPOptions {
	options := qhplatform.HTTPOptions{BaseURL: n.Settings.Platform, RateLimit: platformRate, BulkPrefix: claimKeys, Metrics: n.metrics, Log: n.Log}
	if n.Settings.Store != nil {
		options.BaseURL, options.RateLimit, options.BulkPrefix = n.Settings.Store.Address, storeRate, ""
		options.Codec, options.WatchTimeout = platform.Codec(), storeWait
	}
	return options
}

func (n *Node) dialect() qhdialect.Dialect {
	if n.Settings.Store != nil {
		return platform.Dialect()
	}
	return qhdialect.Default()
}

// beside returns the service whose target is on this VM.
func (n *Node) beside() qhid.Service {
	beside := n.latest.Load().LocalTarget
	if beside == nil {
		return ""
	}
	return beside.Service
}

func (n *Node) targetsHandler() http.Handler {
	if n.Settings.Store != nil {
		return platform.TargetHandler(n.targets)
	}
	return n.targets.Handler()
}

// lapse returns after how long without an announcement a target is dropped.
func (n *Node) lapse() time.Duration {
	return max(announceLapse, lapseBeats*time.Duration(n.Settings.Bounds.HeartbeatPeriod))
}

// budgets returns the node's part of the bound on repeats that all nodes share,
// nil where there is none.
func (n *Node) budgets() *qhretry.Budgets {
	bounds := n.Settings.Bounds
	if bounds.RetryWindow == 0 {
		return nil
	}
	return qhretry.NewSharedBudgets(bounds.RetryRatio, bounds.RetrySlack, func() int { return len(n.members.View().Entries) })
}

// calls returns the settings of calls, with what the bounds add to them.
func (n *Node) calls() qhsetting.Calls {
	calls := n.Settings.Calls
	if n.Settings.Store != nil && calls.ShutdownDelay == 0 {
		calls.ShutdownDelay = qhconfig.Duration(lingerShare * float64(calls.ShutdownTimeout))
	}
	return calls
}
