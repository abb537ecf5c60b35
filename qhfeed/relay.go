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
	// followPath is the HTTP path on which a reader answers the nodes that watch
	// through it.
	followPath = "/follow"
	// relayWaitShare is the mean time that a reader holds a watch, and
	// relayGraceShare is how much longer its response may take, both as a share of
	// the convergence limit. If two readers in turn do not respond, there is still
	// time to ask the store.
	relayWaitShare  = 0.15
	relayGraceShare = 0.15
	// relayListTimeout bounds a listing from a reader.
	relayListTimeout = time.Second
	// maxRelayWait bounds the wait time that a follower may request.
	maxRelayWait = 30 * time.Second
	// minPackSize is the size from which values are packed.
	minPackSize qhid.Bytes = 2 << 10
	// maxRequestSize bounds the size of a request of a follower.
	maxRequestSize qhid.Bytes = 4 << 10
)

// upstream is the source of a follower's objects: the store or a reader.
type upstream struct {
	// reader is the reader's entry; its node id is empty for the store.
	reader qhmember.Entry
	// wait is the mean time that the source holds a watch.
	wait   time.Duration
	list   func(ctx context.Context) (qhplatform.Listing, error)
	follow func(ctx context.Context, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error)
}

// upstream returns the source to use for the next call.
func (fl *follower) upstream() upstream {
	f := fl.feed
	if reader, ok := f.chooseReader(); ok && fl.listed.Load() {
		return upstream{
			reader: reader,
			wait:   time.Duration(relayWaitShare * float64(f.ConvergenceLimit)),
			list:   func(ctx context.Context) (qhplatform.Listing, error) { return fl.listViaReader(ctx, reader) },
			follow: func(ctx context.Context, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
				return fl.followViaReader(ctx, reader, after, wait)
			},
		}
	}
	return upstream{
		wait: fl.watchWait(totalReaders(f.Members.View().Entries)),
		list: func(ctx context.Context) (qhplatform.Listing, error) { return f.Store.ListAt(ctx, fl.prefix) },
		follow: func(ctx context.Context, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
			return f.Store.WatchPrefix(ctx, fl.prefix, after, wait)
		},
	}
}

// followRequest asks a reader for the objects under a prefix.
type followRequest struct {
	Prefix qhplatform.Key `json:"p"`
	// After is the revision after which changes are requested; 0 requests all
	// objects.
	After qhplatform.Revision `json:"a,omitempty"`
	// KnownRevision is the highest revision among the objects that the follower
	// has.
	KnownRevision qhplatform.Revision `json:"h,omitempty"`
	// Wait is how long to wait for a change, in nanoseconds.
	Wait time.Duration `json:"w,omitempty"`
}

// followResponse is the response to a followRequest.
type followResponse struct {
	Revision qhplatform.Revision `json:"at"`
	Objects  []relayedObject     `json:"o,omitempty"`
}

// relayedObject is an object as a reader sends it.
type relayedObject struct {
	qhplatform.Object
	// Packed replaces Value if the value is large.
	Packed qhwire.Packed `json:"p,omitempty"`
	// BaseRevision is the revision of the value from which Packed is a difference;
	// 0 if it is packed by itself.
	BaseRevision qhplatform.Revision `json:"d,omitempty"`
}

// serveFollow answers a node that watches through this one.
func (f *Feed) serveFollow(w http.ResponseWriter, r *http.Request) {
	request, ok := readRequest[followRequest](w, r, maxRequestSize)
	if !ok {
		return
	}
	fl := f.followerByPrefix(request.Prefix)
	if fl == nil {
		http.Error(w, "this node does not watch that prefix", http.StatusNotFound)
		return
	}
	response, status := fl.waitForChanges(r.Context(), request)
	if status != http.StatusOK {
		http.Error(w, "ask another node or the store", status)
		return
	}
	writeResponse(w, response)
}

func (f *Feed) followerByPrefix(prefix qhplatform.Key) *follower {
	for _, fl := range []*follower{f.config, f.nodes} {
		if fl.prefix == prefix {
			return fl
		}
	}
	return nil
}

