package qhfeed

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

const (
	// configWatchInterval and nodesWatchInterval are the minimum times between two
	// watches.
	configWatchInterval = 200 * time.Millisecond
	nodesWatchInterval  = 400 * time.Millisecond
	// pauseFactor is the ratio of the pause after a change to the time that listing
	// and applying the objects took. The pause leaves CPU and network to calls when
	// changes come in quick succession.
	pauseFactor = 4
	// arrivalFactor is the expected time for a change to arrive, as a multiple of
	// the time of a listing.
	arrivalFactor = 1.5
	// provingWait bounds the time that the store holds a watch that has to prove soon
	// that the configuration is the newest.
	provingWait = time.Second
	// nodesWaitPerNode is how long the store holds a watch of the nodes' entries per
	// node that watches it, between minNodesWait and maxNodesWait. The watch of the
	// configuration notices a silent connection or a lost watch sooner, and then
	// restarts the others.
	nodesWaitPerNode = 600 * time.Millisecond
	minNodesWait     = 5 * time.Second
	maxNodesWait     = 24 * time.Second
	// rolloutReaderWait is how long a reader holds a watch of roll-outs. They change
	// rarely, and the other watches notice a failed reader sooner.
	rolloutReaderWait = 5 * time.Second
	// minWaitShare is the shortest time that a source holds a watch, as a share of
	// the longest. The time is random, so that the watches of the nodes do not end
	// together.
	minWaitShare = 2.0 / 3
	// minHistory and maxHistoryRatio, a multiple of the size of the objects, bound the size
	// of a response with changes.
	minHistory      qhid.Bytes = 64 << 10
	maxHistoryRatio            = 1.5
	// resumeWait is how long a source holds a watch that has to tell soon whether the
	// source responds, and whether the store was restored meanwhile.
	resumeWait = 10 * time.Millisecond
)

// batch is a set of objects that a watcher has received.
type batch struct {
	objects []qhplatform.Object
	// revision is the revision of the store up to which the objects are complete.
	revision qhplatform.Revision
	// isListing is set if the objects are all that exist.
	isListing bool
	// restored is set for the first listing after a restore of the store.
	restored bool
}

// watcher keeps this node up to date with the objects under one prefix. It lists
// them and then watches for changes, either at the store or through a reader. On a
// reader it also serves the watches of the reader's clients.
type watcher struct {
	feed   *Feed
	name   string
	prefix qhplatform.Key
	// apply handles received objects.
	apply func(batch batch)
	// cache has the latest known objects, for the clients of this node.
	cache *objectCache
	// position is the position reached so far. Only run uses it.
	position position
	// restored is set from the time that a restore of the store is noticed until
	// the objects have been listed again. Only run uses it.
	restored bool
	// checkedEra is the latest era known to this node at the last listing. Only run
	// uses it.
	checkedEra qhplatform.Era
	// era and revision are those of position, for other goroutines.
	era, revision atomic.Uint64
	// listed is set after the first listing.
	listed atomic.Bool
	// failing is set from a failed call to the store until the next successful
	// call to the store or a reader.
	failing atomic.Bool
	// watchesStore is set while the objects come from the store and not from a
	// reader.
	watchesStore atomic.Bool
	// lastResponse is the qhclock.Instant of the last successful call to the store or a
	// reader. The time for which the VM was suspended counts towards its age.
	lastResponse atomic.Int64
	// received is the number of bytes of the store's responses that have arrived since the
	// last one that was complete.
	received atomic.Int64
	// lastBytes is the qhclock.Instant at which bytes of a response of the store last
	// arrived; 0 if none have since the last call that ended.
	lastBytes atomic.Int64
	// knownAt is the qhclock.Instant up to which the known objects are those of the store.
	knownAt atomic.Int64
	// readerTried is set from the first call to a reader after a response of the store
	// until the next one. Without one, a node on a slow link would read each version from
	// the store once it has read one. Only run uses it.
	readerTried bool
	// gap is the time between the last two responses. Only run uses it.
	gap time.Duration
	// maxWait returns how long the store holds a watch at most, given the number of
	// nodes that watch it.
	maxWait func(nodes int) time.Duration
	// grace is the time by which the store's responses may be late.
	grace *responseGrace
	// reconnecting is set from the time that a connection to the store was silent
	// until the next response. Only run uses it.
	reconnecting bool
	// isConfig is set if the objects are the configuration. Feed.Proof tells its age, and
	// the watcher asks further sources before what it knows gets too old.
	isConfig bool
	// readerWait is how long a reader holds a watch at most; 0 for the default.
	readerWait time.Duration
	// watchInterval is the minimum time between two watches. Changes that come
	// within it share one call.
	watchInterval time.Duration
	// listingTime is the duration of the last listing, in nanoseconds.
	listingTime atomic.Int64
	// pause is how long the watcher pauses after a change, in nanoseconds, and
	// pauseEnd is the qhclock.Instant at which the last pause ends.
	pause, pauseEnd atomic.Int64
	// restartWatch ends the current watch, which may have missed a change.
	restartWatch chan struct{}
	// retryInterval is the longest time between two calls to a store that does not
	// respond.
	retryInterval time.Duration
	// lastCall is when the last call to a store that does not respond began. Only run
	// uses it.
	lastCall time.Time
}

