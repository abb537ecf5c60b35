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
	// configPause and nodesPause are the shortest times between two watches.
	configPause = 200 * time.Millisecond
	nodesPause  = 400 * time.Millisecond
	// restTimes is how much longer than a change took to fetch and to take the
	// node rests, so that changes in quick succession leave it and its link to calls.
	restTimes = 4
	// restShare bounds that rest, in parts of the time until a configuration is
	// in force everywhere.
	restShare = 0.3
	// arrivalTimes is how many times the time of a listing a change may take.
	arrivalTimes = 1.5
	// staleTimes is after how many times the mean wait of a watch without an answer
	// a node passes nothing on.
	staleTimes = 2
	// perNode spreads the ends of the watches of all nodes: a watch that the store
	// has lost is noticed by some node within about this time.
	perNode = 250 * time.Millisecond
	// minWait and maxWait bound how long a watch is held.
	minWait = 2 * time.Second
	maxWait = 20 * time.Second
	// firstPause and lastPause bound the random pause after a call that failed.
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
)

// follower follows the objects under one prefix.
type follower struct {
	feed   *Feed
	name   string
	prefix qhplatform.Key
	// take is given the objects that are new; whole is set for a listing.
	take func(objects []qhplatform.Object, whole bool)
	// mirror has what was heard, for the nodes that follow through this one.
	mirror *mirror
	// at is the revision that was reached. Only run uses it.
	at qhplatform.Revision
	// read is set once the objects were listed.
	read atomic.Bool
	// failing is set while calls fail.
	failing atomic.Bool
	// direct is set while the store itself is followed.
	direct atomic.Bool
	// answered is when a call was last answered, in Unix nanoseconds.
	answered atomic.Int64
	// wait is how long a watch is held by the store, for so many nodes that watch it.
	wait func(nodes int) time.Duration
	// pause is the shortest time between two watches, in which changes that come
	// in quick succession share one call.
	pause time.Duration
	// fetched is how long the last listing took to come, in nanoseconds.
	fetched atomic.Int64
	// resting is how long the node rests between two watches, in nanoseconds, and
	// rested when the last rest ends, in Unix nanoseconds.
	resting, rested atomic.Int64
	// doubted wakes a watch that may have missed something.
	doubted chan struct{}
}

func (f *Feed) newFollower(name string, prefix qhplatform.Key, take func([]qhplatform.Object, bool)) *follower {
	fo := &follower{feed: f, name: name, prefix: prefix, take: take, mirror: newMirror(), doubted: make(chan struct{}, 1)}
	f.Metrics.NewGauge(`qh_store_followed{what="`+name+`"}`, func() float64 {
		if fo.healthy() {
			return 1
		}
		return 0
	})
	return fo
}

func (fo *follower) healthy() bool { return fo.read.Load() && !fo.failing.Load() }

// reads tells whether the store itself is followed and has answered no longer
// ago than a watch may take.
func (fo *follower) reads() bool {
	longest := staleTimes * fo.wait(allReaders(fo.feed.Members.View().Entries))
	return fo.direct.Load() && time.Since(time.Unix(0, fo.answered.Load())) < longest
}

// run lists and then follows, and lists again where the history is gone.
func (fo *follower) run(ctx context.Context) {
	pause := newPause()
	for ctx.Err() == nil {
		from := fo.upstream()
		start := time.Now()
		listing, err := from.list(ctx)
		if err == nil && listing.Revision < fo.at {
			err = qherr.New(qherr.Unavailable, nil, "another node or the store is asked", "the listing is of revision %d, older than %d", listing.Revision, fo.at)
		}
		if err != nil {
			fo.failed(ctx, from, err, pause)
			continue
		}
		pause.reset()
		fo.fetched.Store(int64(time.Since(start)))
		fo.heard(from)
		fo.mirror.replace(listing)
		fo.at = listing.Revision
		before := fo.feed.Holder.Version()
		fo.handle(listing.Objects, true)
		if fo.read.Swap(true) && fo.direct.Load() && fo.feed.Holder.Version() > before {
			fo.feed.group.Go(fo.feed.tellReaders)
		}
		fo.feed.settle()
		fo.follow(ctx, pause)
	}
}

