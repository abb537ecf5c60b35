package qhfeed

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhwire"
)

const (
	// watchPath is the HTTP path on which a reader serves the watches of its
	// clients.
	watchPath = "/follow"
	// readerListTimeout bounds a listing from a reader.
	readerListTimeout = time.Second
	// maxServedWait bounds the wait time that a client may request.
	maxServedWait = 30 * time.Second
	// minPackSize is the size from which a value is packed.
	minPackSize qhid.Bytes = 2 << 10
	// maxRequestSize bounds the size of a watch request or version notice.
	maxRequestSize qhid.Bytes = 4 << 10
	// maxMessageSize bounds a message that Answer answers. It may have an entry for each
	// tenant of a configuration.
	maxMessageSize qhid.Bytes = 1 << 20
)

// watchSource is the source of a watcher's objects: the store or a reader.
type watchSource struct {
	// reader is the reader's entry; its node id is empty for the store.
	reader qhmember.Entry
	// maxWait is how long the source holds a watch at most.
	maxWait time.Duration
	// askedAt is when the source was asked, on the clock of Feed.Proof, and held how long
	// it was asked to hold the watch.
	askedAt qhclock.Instant
	held    time.Duration
	// report is what the reader told of itself with its last response; nil for the store.
	report *readerReport
	// list and watch read and watch the watcher's prefix at the source.
	list  func(ctx context.Context) (qhplatform.Listing, error)
	watch func(ctx context.Context, after position, wait time.Duration) (qhplatform.Changes, error)
}

func (s watchSource) isStore() bool { return s.reader.Node == "" }

// age returns how old the source's knowledge was when it responded.
func (s watchSource) age() time.Duration {
	if s.isStore() {
		return 0
	}
	return s.report.age
}

// readerReport is what a reader tells of itself with a response.
type readerReport struct {
	// proofAge is the age of its proof that its configuration is the newest; -1 if it
	// has none.
	proofAge time.Duration
	// age is the staleness of what it knows.
	age time.Duration
}

// nextSource returns the source to use for the next call. Before the first listing
// it is the store.
func (w *watcher) nextSource() watchSource {
	feed := w.feed
	if !w.listed.Load() || !feed.hasReaders() || w.isStale(ownCallShare) && w.readerTried && !w.failing.Load() {
		return w.storeSource()
	}
	reader, ok := feed.chooseReader()
	if w.isConfig && (!ok || w.isStale(farReaderShare)) {
		if far, found := feed.chooseFarReader(); found {
			return w.readerSource(far)
		}
	}
	if !ok {
		return w.storeSource()
	}
	return w.readerSource(reader)
}

func (w *watcher) readerSource(reader qhmember.Entry) watchSource {
	report := &readerReport{proofAge: -1}
	return watchSource{
		reader:  reader,
		report:  report,
		maxWait: cmp.Or(w.readerWait, w.feed.limitShare(readerWaitShare)),
		list:    func(ctx context.Context) (qhplatform.Listing, error) { return w.listViaReader(ctx, reader, report) },
		watch: func(ctx context.Context, after position, wait time.Duration) (qhplatform.Changes, error) {
			return w.watchViaReader(ctx, reader, after, wait, report)
		},
	}
}

func (w *watcher) storeSource() watchSource {
	return watchSource{
		maxWait: w.maxWait(totalReaders(w.feed.Members.View().Entries)),
		list:    func(ctx context.Context) (qhplatform.Listing, error) { return w.feed.Store.ListAt(ctx, w.prefix) },
		watch: func(ctx context.Context, after position, wait time.Duration) (qhplatform.Changes, error) {
			return w.feed.Store.WatchPrefix(ctx, w.prefix, after.revision, wait)
		},
	}
}

// watchRequest asks a reader for the objects under a prefix.
type watchRequest struct {
	Prefix qhplatform.Key `json:"p"`
	// After is the revision after which changes are requested; 0 requests all
	// objects.
	After qhplatform.Revision `json:"a,omitempty"`
	// Era is the era of the client's revisions; 0 if it knows none.
	Era qhplatform.Era `json:"e,omitempty"`
	// KnownRevision is the highest revision among the objects that the client has.
	KnownRevision qhplatform.Revision `json:"h,omitempty"`
	// Wait is how long to wait for a change, in nanoseconds.
	Wait time.Duration `json:"w,omitempty"`
}

// watchResponse is the response to a watchRequest.
type watchResponse struct {
	Revision qhplatform.Revision `json:"at"`
	// Era is the era of Revision; 0 if the store does not tell it.
	Era     qhplatform.Era `json:"e,omitempty"`
	Objects []servedObject `json:"o,omitempty"`
	// ProofAge is the age of the reader's proof that its configuration is the newest,
	// in nanoseconds; nil if it has none.
	ProofAge *time.Duration `json:"g,omitempty"`
	// Age is the staleness of what the reader knows, in nanoseconds.
	Age time.Duration `json:"t,omitempty"`
}

// applyTo sets what the reader told of itself.
func (r watchResponse) applyTo(report *readerReport) {
	report.age = r.Age
	if r.ProofAge != nil {
		report.proofAge = *r.ProofAge
	}
}

// servedObject is an object as a reader sends it to a client.
type servedObject struct {
	qhplatform.Object
	// Packed replaces Value if the value is large.
	Packed qhwire.Packed `json:"p,omitempty"`
	// BaseRevision is the revision of the value from which Packed is a difference;
	// 0 if it is packed by itself.
	BaseRevision qhplatform.Revision `json:"d,omitempty"`
}

