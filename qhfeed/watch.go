package qhfeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// errWatchRestarted is the cause with which a watch that may have missed a change is
// cancelled, errSilent that of a watch whose response does not come.
var (
	errWatchRestarted = errors.New("watch may have missed a change; it is restarted")                      //nolint:gochecknoglobals // a sentinel error
	errSilent         = errors.New("the store did not respond to a watch; the node uses a new connection") //nolint:gochecknoglobals // a sentinel error
)

// watch waits for changes until the source ends the watch, the watch is restarted, or
// the store does not respond in time. It sets when the source was asked.
func (w *watcher) watch(ctx context.Context, source *watchSource) (qhplatform.Changes, error) {
	if source.isStore() && (w.failing.Load() || w.reconnecting) {
		// A call that is still running after repeatCall has returned uses these copies.
		source.held = resumeWait
		store, from := *source, w.position
		return repeatCall(ctx, w, source, func(ctx context.Context) (qhplatform.Changes, error) {
			return w.watchOnce(ctx, store, from, resumeWait)
		})
	}
	source.askedAt, w.lastCall = w.feed.Proof.Now(), time.Now()
	w.readerTried = w.readerTried || !source.isStore()
	changes, err := w.watchHeld(ctx, source, w.nextWait(*source))
	w.lastBytes.Store(0)
	if err == nil || qherr.Is(err, qherr.Conflict) {
		w.lastCall = time.Time{} // the next call need not wait
	}
	return changes, err
}

// watchOnce waits for changes once, and records by how much the store's response is late.
func (w *watcher) watchOnce(ctx context.Context, source watchSource, from position, wait time.Duration) (qhplatform.Changes, error) {
	start := time.Now()
	changes, err := source.watch(w.withReceipt(ctx, w.maxHistory()), from, wait)
	if elapsed := time.Since(start); err == nil && source.isStore() && elapsed >= wait {
		w.grace.recordLateness(elapsed - wait)
	}
	return changes, err
}

// watchHeld waits for changes while the source holds the watch, and sets how long that was.
// It is not cancelled while the response arrives, unless what this node knows gets too old.
func (w *watcher) watchHeld(ctx context.Context, source *watchSource, wait time.Duration) (qhplatform.Changes, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var respondedAt atomic.Int64 // a qhclock.Instant
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		respondedAt.Store(int64(w.feed.Proof.Now()))
		w.lastBytes.Store(respondedAt.Load())
	}})
	var late, stale <-chan time.Time
	fromStore := source.isStore()
	if fromStore {
		timer := time.NewTimer(wait + w.grace.allowed())
		defer timer.Stop()
		late = timer.C
	}
	if until := w.untilStale(*source); until > 0 {
		timer := time.NewTimer(until)
		defer timer.Stop()
		stale = timer.C
	}
	stop := make(chan struct{})
	defer close(stop)
	w.feed.group.Go(func(context.Context) {
		cause := errSilent
		select {
		case <-w.restartWatch:
			cause = errWatchRestarted
		case <-late:
		case <-stale:
			cancel(errStale)
			return
		case <-stop:
			return
		}
		// The response of a reader is short, and bounded by the timeout of the request.
		if (fromStore || respondedAt.Load() == 0) && w.awaitStall(stop) {
			cancel(cause)
		}
	})
	changes, err := w.watchOnce(ctx, *source, w.position, wait)
	if responded := qhclock.Instant(respondedAt.Load()); responded != 0 {
		source.held = min(wait, responded.Since(source.askedAt))
	}
	for _, cause := range []error{errWatchRestarted, errSilent, errStale} {
		if err != nil && errors.Is(context.Cause(ctx), cause) {
			return qhplatform.Changes{}, cause
		}
	}
	return changes, err
}

// awaitStall waits until no response of the store arrives any more. It returns false if stop
// is closed before.
func (w *watcher) awaitStall(stop <-chan struct{}) bool {
	for arriving := w.untilStalled(); arriving > 0; arriving = w.untilStalled() {
		select {
		case <-time.After(arriving):
		case <-stop:
			return false
		}
	}
	return true
}

// nextWait returns how long the source should hold the next watch: only as long as the
// last response does not get too old, and of the store what this node knows.
func (w *watcher) nextWait(source watchSource) time.Duration {
	shortest := time.Duration(minWaitShare * float64(source.maxWait))
	wait, age := shortest+rand.N(source.maxWait-shortest), w.sinceResponse()
	if source.isStore() || w.isStale(farReaderShare) {
		age = w.staleness()
	}
	return max(resumeWait, min(wait, source.maxWait-age))
}

// withReceipt returns a context whose calls to the store record what they receive, which
// may have maxSize bytes.
func (w *watcher) withReceipt(ctx context.Context, maxSize qhid.Bytes) context.Context {
	return qhplatform.WithReceipt(ctx, qhplatform.Receipt{MaxSize: maxSize, OnBytes: func(bytes int) {
		w.received.Add(int64(bytes))
		w.lastBytes.Store(int64(w.feed.Proof.Now()))
	}})
}

// maxHistory returns the size of a response from which reading the objects themselves is
// faster than reading their changes: the store may send each change with the whole object.
func (w *watcher) maxHistory() qhid.Bytes {
	if w.cache.size() == 0 {
		return 0 // the objects may have any size
	}
	return max(minHistory, qhid.Bytes(maxHistoryRatio*float64(w.cache.size())))
}

// untilStalled returns how long a response that is arriving may pause until it counts as
// one that does not come. It is negative if none is arriving.
func (w *watcher) untilStalled() time.Duration {
	last := qhclock.Instant(w.lastBytes.Load())
	if last == 0 {
		return -1
	}
	return w.grace.allowed() - w.feed.Proof.Now().Since(last)
}