func (f *Feed) newWatcher(name string, prefix qhplatform.Key, apply func(batch)) *watcher {
	w := &watcher{feed: f, name: name, prefix: prefix, apply: apply, cache: newObjectCache(), restartWatch: make(chan struct{}, 1)}
	w.lastResponse.Store(int64(f.Proof.Now()))
	w.knownAt.Store(w.lastResponse.Load())
	w.grace = newResponseGrace(f.limitShare(storeGraceShare), f.limitShare(maxStoreGraceShare))
	w.retryInterval = f.ConvergenceLimit
	f.Metrics.NewGauge(`qh_store_era{what="`+name+`"}`, func() float64 { return float64(w.era.Load()) })
	f.Metrics.NewGauge(`qh_store_revision{what="`+name+`"}`, func() float64 { return float64(w.revision.Load()) })
	f.Metrics.NewGauge(`qh_store_followed{what="`+name+`"}`, func() float64 {
		if w.healthy() {
			return 1
		}
		return 0
	})
	return w
}

func (w *watcher) healthy() bool { return w.listed.Load() && !w.failing.Load() }

// canServeWatches reports whether this node may serve the watches of other nodes.
func (w *watcher) canServeWatches() bool { return w.servesFor() > 0 }

// servesFor returns how long this node may serve the watches of other nodes without
// another response: while it watches the store itself, and as long as a silent connection
// and a response on a new one may take.
func (w *watcher) servesFor() time.Duration {
	if !w.watchesStore.Load() {
		return 0
	}
	longest := w.maxWait(totalReaders(w.feed.Members.View().Entries)) + w.grace.allowed() + w.feed.limitShare(reconnectShare)
	return longest - w.staleness()
}

// sinceResponse returns the age of the last response of the store or a reader.
func (w *watcher) sinceResponse() time.Duration {
	return w.feed.Proof.Now().Since(qhclock.Instant(w.lastResponse.Load()))
}

// run lists the objects and then watches for changes. It lists again whenever the
// store no longer has the history, or was restored from a copy.
func (w *watcher) run(ctx context.Context) {
	for mayHaveMissed := false; ctx.Err() == nil; {
		source := w.nextSource()
		w.checkedEra = w.feed.knownEra()
		start := time.Now()
		listing, err := w.list(ctx, &source)
		if err == nil {
			err = w.checkListing(source, listing)
		}
		if err != nil {
			w.recordFailure(ctx, source, err)
			continue
		}
		w.listingTime.Store(int64(time.Since(start)))
		w.recordResponse(source)
		w.setPosition(w.position.advance(position{era: listing.Era, revision: listing.Revision}))
		w.cache.replace(listing.Objects, w.position, w.restored)
		w.recordKnowledge(source)
		afterRestore := w.restored
		w.restored = false
		before := w.feed.Holder.Version()
		w.applyAndMeasure(source, batch{objects: listing.Objects, revision: listing.Revision, isListing: true, restored: afterRestore})
		if w.listed.Swap(true) && mayHaveMissed && (afterRestore || w.feed.Holder.Version() > before) {
			w.notifyReaders()
		}
		w.confirm(source)
		w.feed.checkReady()
		mayHaveMissed = w.watchChanges(ctx)
	}
}

// list lists the objects at the source, and sets when it was asked.
func (w *watcher) list(ctx context.Context, source *watchSource) (qhplatform.Listing, error) {
	if source.isStore() {
		return repeatCall(ctx, w, source, func(ctx context.Context) (qhplatform.Listing, error) { return source.list(w.withReceipt(ctx, 0)) })
	}
	source.askedAt = w.feed.Proof.Now()
	return source.list(ctx)
}

