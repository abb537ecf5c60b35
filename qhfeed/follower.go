package qhfeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhplatform"
)

const (
	// configWatchInterval and nodesWatchInterval are the minimum times between two
	// watches.
	configWatchInterval = 200 * time.Millisecond
	nodesWatchInterval  = 400 * time.Millisecond
	// restFactor is the ratio of the rest after a change to the time that fetching
	// and applying the change took. The rest leaves CPU and network to calls when
	// changes come in quick succession.
	restFactor = 4
	// maxRestShare bounds the rest, as a share of the convergence limit.
	maxRestShare = 0.3
	// arrivalFactor is the expected time for a change to arrive, as a multiple of
	// the time of a listing.
	arrivalFactor = 1.5
	// staleFactor is the age of the last response, as a multiple of the mean watch
	// time, from which a node no longer relays.
	staleFactor = 2
	// watchWaitPerNode sets the length of a watch by the number of nodes that watch
	// the store. Watches of all nodes then end about this far apart, so that some
	// node notices within this time that the store lost its watches.
	watchWaitPerNode = 250 * time.Millisecond
	// minWatchWait and maxWatchWait bound how long the store holds a watch.
	minWatchWait = 2 * time.Second
	maxWatchWait = 20 * time.Second
	// minBackoff and maxBackoff bound the mean of the random backoff after a failed
	// call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// follower keeps this node up to date with the objects under one prefix. It lists
// them and then watches for changes, either at the store or through a reader.
type follower struct {
	feed   *Feed
	name   string
	prefix qhplatform.Key
	// apply handles new objects; isListing is set if they are a full listing.
	apply func(objects []qhplatform.Object, isListing bool)
	// cache has the latest known objects, for the nodes that watch through this
	// one.
	cache *objectCache
	// revision is the revision reached so far. Only run uses it.
	revision qhplatform.Revision
	// listed is set after the first listing.
	listed atomic.Bool
	// failing is set while calls to the store fail.
	failing atomic.Bool
	// watchesStore is set while the objects come from the store and not from a
	// reader.
	watchesStore atomic.Bool
	// lastResponse is the time of the last successful call, in Unix nanoseconds.
	lastResponse atomic.Int64
	// watchWait returns how long the store holds a watch, given the number of nodes
	// that watch it.
	watchWait func(nodes int) time.Duration
	// watchInterval is the minimum time between two watches. Changes that come
	// within it share one call.
	watchInterval time.Duration
	// listingTime is the duration of the last listing, in nanoseconds.
	listingTime atomic.Int64
	// rest is how long the node rests between two watches, in nanoseconds, and
	// restEnd is when the last rest ends, in Unix nanoseconds.
	rest, restEnd atomic.Int64
	// restartWatch ends the current watch, which may have missed a change.
	restartWatch chan struct{}
}

func (f *Feed) newFollower(name string, prefix qhplatform.Key, apply func([]qhplatform.Object, bool)) *follower {
	fl := &follower{feed: f, name: name, prefix: prefix, apply: apply, cache: newObjectCache(), restartWatch: make(chan struct{}, 1)}
	f.Metrics.NewGauge(`qh_store_followed{what="`+name+`"}`, func() float64 {
		if fl.healthy() {
			return 1
		}
		return 0
	})
	return fl
}

func (fl *follower) healthy() bool { return fl.listed.Load() && !fl.failing.Load() }

// canRelay reports whether this node may answer other nodes' watches: it watches
// the store itself, and the store has responded recently.
func (fl *follower) canRelay() bool {
	longest := staleFactor * fl.watchWait(totalReaders(fl.feed.Members.View().Entries))
	return fl.watchesStore.Load() && time.Since(time.Unix(0, fl.lastResponse.Load())) < longest
}

// run lists the objects and then watches for changes. It lists again whenever the
// store no longer has the history.
func (fl *follower) run(ctx context.Context) {
	backoff := newRetryBackoff()
	for ctx.Err() == nil {
		up := fl.upstream()
		start := time.Now()
		listing, err := up.list(ctx)
		if err == nil && listing.Revision < fl.revision {
			err = qherr.New(qherr.Unavailable, nil, "the node retries with another reader or the store", "listing has revision %d, older than the known revision %d", listing.Revision, fl.revision)
		}
		if err != nil {
			fl.recordFailure(ctx, up, err, backoff)
			continue
		}
		backoff.reset()
		fl.listingTime.Store(int64(time.Since(start)))
		fl.recordResponse(up)
		fl.cache.replace(listing)
		fl.revision = listing.Revision
		before := fl.feed.Holder.Version()
		fl.applyAndMeasure(listing.Objects, true)
		if fl.listed.Swap(true) && fl.watchesStore.Load() && fl.feed.Holder.Version() > before {
			fl.feed.group.Go(fl.feed.notifyReaders)
		}
		fl.feed.checkReady()
		fl.watchChanges(ctx, backoff)
	}
}

// watchChanges applies changes until the store no longer has the history or ctx
// ends.
func (fl *follower) watchChanges(ctx context.Context, backoff *retryBackoff) {
	for ctx.Err() == nil {
		up := fl.upstream()
		changes, err := fl.watch(ctx, up)
		if ctx.Err() == nil && errors.Is(err, errWatchRestarted) {
			continue
		}
		if qherr.Is(err, qherr.Conflict) {
			fl.feed.Log.Info("store history compacted, listing again", zap.String("what", fl.name), zap.Uint64("revision", uint64(fl.revision)))
			fl.feed.restartWatches(fl)
			return
		}
		if err != nil {
			fl.recordFailure(ctx, up, err, backoff)
			continue
		}
		backoff.reset()
		fl.recordResponse(up)
		fl.cache.add(changes)
		fl.revision = max(fl.revision, changes.Revision)
		if len(changes.Objects) > 0 {
			fl.applyAndMeasure(changes.Objects, false)
			rest := time.Duration(fl.rest.Load())
			fl.restEnd.Store(time.Now().Add(rest).UnixNano())
			qhgroup.Sleep(ctx, rest)
		}
	}
}

// applyAndMeasure applies objects and sets the rest by how long that took.
func (fl *follower) applyAndMeasure(objects []qhplatform.Object, isListing bool) {
	start := time.Now()
	fl.apply(objects, isListing)
	elapsed := time.Since(start)
	if fl.watchesStore.Load() {
		elapsed += time.Duration(fl.listingTime.Load())
	}
	rest := min(restFactor*elapsed, time.Duration(maxRestShare*float64(fl.feed.ConvergenceLimit)))
	fl.rest.Store(int64(max(rest, fl.watchInterval)))
}

// expectedArrival returns the time within which this node should have received a
// change that other nodes already have.
func (fl *follower) expectedArrival() time.Duration {
	remaining := max(0, time.Duration(fl.restEnd.Load()-time.Now().UnixNano()))
	return remaining + configWatchInterval + time.Duration(arrivalFactor*float64(fl.listingTime.Load()))
}

// errWatchRestarted is the cause with which a watch that may have missed a change
// is cancelled.
var errWatchRestarted = errors.New("watch may have missed a change; it is restarted") //nolint:gochecknoglobals // a sentinel error

// watch waits for changes for a random time around the wait of the upstream, or
// until it is restarted. It is not restarted once the response has begun to arrive.
func (fl *follower) watch(ctx context.Context, up upstream) (qhplatform.Changes, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var responding atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { responding.Store(true) }})
	stop := make(chan struct{})
	defer close(stop)
	fl.feed.group.Go(func(context.Context) {
		select {
		case <-fl.restartWatch:
			if !responding.Load() {
				cancel(errWatchRestarted)
			}
		case <-stop:
		}
	})
	changes, err := up.follow(ctx, fl.revision, up.wait/2+rand.N(up.wait))
	if err != nil && errors.Is(context.Cause(ctx), errWatchRestarted) {
		return qhplatform.Changes{}, errWatchRestarted
	}
	return changes, err
}