// follow returns once the history is gone or the context ends.
func (fo *follower) follow(ctx context.Context, pause *pause) {
	for ctx.Err() == nil {
		from := fo.upstream()
		changes, err := fo.watch(ctx, from)
		if ctx.Err() == nil && errors.Is(err, errDoubted) {
			continue
		}
		if qherr.Is(err, qherr.Conflict) {
			fo.feed.Log.Info("store forgot its history", zap.String("what", fo.name), zap.Uint64("revision", uint64(fo.at)))
			fo.feed.doubt(fo)
			return
		}
		if err != nil {
			fo.failed(ctx, from, err, pause)
			continue
		}
		pause.reset()
		fo.heard(from)
		fo.mirror.add(changes)
		fo.at = max(fo.at, changes.Revision)
		if len(changes.Objects) > 0 {
			fo.handle(changes.Objects, false)
			rest := time.Duration(fo.resting.Load())
			fo.rested.Store(time.Now().Add(rest).UnixNano())
			qhgroup.Sleep(ctx, rest)
		}
	}
}

// handle takes objects and sets how long to rest after it.
func (fo *follower) handle(objects []qhplatform.Object, whole bool) {
	start := time.Now()
	fo.take(objects, whole)
	busy := time.Since(start)
	if fo.direct.Load() {
		busy += time.Duration(fo.fetched.Load())
	}
	rest := min(restTimes*busy, time.Duration(restShare*float64(fo.feed.ConvergenceLimit)))
	fo.resting.Store(int64(max(rest, fo.pause)))
}

// due returns in how long a change that others have heard of should be heard here.
func (fo *follower) due() time.Duration {
	resting := max(0, time.Duration(fo.rested.Load()-time.Now().UnixNano()))
	return resting + configPause + time.Duration(arrivalTimes*float64(fo.fetched.Load()))
}

// errDoubted ends a watch that may have missed something.
var errDoubted = errors.New("the watch may have missed a change; watch again") //nolint:gochecknoglobals // a sentinel

// watch waits for changes, for a random time around what the upstream asks for,
// or until it is doubted. An answer that has begun to come is not doubted.
func (fo *follower) watch(ctx context.Context, from upstream) (qhplatform.Changes, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var coming atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { coming.Store(true) }})
	stop := make(chan struct{})
	defer close(stop)
	fo.feed.group.Go(func(context.Context) {
		select {
		case <-fo.doubted:
			if !coming.Load() {
				cancel(errDoubted)
			}
		case <-stop:
		}
	})
	changes, err := from.follow(ctx, fo.at, from.wait/2+rand.N(from.wait))
	if err != nil && errors.Is(context.Cause(ctx), errDoubted) {
		return qhplatform.Changes{}, errDoubted
	}
	return changes, err
}

func configWait(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*perNode, minWait), maxWait)
}

func nodesWait(nodes int) time.Duration { return min(2*configWait(nodes), maxWait) }

// heard notes a call that was answered.
func (fo *follower) heard(from upstream) {
	fo.answered.Store(time.Now().UnixNano())
	fo.direct.Store(from.reader.Node == "")
	if fo.failing.Swap(false) {
		fo.feed.Log.Info("store answers again", zap.String("what", fo.name), zap.String("through", string(from.reader.Node)))
	}
}

// failed notes a call that failed. Where that was another node's, it is passed
// over for a while; the store is called again after a pause.
func (fo *follower) failed(ctx context.Context, from upstream, err error, pause *pause) {
	if ctx.Err() != nil {
		return
	}
	if from.reader.Node != "" {
		fo.feed.passOver(from.reader.Node, fo.name, err)
		return
	}
	if !fo.failing.Swap(true) {
		fo.direct.Store(false)
		fo.mirror.wake() // who waits goes elsewhere
		fo.feed.Log.Warn("store does not answer", zap.String("what", fo.name), zap.Error(err))
	}
	pause.wait(ctx)
}
