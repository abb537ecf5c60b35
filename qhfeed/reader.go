package qhfeed

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	// zoneReaders is how many nodes of an availability zone with equal links watch
	// the store. The others follow it through them.
	zoneReaders = 4
	// maxFollowers bounds the nodes that follow one reader, on average.
	maxFollowers = 16
	// slowShare is the part of the fastest link of a zone below which a node reads
	// only where no other does: the store sends a change whole.
	slowShare = 0.5
	// passSpan is how long a reader that failed is passed over.
	passSpan = 3 * time.Second
)

// readersOf returns the nodes of an availability zone that watch the store
// themselves: those with the fastest links, in an order that all nodes agree on.
func readersOf(entries []qhmember.Entry, zone qhid.Zone) []qhmember.Entry {
	var up []qhmember.Entry
	for _, entry := range entries {
		if entry.Zone == zone && entry.State == qhmember.Up {
			up = append(up, entry)
		}
	}
	slices.SortFunc(up, func(a, b qhmember.Entry) int {
		return cmp.Or(cmp.Compare(b.LinkSpeed, a.LinkSpeed), cmp.Compare(a.Node, b.Node))
	})
	last := min(len(up), readerCount(len(up)))
	for last > 1 && float64(up[last-1].LinkSpeed) < slowShare*float64(up[0].LinkSpeed) {
		last--
	}
	return up[:last]
}

func readerCount(nodes int) int {
	return max(zoneReaders, (nodes+maxFollowers-1)/maxFollowers)
}

// allReaders returns how many nodes watch the store.
func allReaders(entries []qhmember.Entry) int {
	total := 0
	for _, zone := range zonesOf(entries) {
		total += len(readersOf(entries, zone))
	}
	return total
}

func zonesOf(entries []qhmember.Entry) []qhid.Zone {
	var zones []qhid.Zone
	for _, entry := range entries {
		if !slices.Contains(zones, entry.Zone) {
			zones = append(zones, entry.Zone)
		}
	}
	return zones
}

// reader returns the node to follow the store through, or false where this node
// watches the store itself. Followers are spread over the readers, so that no
// reader's loss holds up a whole zone.
// Where all readers of the zone were passed over, the store is the one to answer
// for certain.
func (f *Feed) reader() (qhmember.Entry, bool) {
	self := f.Members.Self()
	var chosen qhmember.Entry
	var least uint64
	for _, reader := range readersOf(f.Members.View().Entries, self.Zone) {
		if reader.Node == self.Node {
			return qhmember.Entry{}, false
		}
		if f.isPassedOver(reader.Node) {
			continue
		}
		if rank := xxhash.Sum64String(string(self.Node) + "/" + string(reader.Node)); chosen.Node == "" || rank < least {
			chosen, least = reader, rank
		}
	}
	return chosen, chosen.Node != ""
}

// passOver has a reader passed over for a while.
func (f *Feed) passOver(reader qhid.Node, what string, err error) {
	f.mu.Lock()
	f.passed[reader] = time.Now().Add(passSpan)
	f.mu.Unlock()
	f.Log.Info("reader of the store passed over", zap.String("member", string(reader)), zap.String("what", what), zap.Duration("for", passSpan), zap.Error(err))
	f.doubt(nil)
}

func (f *Feed) isPassedOver(reader qhid.Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.passed[reader])
}

const (
	// newsPath is where a reader hears that another one listed a newer version.
	newsPath = "/news"
	// newsBound bounds telling one reader.
	newsBound = 500 * time.Millisecond
)

// news is what a reader tells the others: their watches missed a version.
type news struct {
	Version qhid.Version `json:"v"`
}

// tellReaders tells the other readers of a version that a listing had and no
// watch had told of, as where the store forgot its history.
func (f *Feed) tellReaders(ctx context.Context) {
	self, entries := f.Members.Self(), f.Members.View().Entries
	for _, zone := range zonesOf(entries) {
		for _, reader := range readersOf(entries, zone) {
			if reader.Node != self.Node {
				f.group.Go(func(context.Context) { f.tell(ctx, reader) })
			}
		}
	}
}

func (f *Feed) tell(ctx context.Context, reader qhmember.Entry) {
	ctx, cancel := context.WithTimeout(ctx, newsBound)
	defer cancel()
	if _, err := post[struct{}](ctx, f.client, reader.PeerAddress, newsPath, news{Version: f.Holder.Version()}); err != nil {
		f.Log.Info("reader not told; it hears by its calls", zap.String("member", string(reader.Node)), zap.Error(err))
	}
}

// serveNews doubts the watches where another reader has a newer version.
func (f *Feed) serveNews(w http.ResponseWriter, r *http.Request) {
	told, ok := read[news](w, r, maxWanted)
	if !ok {
		return
	}
	if own := f.Holder.Version(); told.Version > own {
		f.Log.Info("another reader listed a newer version", zap.Uint64("version", uint64(told.Version)), zap.Uint64("held", uint64(own)))
		f.doubt(nil)
	}
	w.WriteHeader(http.StatusNoContent)
}
