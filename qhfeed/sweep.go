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
	// defaultSweep is how often a reader looks after the nodes of its zone.
	defaultSweep = 5 * time.Second
	// goneRounds is how many looks in a row a node has to miss to be gone for good.
	goneRounds = 3
)

// missing is how often in a row a life of a node did not answer.
type missing struct {
	incarnation qhid.Incarnation
	rounds      int
}

// sweep removes the entries of nodes of the own availability zone that are gone
// for good. Only nodes that hear from the store do. A node that lives after all
// writes its entry again.
func (f *Feed) sweep(ctx context.Context) {
	missed := make(map[qhid.Node]missing)
	for qhgroup.Sleep(ctx, f.SweepInterval/2+rand.N(f.SweepInterval)) {
		if f.nodes.reads() {
			f.look(ctx, missed)
		}
	}
}

// look asks every node of the zone once. Where none answers, it is this node
// that is cut off.
func (f *Feed) look(ctx context.Context, missed map[qhid.Node]missing) {
	self := f.Members.Self()
	answered := false
	var silent []qhmember.Entry
	for _, entry := range f.Members.Zone(self.Zone) {
		if entry.Node == self.Node {
			continue
		}
		if f.answers(ctx, entry) {
			answered = true
			delete(missed, entry.Node)
			continue
		}
		silent = append(silent, entry)
	}
	if !answered || ctx.Err() != nil {
		return
	}
	for _, entry := range silent {
		last := missed[entry.Node]
		if last.incarnation != entry.Incarnation {
			last = missing{incarnation: entry.Incarnation}
		}
		last.rounds++
		missed[entry.Node] = last
		if last.rounds >= goneRounds {
			f.bury(ctx, entry)
			delete(missed, entry.Node)
		}
	}
}

func (f *Feed) answers(ctx context.Context, entry qhmember.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, newsBound)
	defer cancel()
	_, err := post[struct{}](ctx, f.client, entry.PeerAddress, newsPath, news{})
	return err == nil
}

// bury removes the entry of a node, unless it has changed meanwhile.
func (f *Feed) bury(ctx context.Context, entry qhmember.Entry) {
	f.mu.Lock()
	at := f.revisions[entry.Node]
	f.mu.Unlock()
	if at == 0 {
		return // the store has no entry of it
	}
	err := f.Store.Delete(ctx, keyOf(entry.Node), at)
	if err != nil && !qherr.Is(err, qherr.NotFound) {
		f.Log.Info("entry of a node that is gone not removed", zap.String("member", string(entry.Node)), zap.Error(err))
		return
	}
	f.forget(entry.Node, "it answered none of its zone")
}
