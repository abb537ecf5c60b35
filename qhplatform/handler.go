package qhplatform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quetzalhaven.dev/qherr"
)

// Paths of the object API and of its test controls.
const (
	objectsPath = "/v1/objects"
	faultsPath  = "/v1/faults"
	countsPath  = "/v1/counts"
)

// headerEra is the header of all responses that names the era of the platform.
const headerEra = "Era"

// maxFaultsSize bounds the body that sets the faults, in bytes.
const maxFaultsSize = 4096

// errorBody is the JSON body of an error response.
type errorBody struct {
	Kind    qherr.Kind `json:"kind"`
	Message string     `json:"what"`
	Remedy  string     `json:"remedy,omitempty"`
}

// hasKnownKind reports whether the error has one of the kinds that the object API
// sends.
func (b errorBody) hasKnownKind() bool {
	switch b.Kind {
	case qherr.BadInput, qherr.NotFound, qherr.Conflict, qherr.Unavailable, qherr.Internal:
		return true
	default:
		return false
	}
}

// handler serves a fake platform over HTTP.
type handler struct {
	fake  *Fake
	store Store
}

// NewHandler returns the HTTP handler of the fake platform's object API, with fault
// injection at /v1/faults and the call counts at /v1/counts.
func NewHandler(fake *Fake) http.Handler {
	h := &handler{fake: fake, store: fake.Store()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath, h.list)
	mux.HandleFunc("GET "+objectsPath+"/{key...}", h.get)
	mux.HandleFunc("PUT "+objectsPath+"/{key...}", h.put)
	mux.HandleFunc("DELETE "+objectsPath+"/{key...}", h.delete)
	mux.HandleFunc("GET "+faultsPath, h.faults)
	mux.HandleFunc("PUT "+faultsPath, h.setFaults)
	mux.HandleFunc("GET "+countsPath, h.counts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerEra, strconv.FormatUint(uint64(fake.Era()), 10))
		mux.ServeHTTP(w, r)
	})
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	prefix := Key(r.URL.Query().Get("prefix"))
	if r.URL.Query().Has("watch") {
		h.watchPrefix(w, r, prefix)
		return
	}
	listing, err := h.store.ListAt(r.Context(), prefix)
	if err != nil {
		writeError(w, err)
		return
	}
	if listing.Objects == nil {
		listing.Objects = []Object{}
	}
	if r.URL.Query().Has("at") {
		writeJSON(w, listing)
		return
	}
	writeJSON(w, listing.Objects)
}

func (h *handler) watchPrefix(w http.ResponseWriter, r *http.Request, prefix Key) {
	after, timeout, err := h.watchParams(r)
	if err != nil {
		writeError(w, err)
		return
	}
	changes, err := h.fake.watchPrefix(r.Context(), prefix, after, timeout)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, changes)
}

// watchParams returns the revision after which a watch returns changes, and how
// long it may be held.
func (h *handler) watchParams(r *http.Request) (Revision, time.Duration, error) {
	after, err := parseRevision(r.URL.Query().Get("watch"))
	timeout := h.fake.watchTimeout
	if wait, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil {
		timeout = min(timeout, max(0, wait))
	}
	return after, timeout, err
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	key := Key(r.PathValue("key"))
	if err := key.Check(); err != nil {
		writeError(w, err)
		return
	}
	if r.URL.Query().Has("watch") {
		h.watchObject(w, r, key)
		return
	}
	object, err := h.store.Get(r.Context(), key)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, object)
}

func (h *handler) watchObject(w http.ResponseWriter, r *http.Request, key Key) {
	after, timeout, err := h.watchParams(r)
	if err != nil {
		writeError(w, err)
		return
	}
	object, err := h.fake.watchObject(r.Context(), key, after, timeout)
	if qherr.Is(err, qherr.NotFound) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, object)
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	key := Key(r.PathValue("key"))
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(MaxValueSize)+1))
	if err != nil {
		writeError(w, readBodyError(key, err))
		return
	}
	var revision Revision
	switch {
	case r.Header.Get("If-None-Match") == "*":
		revision, err = h.store.Create(r.Context(), key, value)
	default:
		var expected Revision
		write := h.store.Update
		if r.URL.Query().Get("part") == "status" {
			write = h.store.UpdateStatus
		}
		if expected, err = parseTag(r.Header.Get("If-Match")); err == nil {
			revision, err = write(r.Context(), key, value, expected)
		}
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, Object{Key: key, Revision: revision})
}

// readBodyError returns the error of a body that is too large or that did not
// arrive completely.
func readBodyError(key Key, err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return checkValue(key, make([]byte, tooLarge.Limit))
	}
	return qherr.New(qherr.BadInput, err, "send it again", "the value of %s did not arrive completely", key)
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	key := Key(r.PathValue("key"))
	revision, err := parseTag(r.Header.Get("If-Match"))
	if err == nil {
		err = h.store.Delete(r.Context(), key, revision)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, Object{Key: key})
}

func (h *handler) faults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.fake.Faults()) }

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		writeError(w, qherr.New(qherr.BadInput, err, "send the faults as one JSON object", "the faults cannot be decoded"))
		return
	}
	if err := faults.Check(); err != nil {
		writeError(w, err)
		return
	}
	h.fake.SetFaults(faults)
	writeJSON(w, faults)
}

func (h *handler) counts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.fake.Counts()) }

// parseTag parses the revision of an If-Match header.
func parseTag(tag string) (Revision, error) {
	inner, quoted := strings.CutPrefix(tag, `"`)
	inner, closed := strings.CutSuffix(inner, `"`)
	if !quoted || !closed {
		return 0, qherr.New(qherr.BadInput, nil, `send If-Match: "REVISION" or If-None-Match: *`, "the write has no condition")
	}
	return parseRevision(inner)
}

func parseRevision(text string) (Revision, error) {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, qherr.New(qherr.BadInput, err, "use the revision of the object as it was read", "%q is not a revision", text)
	}
	return Revision(revision), nil
}

func writeJSON[T any](w http.ResponseWriter, value T) {
	body, err := json.Marshal(value)
	if err != nil {
		writeError(w, qherr.New(qherr.Internal, err, "report this as a bug", "the response cannot be encoded"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	body = append(body, '\n')
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the client sees a truncated response
}

// writeError sends an error response. For a lost response it aborts the connection.
func writeError(w http.ResponseWriter, err error) {
	kind := qherr.KindOf(err)
	if kind == qherr.Unknown {
		panic(http.ErrAbortHandler)
	}
	body := errorBody{Kind: kind, Message: err.Error()}
	var typed *qherr.Error
	if errors.As(err, &typed) {
		body.Message, body.Remedy = typed.Message, typed.Remedy
	}
	w.Header().Set("Content-Type", "application/json")
	status := statusOf(kind)
	if errors.As(err, &rateLimitError{}) {
		status = http.StatusTooManyRequests
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func statusOf(kind qherr.Kind) int {
	switch kind {
	case qherr.BadInput:
		return http.StatusBadRequest
	case qherr.NotFound:
		return http.StatusNotFound
	case qherr.Conflict:
		return http.StatusPreconditionFailed
	case qherr.Unavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