// waitForChanges waits for changes after the requested revision and returns the
// response with its status. Only a node that watches the store itself answers, so
// that nodes never watch each other in a circle.
func (fl *follower) waitForChanges(ctx context.Context, request followRequest) (followResponse, int) {
	timer := time.NewTimer(min(request.Wait, maxRelayWait))
	defer timer.Stop()
	for timedOut := false; ; {
		changes, revision, changed, ok := fl.cache.since(request.After)
		switch {
		case !fl.canRelay():
			return followResponse{}, http.StatusServiceUnavailable
		case !ok:
			return followResponse{}, http.StatusConflict
		case len(changes) > 0 || timedOut || request.After == 0:
			return fl.encodeObjects(changes, revision, request.KnownRevision)
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return followResponse{}, http.StatusServiceUnavailable
		}
	}
}

// encodeObjects encodes objects for a node that has the state of knownRevision.
func (fl *follower) encodeObjects(changes []*cachedObject, revision, knownRevision qhplatform.Revision) (followResponse, int) {
	response := followResponse{Revision: revision}
	for _, object := range changes {
		encoded := relayedObject{Object: object.Object}
		if qhid.Bytes(len(object.Value)) >= minPackSize {
			packed, base, err := fl.cache.packedFor(object, knownRevision)
			if err != nil {
				fl.feed.Log.Error("cannot pack object for follower", zap.Error(err))
				return followResponse{}, http.StatusInternalServerError
			}
			encoded.Value, encoded.Packed, encoded.BaseRevision = nil, packed, base
		}
		response.Objects = append(response.Objects, encoded)
	}
	return response, http.StatusOK
}

// listViaReader lists the objects that a reader has.
func (fl *follower) listViaReader(ctx context.Context, reader qhmember.Entry) (qhplatform.Listing, error) {
	response, err := fl.requestFromReader(ctx, reader, followRequest{Prefix: fl.prefix}, relayListTimeout)
	if err != nil {
		return qhplatform.Listing{}, err
	}
	objects, err := fl.decodeObjects(response.Objects)
	return qhplatform.Listing{Objects: objects, Revision: response.Revision}, err
}

// followViaReader waits for changes that a reader receives.
func (fl *follower) followViaReader(ctx context.Context, reader qhmember.Entry, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
	timeout := wait + time.Duration(relayGraceShare*float64(fl.feed.ConvergenceLimit))
	response, err := fl.requestFromReader(ctx, reader, followRequest{Prefix: fl.prefix, After: after, KnownRevision: fl.cache.newestRevision(), Wait: wait}, timeout)
	if err != nil {
		return qhplatform.Changes{}, err
	}
	objects, err := fl.decodeObjects(response.Objects)
	return qhplatform.Changes{Objects: objects, Revision: response.Revision}, err
}

// decodeObjects returns the objects with their values unpacked.
func (fl *follower) decodeObjects(list []relayedObject) ([]qhplatform.Object, error) {
	objects := make([]qhplatform.Object, 0, len(list))
	for _, relayed := range list {
		if len(relayed.Packed) > 0 {
			var base []byte
			if relayed.BaseRevision != 0 {
				cached, ok := fl.cache.get(relayed.Key, relayed.BaseRevision)
				if !ok {
					return nil, qherr.New(qherr.Unavailable, nil, "the node retries with another reader or the store", "value of revision %d is no longer cached", relayed.BaseRevision)
				}
				base = cached.Value
			}
			value, err := qhwire.UnpackDelta(relayed.Packed, base)
			if err != nil {
				return nil, err
			}
			relayed.Value = value
		}
		objects = append(objects, relayed.Object)
	}
	return objects, nil
}

// requestFromReader sends a request to a reader. The error is of kind Conflict if
// the reader no longer has the history.
func (fl *follower) requestFromReader(ctx context.Context, reader qhmember.Entry, request followRequest, timeout time.Duration) (followResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return post[followResponse](ctx, fl.feed.client, reader.PeerAddress, followPath, request)
}
