package qhfeed

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	// defaultProbeInterval is the mean time between two probes of the nodes of this
	// node's zone.
	defaultProbeInterval = 5 * time.Second
	// maxMissedProbes is the number of probes in a row after which an unresponsive
	// node is considered down.
	maxMissedProbes = 3
)

// missedProbes counts the probes in a row that one incarnation of a node did not
// answer.
type missedProbes struct {
	incarnation qhid.Incarnation
	count       int
}

// removeDownNodes deletes the store entries of nodes of this node's availability
// zone that are down. Only nodes that watch the store do this. A node that was
// wrongly considered down writes its entry again.
func (f *Feed) removeDownNodes(ctx context.Context) {
	missed := make(map[qhid.Node]missedProbes)
	for qhgroup.Sleep(ctx, f.ProbeInterval/2+rand.N(f.ProbeInterval)) {
		if f.nodes.canServeWatches() {
			f.probeZone(ctx, missed)
		}
	}
}

// probeZone probes every other node of the zone once, and removes those that are
// down. If none responds, this node itself may be cut off, and nothing is counted.
func (f *Feed) probeZone(ctx context.Context, missed map[qhid.Node]missedProbes) {
	self := f.Members.Self()
	responded := false
	var unresponsive []qhmember.Entry
	for _, entry := range f.Members.EntriesInZone(self.Zone) {
		if entry.Node == self.Node {
			continue
		}
		if f.probe(ctx, entry) {
			responded = true
			delete(missed, entry.Node)
			continue
		}
		unresponsive = append(unresponsive, entry)
	}
	if !responded || ctx.Err() != nil {
		return
	}
	for _, entry := range unresponsive {
		misses := missed[entry.Node]
		if misses.incarnation != entry.Incarnation {
			misses = missedProbes{incarnation: entry.Incarnation}
		}
		misses.count++
		missed[entry.Node] = misses
		if misses.count >= maxMissedProbes {
			f.removeDownEntry(ctx, entry, "it did not respond to probes")
			delete(missed, entry.Node)
		}
	}
}

// probe reports whether the node responds. It sends a notice of version 0, to which
// every node responds and which has no effect.
func (f *Feed) probe(ctx context.Context, entry qhmember.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	_, err := post[struct{}](ctx, f.PeerClient, entry.PeerAddress, noticePath, versionNotice{})
	return err == nil
}

// removeDownEntry deletes the entry of a node that is down, unless the entry has
// changed meanwhile.
func (f *Feed) removeDownEntry(ctx context.Context, entry qhmember.Entry, cause string) {
	f.mu.Lock()
	revision := f.entryRevisions[entry.Node]
	f.mu.Unlock()
	if revision == 0 {
		return // the store has no entry of that node
	}
	err := f.Store.Delete(ctx, entryKey(entry.Node), revision)
	if err != nil && !qherr.Is(err, qherr.NotFound) {
		f.Log.Info("cannot delete entry of down node", zap.String("member", string(entry.Node)), zap.Error(err))
		return
	}
	f.Log.Info("entry of down node deleted", zap.String("member", string(entry.Node)), zap.String("cause", cause))
	f.removeMember(entry.Node, cause)
}
