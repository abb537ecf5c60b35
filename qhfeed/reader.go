package qhfeed

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

const (
	// minReaders is the least number of readers of an availability zone, as long
	// as enough nodes have a fast link. Readers watch the store, and the other
	// nodes watch through them.
	minReaders = 2
	// nodesPerReader bounds the number of a zone's nodes per reader, the readers
	// included, as long as enough nodes have a fast link.
	nodesPerReader = 16
	// minLinkSpeedShare is the minimum link speed of a reader, as a share of the
	// fastest link of its zone. The store sends each change in full, which a slow
	// link delays.
	minLinkSpeedShare = 0.5
	// readerSkipTime is how long a reader that failed is skipped.
	readerSkipTime = 3 * time.Second
)

// readersInZone returns the nodes of an availability zone that watch the store
// themselves: those with the fastest links. All nodes compute the same order.
func readersInZone(entries []qhmember.Entry, zone qhid.Zone) []qhmember.Entry {
	var up []qhmember.Entry
	for _, entry := range entries {
		if entry.Zone == zone && entry.State == qhmember.Up {
			up = append(up, entry)
		}
	}
	slices.SortFunc(up, func(a, b qhmember.Entry) int {
		return cmp.Or(cmp.Compare(b.LinkSpeed, a.LinkSpeed), cmp.Compare(a.Node, b.Node))
	})
	count := min(len(up), readerCount(len(up)))
	for count > 1 && float64(up[count-1].LinkSpeed) < minLinkSpeedShare*float64(up[0].LinkSpeed) {
		count--
	}
	return up[:count]
}

func readerCount(nodes int) int {
	return max(minReaders, (nodes+nodesPerReader-1)/nodesPerReader)
}

// totalReaders returns the number of nodes that watch the store.
func totalReaders(entries []qhmember.Entry) int {
	total := 0
	for _, zone := range distinctZones(entries) {
		total += len(readersInZone(entries, zone))
	}
	return total
}

func distinctZones(entries []qhmember.Entry) []qhid.Zone {
	var zones []qhid.Zone
	for _, entry := range entries {
		if !slices.Contains(zones, entry.Zone) {
			zones = append(zones, entry.Zone)
		}
	}
	return zones
}

// readerRank orders the readers for a client, the lowest first. It hashes both node ids,
// which spreads the clients over the readers, so that the failure of one reader does not
// delay a whole zone.
func readerRank(client, reader qhid.Node) uint64 {
	return xxhash.Sum64String(string(client) + "/" + string(reader))
}

// chooseReader returns the reader of this node's availability zone to watch through, or
// false if this node watches the store itself or all of them are skipped.
func (f *Feed) chooseReader() (qhmember.Entry, bool) {
	self := f.Members.Self()
	var chosen qhmember.Entry
	var lowestRank uint64
	for _, reader := range readersInZone(f.Members.View().Entries, self.Zone) {
		if reader.Node == self.Node {
			return qhmember.Entry{}, false
		}
		if f.isSkipped(reader.Node) {
			continue
		}
		if rank := readerRank(self.Node, reader.Node); chosen.Node == "" || rank < lowestRank {
			chosen, lowestRank = reader, rank
		}
	}
	return chosen, chosen.Node != ""
}

// readerSkip says how long a failed reader is skipped.
type readerSkip struct {
	until time.Time
	// responded is set if the reader responded that it does not serve watches.
	responded bool
}

// skipReader skips a failed reader for readerSkipTime. If it did not respond, the other
// watches are restarted, so that none continues through it.
func (f *Feed) skipReader(reader qhid.Node, w *watcher, err error) {
	responded := errors.Is(err, errNotServing)
	f.mu.Lock()
	f.skipped[reader] = readerSkip{until: time.Now().Add(readerSkipTime), responded: responded}
	f.mu.Unlock()
	f.Log.Info("skipping failed reader", zap.String("member", string(reader)), zap.String("what", w.name), zap.Duration("for", readerSkipTime),
		zap.Duration("since_response", w.sinceResponse()), zap.Error(err))
	if !responded {
		f.restartWatches(w)
	}
}

// retryReaders ends the skips of readers that responded, which cost little to try. It is
// called when the store has not responded to this node either.
func (f *Feed) retryReaders() {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.skipped, func(_ qhid.Node, skip readerSkip) bool { return skip.responded })
}

// hasReaders reports whether this node watches through readers as long as one is usable.
func (f *Feed) hasReaders() bool {
	self := f.Members.Self()
	readers := readersInZone(f.Members.View().Entries, self.Zone)
	return len(readers) > 0 && !slices.ContainsFunc(readers, func(reader qhmember.Entry) bool { return reader.Node == self.Node })
}

func (f *Feed) isSkipped(reader qhid.Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.skipped[reader].until)
}

