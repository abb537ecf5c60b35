package qhfeed

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhwire"
)

const (
	// followPath is where a node that watches the store answers those that follow
	// it through this one.
	followPath = "/follow"
	// relayWait is how long a reader holds a watch on average, and relayBound how
	// long it may take to answer beyond that, in parts of the time until a
	// configuration is in force everywhere: where one reader went silent and then
	// another, time is left to ask the store.
	relayWait  = 0.15
	relayBound = 0.15
	// listBound bounds a listing of a reader.
	listBound = time.Second
	// maxRelayWait bounds what a reader is asked to hold.
	maxRelayWait = 30 * time.Second
	// packFrom is the size from which values are packed.
	packFrom qhid.Bytes = 2 << 10
	// maxWanted bounds what a follower sends.
	maxWanted qhid.Bytes = 4 << 10
)

// upstream is where a follower hears of objects: the store, or a reader of it.
type upstream struct {
	// reader is the node that is asked; its id is empty for the store.
	reader qhmember.Entry
	// wait is how long a watch is held on average.
	wait   time.Duration
	list   func(ctx context.Context) (qhplatform.Listing, error)
	follow func(ctx context.Context, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error)
}

// upstream returns where the follower hears of its objects now.
func (fo *follower) upstream() upstream {
	f := fo.feed
	if reader, ok := f.reader(); ok && fo.read.Load() {
		return upstream{
			reader: reader,
			wait:   time.Duration(relayWait * float64(f.ConvergenceLimit)),
			list:   func(ctx context.Context) (qhplatform.Listing, error) { return fo.listThrough(ctx, reader) },
			follow: func(ctx context.Context, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
				return fo.followThrough(ctx, reader, after, wait)
			},
		}
	}
	return upstream{
		wait: fo.wait(allReaders(f.Members.View().Entries)),
		list: func(ctx context.Context) (qhplatform.Listing, error) { return f.Store.ListAt(ctx, fo.prefix) },
		follow: func(ctx context.Context, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
			return f.Store.Follow(ctx, fo.prefix, after, wait)
		},
	}
}

// wanted is what a follower asks a reader for.
type wanted struct {
	Prefix qhplatform.Key `json:"p"`
	// After is the revision to go on from; 0 asks for all objects.
	After qhplatform.Revision `json:"a,omitempty"`
	// Has is the newest revision among the objects that the follower has.
	Has qhplatform.Revision `json:"h,omitempty"`
	// Wait is how long to wait for a change, in nanoseconds.
	Wait time.Duration `json:"w,omitempty"`
}

// relayed is the answer to wanted.
type relayed struct {
	At      qhplatform.Revision `json:"at"`
	Objects []passed            `json:"o,omitempty"`
}

// passed is one object.
type passed struct {
	qhplatform.Object
	// Packed stands for a large value.
	Packed qhwire.Packed `json:"p,omitempty"`
	// Against is the revision whose value Packed is the difference from; 0 for none.
	Against qhplatform.Revision `json:"d,omitempty"`
}

// serveFollower answers a node that follows the store through this one.
func (f *Feed) serveFollower(w http.ResponseWriter, r *http.Request) {
	asked, ok := read[wanted](w, r, maxWanted)
	if !ok {
		return
	}
	fo := f.followerOf(asked.Prefix)
	if fo == nil {
		http.Error(w, "nothing is followed under this prefix", http.StatusNotFound)
		return
	}
	answer, status := fo.answer(r.Context(), asked)
	if status != http.StatusOK {
		http.Error(w, "ask another node or the store", status)
		return
	}
	reply(w, answer)
}

func (f *Feed) followerOf(prefix qhplatform.Key) *follower {
	for _, fo := range []*follower{f.config, f.nodes} {
		if fo.prefix == prefix {
			return fo
		}
	}
	return nil
}

// answer waits for a change after what the other node has. Only a node that
// hears of the store itself answers, so that nodes never follow each other round.
func (fo *follower) answer(ctx context.Context, asked wanted) (relayed, int) {
	bound := time.NewTimer(min(asked.Wait, maxRelayWait))
	defer bound.Stop()
	for late := false; ; {
		found, at, changed, known := fo.mirror.since(asked.After)
		switch {
		case !fo.reads():
			return relayed{}, http.StatusServiceUnavailable
		case !known:
			return relayed{}, http.StatusConflict
		case len(found) > 0 || late || asked.After == 0:
			return fo.pass(found, at, asked.Has)
		}
		select {
		case <-changed:
		case <-bound.C:
			late = true
		case <-ctx.Done():
			return relayed{}, http.StatusServiceUnavailable
		}
	}
}

// pass encodes objects for a node that has the state of a revision.
func (fo *follower) pass(found []*kept, at, has qhplatform.Revision) (relayed, int) {
	answer := relayed{At: at}
	for _, object := range found {
		one := passed{Object: object.Object}
		if qhid.Bytes(len(object.Value)) >= packFrom {
			packed, against, err := fo.mirror.packedFor(object, has)
			if err != nil {
				fo.feed.Log.Error("object not packed for another node", zap.Error(err))
				return relayed{}, http.StatusInternalServerError
			}
			one.Value, one.Packed, one.Against = nil, packed, against
		}
		answer.Objects = append(answer.Objects, one)
	}
	return answer, http.StatusOK
}

// listThrough lists the objects that a reader knows.
func (fo *follower) listThrough(ctx context.Context, reader qhmember.Entry) (qhplatform.Listing, error) {
	answer, err := fo.ask(ctx, reader, wanted{Prefix: fo.prefix}, listBound)
	if err != nil {
		return qhplatform.Listing{}, err
	}
	objects, err := fo.unpack(answer.Objects)
	return qhplatform.Listing{Objects: objects, Revision: answer.At}, err
}

// followThrough waits for changes that a reader hears of.
func (fo *follower) followThrough(ctx context.Context, reader qhmember.Entry, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
	bound := wait + time.Duration(relayBound*float64(fo.feed.ConvergenceLimit))
	answer, err := fo.ask(ctx, reader, wanted{Prefix: fo.prefix, After: after, Has: fo.mirror.newest(), Wait: wait}, bound)
	if err != nil {
		return qhplatform.Changes{}, err
	}
	objects, err := fo.unpack(answer.Objects)
	return qhplatform.Changes{Objects: objects, Revision: answer.At}, err
}

// unpack returns objects as the store has them.
func (fo *follower) unpack(list []passed) ([]qhplatform.Object, error) {
	objects := make([]qhplatform.Object, 0, len(list))
	for _, one := range list {
		if len(one.Packed) > 0 {
			var against []byte
			if one.Against != 0 {
				own, ok := fo.mirror.get(one.Key, one.Against)
				if !ok {
					return nil, qherr.New(qherr.Unavailable, nil, "another node or the store is asked", "the value of revision %d is not known any more", one.Against)
				}
				against = own.Value
			}
			value, err := qhwire.UnpackDelta(one.Packed, against)
			if err != nil {
				return nil, err
			}
			one.Value = value
		}
		objects = append(objects, one.Object)
	}
	return objects, nil
}

// ask asks a reader. The error is of kind Conflict where it does not know the
// history any more.
func (fo *follower) ask(ctx context.Context, reader qhmember.Entry, want wanted, bound time.Duration) (relayed, error) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	return post[relayed](ctx, fo.feed.client, reader.PeerAddress, followPath, want)
}
