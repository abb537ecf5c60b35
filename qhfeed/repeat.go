package qhfeed

import (
	"context"
	"math/rand/v2"
	"time"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qherr"
)

const (
	// callsPerRound is the number of calls of a round to a store that does not respond.
	callsPerRound = 3
	// minRetryShare is the shortest time between two of them, as a share of the longest.
	// The time is random, so that the nodes do not call together.
	minRetryShare = 2.0 / 3
)

// callResult is the result of one of several calls to the store.
type callResult[T any] struct {
	value   T
	err     error
	askedAt qhclock.Instant
}

// repeatCall calls the store until a call succeeds, at most for a round. The next call does
// not wait for the one before, whose connection may be silent, and which may still succeed
// if the store is only slow. While a response arrives, no further call shares the link
// with it, and the round does not end. The error is that of the last call that failed, or
// errSilent.
func repeatCall[T any](ctx context.Context, w *watcher, source *watchSource, call func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult[T])
	next, end := time.NewTimer(w.untilNextCall()), time.NewTimer(w.roundLength())
	defer next.Stop()
	defer end.Stop()
	last := errSilent
	for calls := 0; ; {
		select {
		case <-next.C:
			if arriving := w.untilStalled(); arriving > 0 {
				next.Reset(arriving)
				continue
			}
			if calls > 0 {
				w.startFailing(last)
			}
			calls++
			w.lastCall = time.Now()
			next.Reset(w.untilNextCall())
			w.feed.group.Go(func(context.Context) {
				result := callResult[T]{askedAt: w.feed.Proof.Now()}
				result.value, result.err = call(ctx)
				select {
				case results <- result:
				case <-ctx.Done():
				}
			})
		case result := <-results:
			w.lastBytes.Store(0)
			if result.err == nil || qherr.Is(result.err, qherr.Conflict) {
				w.lastCall = time.Time{}
				source.askedAt = result.askedAt
				return result.value, result.err
			}
			last = result.err
		case <-w.restartWatch: // another node knows more, so that the store probably responds
			next.Reset(min(w.untilNextCall(), time.Until(w.lastCall.Add(w.feed.limitShare(reconnectShare)))))
		case <-end.C:
			if arriving := w.untilStalled(); arriving > 0 {
				end.Reset(arriving)
				continue
			}
			var none T
			return none, last
		case <-ctx.Done():
			var none T
			return none, last
		}
	}
}

// untilNextCall returns how long to wait before the next call to a store that did not
// respond to the last one.
func (w *watcher) untilNextCall() time.Duration {
	shortest := time.Duration(minRetryShare * float64(w.retryInterval))
	return max(0, time.Until(w.lastCall.Add(shortest+rand.N(w.retryInterval-shortest))))
}

// roundLength returns how long to call the store before the sources are chosen anew.
func (w *watcher) roundLength() time.Duration {
	if w.feed.hasReaders() {
		return time.Duration(clientRoundShare / retryShare * float64(w.retryInterval))
	}
	return callsPerRound * w.retryInterval
}

// startFailing records that the store does not respond. Clients of this node then choose
// another source.
func (w *watcher) startFailing(cause error) {
	if w.failing.Swap(true) {
		return
	}
	w.watchesStore.Store(false)
	w.cache.notify()
	w.logUnreachable(cause)
}
