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
	// maxStoreRate bounds a node's requests per second to an object store of
	// the settings, which all nodes watch.
	maxStoreRate = 10
	// storeWatchTimeout is how long a watch request to such a store may stay
	// open.
	storeWatchTimeout = 20 * time.Second
	// shutdownDelayShare is the fraction of the shutdown timeout during which
	// callers are still served, because the platform takes a while to route
	// them to other nodes.
	shutdownDelayShare = 0.45
	// queueDrainShare is the fraction of the maximum drain delay of the
	// settings for which calls stay queued at a leaving target.
	queueDrainShare = 0.5
	// announcementTTLPeriods is the number of announcement periods
	// (Bounds.AnnouncementPeriod) without an announcement after which a target
	// expires.
	announcementTTLPeriods = 4
)

// source provides a node with configuration versions and with the entries of
// other nodes, and announces the node's own entry.
type source struct {
	// ready is closed once the node has caught up with the other nodes.
	ready    <-chan struct{}
	announce func(state qhmember.State, targets []qhmember.AnnouncedTarget)
	leave    func(ctx context.Context)
	summary  func() qhstatus.Summary
	state    func() qhspread.State
	// unusable says why the newest configuration is not in force; empty if it could be
	// applied.
	unusable func() string
	// peers handles HTTP requests of other nodes; nil if the source serves the
	// peers' listener itself.
	peers http.Handler
}

// startSource starts the source that the settings select: with a store, a feed
// that watches the store, otherwise the distribution tree.
func (n *Node) startSource(store qhplatform.Store, peers net.Listener) (source, func(), error) {
	if n.Settings.Store != nil {
		feed, stop := n.startFeed(store)
		return feed, stop, nil
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
		unusable: func() string { return "" }, // Dump has the refusals
	}, stop, nil
}

// startFeed starts a feed that watches the store.
func (n *Node) startFeed(store qhplatform.Store) (source, func()) {
	options := qhfeed.Options{
		ConfigKey:        platform.ConfigKey,
		DecodeConfig:     platform.DecodeConfig,
		Store:            store,
		Holder:           n.holder,
		Members:          n.members,
		Seeds:            func() []qhid.Address { return n.latestSettings.Load().Seeds },
		ConvergenceLimit: time.Duration(n.Settings.Bounds.MaxConfigDelay),
		Log:              n.Log,
		Metrics:          n.metrics,
		Proof:            n.proof,
	}
	if n.canary != nil {
		options.RolloutPrefix, options.OnRollouts = platform.RolloutPrefix, n.onRollouts
	}
	feed, stop := qhfeed.New(options)
	n.onNodeVersion = feed.ReportVersion
	return source{
		ready: feed.Ready(),
		announce: func(state qhmember.State, targets []qhmember.AnnouncedTarget) {
			feed.Announce(state, targets)
			if state == qhmember.Leaving {
				n.group.Go(feed.Leave)
			}
		},
		leave:    feed.Leave,
		summary:  func() qhstatus.Summary { return qhstatus.Summary{} },
		state:    func() qhspread.State { return qhspread.State{} },
		unusable: feed.Unusable,
		peers:    n.withCrashes(n.withQuota(n.withRollouts(feed.Handler()))),
	}, stop
}

// storeOptions returns the options of the client of the object store of the
// settings or, without one, of the platform's object API.
func (n *Node) storeOptions() qhplatform.HTTPOptions {
	options := qhplatform.HTTPOptions{BaseURL: n.Settings.Platform, RateLimit: maxPlatformRate, BulkPrefix: claimKeyPrefix, Metrics: n.metrics, Log: n.Log}
	if n.Settings.Store != nil {
		options.BaseURL, options.RateLimit, options.BulkPrefix = n.Settings.Store.Address, maxStoreRate, ""
		options.Codec, options.WatchTimeout = platform.Codec(), storeWatchTimeout
	}
	return options
}

// dialect returns the dialect of the platform if the settings have a store,
// otherwise the default one.
func (n *Node) dialect() qhdialect.Dialect {
	if n.Settings.Store != nil {
		return platform.Dialect()
	}
	return qhdialect.Default()
}

// localService returns the service whose target is on this VM, or "".
func (n *Node) localService() qhid.Service {
	local := n.latestSettings.Load().LocalTarget
	if local == nil {
		return ""
	}
	return local.Service
}

// targetsHandler returns the handler for the announcements of targets.
func (n *Node) targetsHandler() http.Handler {
	if n.Settings.Store != nil {
		return platform.TargetHandler(n.targets)
	}
	return n.targets.Handler()
}

// announcementTTL returns how long after its last announcement a target is
// removed.
func (n *Node) announcementTTL() time.Duration {
	return max(defaultAnnouncementTTL, announcementTTLPeriods*time.Duration(n.Settings.Bounds.AnnouncementPeriod))
}

// retryBudgets returns this node's part of the retry budgets that all nodes
// share, or nil if the settings set no retry window.
func (n *Node) retryBudgets() *qhretry.Budgets {
	bounds := n.Settings.Bounds
	if bounds.RetryWindow == 0 {
		return nil
	}
	return qhretry.NewSharedBudgets(bounds.RetryRatio, bounds.RetrySlack, func() int { return len(n.members.View().Entries) })
}

// callSettings returns the settings for calls, with the default shutdown delay
// of a node with a store.
func (n *Node) callSettings() qhsetting.Calls {
	calls := n.Settings.Calls
	if n.Settings.Store != nil && calls.ShutdownDelay == 0 {
		calls.ShutdownDelay = qhconfig.Duration(shutdownDelayShare * float64(calls.ShutdownTimeout))
	}
	return calls
}
