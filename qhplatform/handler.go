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

// Paths of the object API.
const (
	objectsPath = "/v1/objects"
	faultsPath  = "/v1/faults"
	countsPath  = "/v1/counts"
)

// maxFaults bounds the body that sets the faults, in bytes.
const maxFaults = 4096

// failure is an error as the object API sends it.
type failure struct {
	Kind   qherr.Kind `json:"kind"`
	What   string     `json:"what"`
	Remedy string     `json:"remedy,omitempty"`
}

// known tells whether the error has one of the kinds that the object API sends.
func (f failure) known() bool {
	switch f.Kind {
	case qherr.BadInput, qherr.NotFound, qherr.Conflict, qherr.Unavailable, qherr.Internal:
		return true
	default:
		return false
	}
}

// handler serves a Memory over HTTP.
type handler struct {
	memory *Memory
	store  Store
}

// NewHandler returns the object API over HTTP, with the switches for faults at
// /v1/faults and the counts at /v1/counts.
func NewHandler(memory *Memory) http.Handler {
	h := &handler{memory: memory, store: memory.Store()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath, h.list)
	mux.HandleFunc("GET "+objectsPath+"/{key...}", h.get)
	mux.HandleFunc("PUT "+objectsPath+"/{key...}", h.put)
	mux.HandleFunc("DELETE "+objectsPath+"/{key...}", h.remove)
	mux.HandleFunc("GET "+faultsPath, h.faults)
	mux.HandleFunc("PUT "+faultsPath, h.setFaults)
	mux.HandleFunc("GET "+countsPath, h.counts)
	return mux
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	prefix := Key(r.URL.Query().Get("prefix"))
	if r.URL.Query().Has("watch") {
		h.follow(w, r, prefix)
		return
	}
	listing, err := h.store.ListAt(r.Context(), prefix)
	if err != nil {
		answerError(w, err)
		return
	}
	if listing.Objects == nil {
		listing.Objects = []Object{}
	}
	if r.URL.Query().Has("at") {
		answer(w, listing)
		return
	}
	answer(w, listing.Objects)
}

func (h *handler) follow(w http.ResponseWriter, r *http.Request, prefix Key) {
	after, bound, err := h.wait(r)
	if err != nil {
		answerError(w, err)
		return
	}
	changes, err := h.memory.follow(r.Context(), prefix, after, bound)
	if err != nil {
		answerError(w, err)
		return
	}
	answer(w, changes)
}

// wait returns what a watch goes on from and how long it may be held.
func (h *handler) wait(r *http.Request) (Revision, time.Duration, error) {
	after, err := parseRevision(r.URL.Query().Get("watch"))
	bound := h.memory.watch
	if wait, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil {
		bound = min(bound, max(0, wait))
	}
	return after, bound, err
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	key := Key(r.PathValue("key"))
	if err := key.Check(); err != nil {
		answerError(w, err)
		return
	}
	if r.URL.Query().Has("watch") {
		h.watch(w, r, key)
		return
	}
	object, err := h.store.Get(r.Context(), key)
	if err != nil {
		answerError(w, err)
		return
	}
	answer(w, object)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request, key Key) {
	after, bound, err := h.wait(r)
	if err != nil {
		answerError(w, err)
		return
	}
	object, err := h.memory.wait(r.Context(), key, after, bound)
	if qherr.Is(err, qherr.NotFound) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if err != nil {
		answerError(w, err)
		return
	}
	answer(w, object)
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	key := Key(r.PathValue("key"))
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(MaxValueSize)+1))
	if err != nil {
		answerError(w, bodyError(key, err))
		return
	}
	var revision Revision
	switch {
	case r.Header.Get("If-None-Match") == "*":
		revision, err = h.store.Create(r.Context(), key, value)
	default:
		var at Revision
		if at, err = parseTag(r.Header.Get("If-Match")); err == nil {
			revision, err = h.store.Update(r.Context(), key, value, at)
		}
	}
	if err != nil {
		answerError(w, err)
		return
	}
	answer(w, Object{Key: key, Revision: revision})
}

// bodyError tells a value that is too large from one that did not arrive whole.
func bodyError(key Key, err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return checkValue(key, make([]byte, tooLarge.Limit))
	}
	return qherr.New(qherr.BadInput, err, "send it again", "the value of %s did not arrive whole", key)
}

func (h *handler) remove(w http.ResponseWriter, r *http.Request) {
	key := Key(r.PathValue("key"))
	at, err := parseTag(r.Header.Get("If-Match"))
	if err == nil {
		err = h.store.Delete(r.Context(), key, at)
	}
	if err != nil {
		answerError(w, err)
		return
	}
	answer(w, Object{Key: key})
}

func (h *handler) faults(w http.ResponseWriter, _ *http.Request) { answer(w, h.memory.Faults()) }

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaults))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		answerError(w, qherr.New(qherr.BadInput, err, "send the faults as one JSON object", "the faults cannot be read"))
		return
	}
	if err := faults.Check(); err != nil {
		answerError(w, err)
		return
	}
	h.memory.SetFaults(faults)
	answer(w, faults)
}

func (h *handler) counts(w http.ResponseWriter, _ *http.Request) { answer(w, h.memory.Counts()) }

// parseTag reads the revision of an If-Match header.
func parseTag(tag string) (Revision, error) {
	inner, quoted := strings.CutPrefix(tag, `"`)
	inner, closed := strings.CutSuffix(inner, `"`)
	if !quoted || !closed {
		return 0, qherr.New(qherr.BadInput, nil, `send If-Match: "REVISION" or If-None-Match: *`, "a write without a condition")
	}
	return parseRevision(inner)
}

func parseRevision(text string) (Revision, error) {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, qherr.New(qherr.BadInput, err, "use the revision of the object as it was read", "%q is no revision", text)
	}
	return Revision(revision), nil
}

func answer[T any](w http.ResponseWriter, value T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client sees an answer that broke off
}

// answerError sends err. A lost answer breaks the connection.
func answerError(w http.ResponseWriter, err error) {
	kind := qherr.KindOf(err)
	if kind == qherr.Unknown {
		panic(http.ErrAbortHandler)
	}
	body := failure{Kind: kind, What: err.Error()}
	var typed *qherr.Error
	if errors.As(err, &typed) {
		body.What, body.Remedy = typed.Message, typed.Remedy
	}
	w.Header().Set("Content-Type", "application/json")
	status := statusOf(kind)
	if errors.As(err, &overRate{}) {
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