// serveWatch handles a watch or a listing of a client of this node.
func (f *Feed) serveWatch(w http.ResponseWriter, r *http.Request) {
	request, ok := readRequest[watchRequest](w, r, maxRequestSize)
	if !ok {
		return
	}
	found := f.watcherByPrefix(request.Prefix)
	if found == nil {
		http.Error(w, "this node does not watch that prefix", http.StatusNotFound)
		return
	}
	response, status := found.waitForChanges(r.Context(), request)
	if status != http.StatusOK {
		http.Error(w, "watch through another reader or at the store", status)
		return
	}
	writeResponse(w, response)
}

func (f *Feed) watcherByPrefix(prefix qhplatform.Key) *watcher {
	for _, w := range f.watchers() {
		if w.prefix == prefix {
			return w
		}
	}
	return nil
}

// waitForChanges waits for changes after the requested revision, or for the knowledge that
// there are none, and returns the response with its status. Only a node that watches the store itself serves
// watches, so that nodes never watch each other in a cycle.
func (w *watcher) waitForChanges(ctx context.Context, request watchRequest) (watchResponse, int) {
	timer := time.NewTimer(min(request.Wait, maxServedWait, w.servesFor()))
	defer timer.Stop()
	after, knownAt := position{era: request.Era, revision: request.After}, w.knownAt.Load()
	for timedOut := false; ; {
		// Both are read before the objects that they cover.
		proofAge, age := w.servedProofAge(), w.staleness()
		isNews := w.isConfig && w.knownAt.Load() > knownAt
		changes, at, changed, ok := w.cache.since(after)
		switch {
		case !w.canServeWatches() || after.compareEra(at.era) == precedes:
			return watchResponse{}, http.StatusServiceUnavailable
		case !ok:
			return watchResponse{}, http.StatusConflict
		case len(changes) > 0 || isNews || timedOut || request.After == 0:
			response, status := w.encodeObjects(changes, at, request.KnownRevision)
			response.ProofAge, response.Age = proofAge, age
			return response, status
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return watchResponse{}, http.StatusServiceUnavailable
		}
	}
}

// servedProofAge returns the age of this node's proof for a client; nil if there is none
// or none is needed.
func (w *watcher) servedProofAge() *time.Duration {
	age, ok := w.feed.Proof.Age()
	if !w.isConfig || !ok || !w.feed.Proof.IsNeeded() {
		return nil
	}
	return &age
}

// encodeObjects encodes objects for a client whose newest object has knownRevision.
func (w *watcher) encodeObjects(changes []*cachedObject, at position, knownRevision qhplatform.Revision) (watchResponse, int) {
	response := watchResponse{Revision: at.revision, Era: at.era}
	for _, object := range changes {
		encoded := servedObject{Object: object.Object}
		if qhid.Bytes(len(object.Value)) >= minPackSize {
			packed, base, err := w.cache.packedFor(object, knownRevision)
			if err != nil {
				w.feed.Log.Error("cannot pack object for client", zap.Error(err))
				return watchResponse{}, http.StatusInternalServerError
			}
			encoded.Value, encoded.Packed, encoded.BaseRevision = nil, packed, base
		}
		response.Objects = append(response.Objects, encoded)
	}
	return response, http.StatusOK
}

// listViaReader lists the objects at a reader.
func (w *watcher) listViaReader(ctx context.Context, reader qhmember.Entry, report *readerReport) (qhplatform.Listing, error) {
	response, err := w.requestFromReader(ctx, reader, watchRequest{Prefix: w.prefix, Era: w.position.era}, readerListTimeout)
	if err != nil {
		return qhplatform.Listing{}, err
	}
	response.applyTo(report)
	objects, err := w.decodeObjects(response.Objects)
	return qhplatform.Listing{Objects: objects, Revision: response.Revision, Era: response.Era}, err
}

// watchViaReader waits for changes at a reader.
func (w *watcher) watchViaReader(ctx context.Context, reader qhmember.Entry, after position, wait time.Duration, report *readerReport) (qhplatform.Changes, error) {
	timeout := wait + w.feed.limitShare(readerGraceShare)
	response, err := w.requestFromReader(ctx, reader, watchRequest{Prefix: w.prefix, After: after.revision, Era: after.era, KnownRevision: w.cache.newestRevision(), Wait: wait}, timeout)
	if err != nil {
		return qhplatform.Changes{}, err
	}
	response.applyTo(report)
	objects, err := w.decodeObjects(response.Objects)
	return qhplatform.Changes{Objects: objects, Revision: response.Revision, Era: response.Era}, err
}

// decodeObjects returns the objects with their values unpacked.
func (w *watcher) decodeObjects(list []servedObject) ([]qhplatform.Object, error) {
	objects := make([]qhplatform.Object, 0, len(list))
	for _, served := range list {
		if len(served.Packed) > 0 {
			var base []byte
			if served.BaseRevision != 0 {
				cached, ok := w.cache.get(served.Key, served.BaseRevision)
				if !ok {
					return nil, qherr.New(qherr.Unavailable, nil, "the node retries with another reader or the store", "the base value of revision %d is no longer cached", served.BaseRevision)
				}
				base = cached.Value
			}
			value, err := qhwire.UnpackDelta(served.Packed, base)
			if err != nil {
				return nil, err
			}
			served.Value = value
		}
		objects = append(objects, served.Object)
	}
	return objects, nil
}

// requestFromReader sends a request to a reader. The error is of kind Conflict if
// the reader no longer has the history.
func (w *watcher) requestFromReader(ctx context.Context, reader qhmember.Entry, request watchRequest, timeout time.Duration) (watchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return post[watchResponse](ctx, w.feed.PeerClient, reader.PeerAddress, watchPath, request)
}