// checkListing logs a listing and returns an error if it is older than the known
// objects.
func (w *watcher) checkListing(source watchSource, listing qhplatform.Listing) error {
	next := position{era: listing.Era, revision: listing.Revision}
	w.feed.Log.Info("objects listed", zap.String("what", w.name), zap.String("reader", string(source.reader.Node)),
		zap.Uint64("era", uint64(next.era)), zap.Uint64("revision", uint64(next.revision)),
		zap.Uint64("known_era", uint64(w.position.era)), zap.Uint64("known", uint64(w.position.revision)), zap.Int("objects", len(listing.Objects)))
	switch w.position.compareListing(next, source.isStore()) {
	case restored:
		w.recordRestore(next)
	case precedes:
		return w.olderResponseError(next)
	}
	return nil
}

func (w *watcher) olderResponseError(next position) error {
	return qherr.New(qherr.Unavailable, nil, "the node retries with another reader or the store", "the response is from revision %d of era %d, before the known revision %d of era %d",
		next.revision, next.era, w.position.revision, w.position.era)
}

// recordRestore makes the next listing replace all known objects, and restarts the
// other watches, which may miss changes of the new era.
func (w *watcher) recordRestore(next position) {
	w.feed.Log.Warn("store was restored from a copy, listing again", zap.String("what", w.name), zap.Uint64("era", uint64(next.era)),
		zap.Uint64("revision", uint64(next.revision)), zap.Uint64("known_era", uint64(w.position.era)), zap.Uint64("known", uint64(w.position.revision)))
	w.setPosition(position{era: max(w.position.era, next.era)})
	w.restored = true
	w.feed.restartWatches(w)
}

func (w *watcher) setPosition(next position) {
	w.position = next
	w.era.Store(uint64(next.era))
	w.revision.Store(uint64(next.revision))
}

// watchChanges applies changes until the objects have to be listed again or ctx ends. It
// returns whether the watches of other nodes may have missed changes too.
func (w *watcher) watchChanges(ctx context.Context) (mayHaveMissed bool) {
	for ctx.Err() == nil {
		if w.feed.knownEra() > max(w.position.era, w.checkedEra) {
			return true // the store holds a watch from a revision that it has again
		}
		source := w.nextSource()
		changes, err := w.watch(ctx, &source)
		if ctx.Err() == nil && w.continues(err) {
			continue
		}
		if errors.Is(err, qhplatform.ErrTooLong) {
			w.feed.Log.Info("changes are longer than the objects, listing again", zap.String("what", w.name), zap.Uint64("revision", uint64(w.position.revision)), zap.Error(err))
			return false
		}
		if qherr.Is(err, qherr.Conflict) {
			w.feed.Log.Info("store history compacted, listing again", zap.String("what", w.name), zap.Uint64("revision", uint64(w.position.revision)))
			w.feed.restartWatches(w)
			return true
		}
		next := position{era: changes.Era, revision: changes.Revision}
		relation := w.position.compareEra(next.era)
		if err == nil && relation == restored {
			w.recordRestore(next)
			return true
		}
		if err == nil && relation == precedes {
			err = w.olderResponseError(next)
		}
		if err != nil {
			w.recordFailure(ctx, source, err)
			continue
		}
		w.takeChanges(source, changes)
		if len(changes.Objects) > 0 {
			pause := time.Duration(w.pause.Load())
			w.pauseEnd.Store(int64(w.feed.Proof.Now().Add(pause)))
			qhgroup.Sleep(ctx, pause)
		}
	}
	return false
}

// takeChanges records the response of a source and applies its changes.
func (w *watcher) takeChanges(source watchSource, changes qhplatform.Changes) {
	w.recordResponse(source)
	w.setPosition(w.position.advance(position{era: changes.Era, revision: changes.Revision}))
	w.cache.add(changes.Objects, w.position)
	w.recordKnowledge(source)
	if !source.isStore() && w.feed.isFar(source.reader) && w.isStale(farReaderShare) {
		w.feed.skipReader(source.reader.Node, w, errNotServing) // it knows no more than this node
	}
	w.applyChanges(source, changes)
	w.confirm(source)
}

// continues reports whether a watch that ended with err is continued at once: one that
// was restarted, that another source replaces, or whose connection was silent for the
// first time.
func (w *watcher) continues(err error) bool {
	switch {
	case errors.Is(err, errWatchRestarted), errors.Is(err, errStale):
		return true
	case errors.Is(err, errSilent) && !w.reconnecting:
		w.reconnect()
		return true
	default:
		return false
	}
}