const (
	// noticePath is the HTTP path on which a node receives version notices and
	// probes.
	noticePath = "/news"
	// noticeTimeout bounds a notice or a probe.
	noticeTimeout = 500 * time.Millisecond
	// maxComparisons bounds the nodes that a starting node asks for their version
	// until one responds.
	maxComparisons = 3
)

// versionNotice tells a node which version the sender has in force, in which era of
// the store. A reader sends it to the other readers when their watches may have
// missed a version or a restore of the store. Version 0 of era 0 has no effect, so
// that it serves as a probe.
type versionNotice struct {
	Version qhid.Version `json:"v"`
	// Era is the era of the store as far as the sender knows; 0 if it is unknown.
	Era qhplatform.Era `json:"e,omitempty"`
	// Reply requests the receiver's notice as the response.
	Reply bool `json:"r,omitempty"`
}

// knownEra returns the latest era of the store that a watcher or another reader
// knows.
func (f *Feed) knownEra() qhplatform.Era {
	return qhplatform.Era(max(f.config.era.Load(), f.nodes.era.Load(), f.reportedEra.Load()))
}

// reportEra records an era that another reader knows.
func (f *Feed) reportEra(era qhplatform.Era) {
	for last := f.reportedEra.Load(); uint64(era) > last; last = f.reportedEra.Load() {
		if f.reportedEra.CompareAndSwap(last, uint64(era)) {
			return
		}
	}
}

// notifyReaders sends the version in force to the other readers of all zones. It is
// called when a listing and not a watch returned the version, as happens after the
// store compacted its history or was restored: the watches of the others may have
// missed it too.
func (f *Feed) notifyReaders(ctx context.Context) {
	self, entries := f.Members.Self(), f.Members.View().Entries
	for _, zone := range distinctZones(entries) {
		for _, reader := range readersInZone(entries, zone) {
			if reader.Node != self.Node {
				f.group.Go(func(context.Context) { f.notifyReader(ctx, reader) })
			}
		}
	}
}

func (f *Feed) notifyReader(ctx context.Context, reader qhmember.Entry) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	if _, err := post[struct{}](ctx, f.PeerClient, reader.PeerAddress, noticePath, versionNotice{Version: f.Holder.Version(), Era: f.knownEra()}); err != nil {
		f.Log.Info("cannot notify reader of newer version; it will learn the version from calls", zap.String("member", string(reader.Node)), zap.Error(err))
	}
}

// compareWithPeer asks another node, of this node's zone if there is one, for its
// version, and exchanges with it if that is newer than this node's. A store that was
// restored from a copy may have an older version than the nodes that ran before.
func (f *Feed) compareWithPeer(ctx context.Context) {
	for range maxComparisons {
		peer, ok := f.nearPeer()
		if !ok {
			return
		}
		notice, err := f.requestVersion(ctx, peer)
		if err != nil {
			f.Log.Info("cannot compare versions with another node", zap.String("member", string(peer.Node)), zap.Error(err))
			continue
		}
		if held := f.Holder.Version(); notice.Version > held {
			f.Log.Info("configuration version behind another node", zap.String("member", string(peer.Node)), zap.Uint64("version", uint64(notice.Version)), zap.Uint64("held", uint64(held)))
			f.exchange(ctx, peer.PeerAddress)
		}
		return
	}
}

func (f *Feed) requestVersion(ctx context.Context, peer qhmember.Entry) (versionNotice, error) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	return post[versionNotice](ctx, f.PeerClient, peer.PeerAddress, noticePath, versionNotice{Reply: true})
}

// nearPeer returns a random other node that is up, of this node's zone if there is
// one.
func (f *Feed) nearPeer() (qhmember.Entry, bool) {
	self := f.Members.Self()
	var near, far []qhmember.Entry
	for _, entry := range f.Members.View().Entries {
		switch {
		case entry.Node == self.Node || entry.State != qhmember.Up:
		case entry.Zone == self.Zone:
			near = append(near, entry)
		default:
			far = append(far, entry)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return qhmember.Entry{}, false
	}
	return near[rand.IntN(len(near))], true
}

// serveNotice restarts the watches if the sender has a newer version or era.
func (f *Feed) serveNotice(w http.ResponseWriter, r *http.Request) {
	notice, ok := readRequest[versionNotice](w, r, maxRequestSize)
	if !ok {
		return
	}
	if own, era := f.Holder.Version(), f.knownEra(); notice.Version > own || notice.Era > era {
		f.Log.Info("configuration version or era behind another reader", zap.Uint64("version", uint64(notice.Version)), zap.Uint64("held", uint64(own)),
			zap.Uint64("era", uint64(notice.Era)), zap.Uint64("known_era", uint64(era)))
		f.reportEra(notice.Era)
		f.restartWatches(nil)
	}
	if notice.Reply {
		writeResponse(w, versionNotice{Version: f.Holder.Version(), Era: f.knownEra()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