func configWatchWait(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*watchWaitPerNode, minWatchWait), maxWatchWait)
}

func nodesWatchWait(nodes int) time.Duration { return min(2*configWatchWait(nodes), maxWatchWait) }

// recordResponse records a successful call.
func (fl *follower) recordResponse(up upstream) {
	fl.lastResponse.Store(time.Now().UnixNano())
	fl.watchesStore.Store(up.reader.Node == "")
	if fl.failing.Swap(false) {
		fl.feed.Log.Info("store reachable again", zap.String("what", fl.name), zap.String("reader", string(up.reader.Node)))
	}
}

// recordFailure records a failed call. A reader that failed is skipped for a while;
// the store is called again after the backoff.
func (fl *follower) recordFailure(ctx context.Context, up upstream, err error, backoff *retryBackoff) {
	if ctx.Err() != nil {
		return
	}
	if up.reader.Node != "" {
		fl.feed.skipReader(up.reader.Node, fl.name, err)
		return
	}
	if !fl.failing.Swap(true) {
		fl.watchesStore.Store(false)
		fl.cache.notify() // ends the waiting watches of followers, which then choose another reader
		fl.feed.Log.Warn("store unreachable", zap.String("what", fl.name), zap.Error(err))
	}
	backoff.wait(ctx)
}