// applyChanges applies the changes of a watch, if there are any. Those that came after a
// silent connection may have been missed by other readers too.
func (w *watcher) applyChanges(source watchSource, changes qhplatform.Changes) {
	reconnected := w.reconnecting
	w.reconnecting = false
	if len(changes.Objects) == 0 {
		return
	}
	before := w.feed.Holder.Version()
	w.applyAndMeasure(source, batch{objects: changes.Objects, revision: changes.Revision})
	if reconnected && w.feed.Holder.Version() > before {
		w.notifyReaders()
	}
}

// reconnect continues after a connection to the store was silent. The connections of
// the other watches may be silent too.
func (w *watcher) reconnect() {
	w.reconnecting = true
	w.feed.Log.Warn("connection to the store is silent, continuing on a new one", zap.String("what", w.name), zap.Duration("since_response", w.sinceResponse()), zap.Int64("received", w.received.Load()))
	w.feed.silentConnections.Inc()
	w.feed.restartWatches(w)
}

// notifyReaders notifies the other readers of the version in force if it came from the
// store: the connections of their watches may be silent, or the store lost the watches.
func (w *watcher) notifyReaders() {
	if w.watchesStore.Load() {
		w.feed.group.Go(w.feed.notifyReaders)
	}
}

// confirm records that the configuration in force was the newest when the source was
// asked, less the age of a reader's own proof.
func (w *watcher) confirm(source watchSource) {
	if !w.isConfig || w.feed.unusable.Load() != nil {
		return
	}
	if source.isStore() {
		w.feed.Proof.Confirm(source.askedAt)
	} else if source.report.proofAge >= 0 {
		w.feed.Proof.Confirm(source.askedAt.Add(-source.report.proofAge))
	}
}

// applyAndMeasure applies objects and sets the pause by how long that took.
func (w *watcher) applyAndMeasure(source watchSource, batch batch) {
	start, before := time.Now(), w.feed.Holder.Version()
	w.apply(batch)
	elapsed := time.Since(start)
	if version := w.feed.Holder.Version(); w == w.feed.config && version > before {
		w.feed.recordArrival(string(source.reader.Node), version, len(batch.objects), w.gap, source.age(), elapsed)
	}
	if w.watchesStore.Load() {
		elapsed += time.Duration(w.listingTime.Load())
	}
	pause := min(pauseFactor*elapsed, w.feed.limitShare(maxPauseShare))
	w.pause.Store(int64(max(pause, w.watchInterval)))
}

// expectedArrival returns the time within which this node should have received a
// change that other nodes already have.
func (w *watcher) expectedArrival() time.Duration {
	remaining := max(0, qhclock.Instant(w.pauseEnd.Load()).Since(w.feed.Proof.Now()))
	return remaining + configWatchInterval + time.Duration(arrivalFactor*float64(w.listingTime.Load()))
}

func (f *Feed) configMaxWait(int) time.Duration {
	wait := f.limitShare(storeWaitShare)
	if f.Proof.IsNeeded() {
		wait = min(wait, provingWait) // a watch proves only what was the newest when it began
	}
	return wait
}

func nodesMaxWait(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*nodesWaitPerNode, minNodesWait), maxNodesWait)
}

// recordResponse records a successful call.
func (w *watcher) recordResponse(source watchSource) {
	w.gap = w.sinceResponse()
	w.lastResponse.Store(int64(w.feed.Proof.Now()))
	w.received.Store(0)
	w.lastBytes.Store(0)
	w.watchesStore.Store(source.isStore())
	if source.isStore() {
		w.readerTried = false
	}
	if w.failing.Swap(false) {
		w.feed.Log.Info("watch works again", zap.String("what", w.name), zap.String("reader", string(source.reader.Node)))
	}
}

// recordFailure records that a source failed: the store in a round of calls, or a reader,
// which is then skipped.
func (w *watcher) recordFailure(ctx context.Context, source watchSource, err error) {
	if ctx.Err() != nil {
		return
	}
	if source.isStore() {
		w.startFailing(err)
		w.feed.retryReaders()
		return
	}
	w.feed.skipReader(source.reader.Node, w, err)
}

func (w *watcher) logUnreachable(cause error) {
	w.feed.Log.Warn("store unreachable", zap.String("what", w.name), zap.Duration("since_response", w.sinceResponse()), zap.Int64("received", w.received.Load()), zap.Error(cause))
}
