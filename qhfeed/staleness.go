package qhfeed

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhmember"
)

// maxFarReaders is how many readers of other availability zones a node asks before it asks
// the store itself.
const maxFarReaders = 2

// errStale is the cause with which a watch through a reader is cancelled when what the node
// knows gets too old.
var errStale = errors.New("what the node knows is too old; it asks another source") //nolint:gochecknoglobals // a sentinel error

// staleness returns the age of what this node knows: the store had no later changes so long
// ago. Each node bounds it by itself, because a reader that is cut off, suspended or slow
// cannot tell its clients in time.
func (w *watcher) staleness() time.Duration {
	return w.feed.Proof.Now().Since(qhclock.Instant(w.knownAt.Load()))
}

// recordKnowledge records as of when the response of a source tells the state of the store.
// A response that was held up on the way tells it as of the end of the watch at the latest.
func (w *watcher) recordKnowledge(source watchSource) {
	at := min(w.feed.Proof.Now(), source.askedAt.Add(source.held)).Add(-source.age())
	if int64(at) > w.knownAt.Load() {
		w.knownAt.Store(int64(at))
		w.cache.notify() // the clients of this node
	}
}

// isStale reports whether what this node knows is older than a share of the convergence
// limit.
func (w *watcher) isStale(share float64) bool {
	return w.isConfig && w.staleness() >= w.feed.limitShare(share)
}

// untilStale returns when a watch through the reader has to end for another source to be
// asked; 0 if it need not.
func (w *watcher) untilStale(source watchSource) time.Duration {
	if !w.isConfig || source.isStore() {
		return 0
	}
	for _, share := range []float64{farReaderShare, ownCallShare} {
		_, far := w.feed.chooseFarReader()
		if share == farReaderShare && (!far || w.feed.isFar(source.reader)) {
			continue
		}
		if remaining := w.feed.limitShare(share) - w.staleness(); remaining > 0 {
			return remaining
		}
	}
	return 0
}

// chooseFarReader returns the reader of another availability zone to ask, or false if there
// is none that is not skipped.
func (f *Feed) chooseFarReader() (qhmember.Entry, bool) {
	entries, self := f.Members.View().Entries, f.Members.Self()
	var readers []qhmember.Entry
	for _, zone := range distinctZones(entries) {
		if zone != self.Zone {
			readers = append(readers, readersInZone(entries, zone)...)
		}
	}
	slices.SortFunc(readers, func(a, b qhmember.Entry) int {
		return cmp.Compare(readerRank(self.Node, a.Node), readerRank(self.Node, b.Node))
	})
	for _, reader := range readers[:min(len(readers), maxFarReaders)] {
		if !f.isSkipped(reader.Node) {
			return reader, true
		}
	}
	return qhmember.Entry{}, false
}

func (f *Feed) isFar(reader qhmember.Entry) bool { return reader.Zone != f.Members.Self().Zone }
