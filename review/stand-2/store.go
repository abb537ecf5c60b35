package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// object is an object of the store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	revision uint64
	kind     string
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	// away has the machines that the store turns away with 503, and allAway is set while it
	// turns all away.
	away    map[int]bool
	allAway bool
	// era rises each time that the store comes back from a copy.
	era int
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]map[string]object), changed: make(chan struct{}), away: make(map[int]bool), era: 1}
}

// setAway turns a machine away, or serves it again.
func (s *store) setAway(machine int, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[machine] = away
	if away { // ends the watches of that machine
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *store) isAway(machine int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away[machine] || s.allAway
}

// storeCopy is a copy of what the store has.
type storeCopy struct {
	revision uint64
	objects  map[string]map[string]object
	events   []event
}

// copied returns a copy of what the store has.
func (s *store) copied() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := storeCopy{revision: s.revision, objects: make(map[string]map[string]object), events: slices.Clone(s.events)}
	for kind, objects := range s.objects {
		taken.objects[kind] = maps.Clone(objects)
	}
	return taken
}

// setAllAway turns all machines away until restore.
func (s *store) setAllAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allAway = true
	close(s.changed) // ends the watches
	s.changed = make(chan struct{})
}

// restore brings the store back from a copy.
func (s *store) restore(taken storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.objects, s.events = taken.revision, taken.objects, taken.events
	s.allAway = false
	s.era++
}

// serve serves one machine at the address.
func (s *store) serve(machine int, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(machine, w, r) })}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *store) handle(machine int, w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	s.setEra(w)
	if s.isAway(machine) {
		http.Error(w, "turned away", http.StatusServiceUnavailable)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/api/objects/")
	kind, name, _ := strings.Cut(path, "/")
	name, status := strings.CutSuffix(name, "/status")
	switch r.Method {
	case http.MethodGet:
		if r.URL.Query().Has("watch") {
			s.watch(machine, w, r, kind, name)
			return
		}
		s.read(w, r, kind, name)
	default:
		s.write(w, r, kind, name, status)
	}
}

// setEra sets the header with the era.
func (s *store) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
}

func answer(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		found, ok := s.objects[kind][name]
		if !ok {
			answer(w, http.StatusNotFound, map[string]string{"error": "not found"})
			return
		}
		answer(w, http.StatusOK, found)
		return
	}
	items := []object{}
	for _, found := range s.objects[kind] {
		if found.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, found)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "atRev": s.revision})
}

func (s *store) watch(machine int, w http.ResponseWriter, r *http.Request, kind, name string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.revision > from && e.kind == kind && (name == "" || e.Object.Metadata.Name == name) {
				found = append(found, e)
			}
		}
		changed, at, away := s.changed, s.revision, s.away[machine] || s.allAway
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		if away {
			http.Error(w, "turned away", http.StatusServiceUnavailable)
			return
		}
		if from > at { // a revision that the store does not have
			answer(w, http.StatusGone, map[string]string{"error": "gone"})
			return
		}
		if len(found) > 0 || timedOut {
			answer(w, http.StatusOK, map[string]any{"events": found, "atRev": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var sent object
	_ = json.NewDecoder(r.Body).Decode(&sent) // a DELETE has no body
	if query := r.URL.Query().Get("revision"); query != "" {
		sent.Metadata.Revision, _ = strconv.ParseUint(query, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		answer(w, http.StatusConflict, known)
		return
	case r.Method != http.MethodPost && !exists:
		answer(w, http.StatusNotFound, map[string]string{"error": "not found"})
		return
	case exists && sent.Metadata.Revision != 0 && sent.Metadata.Revision != known.Metadata.Revision:
		answer(w, http.StatusConflict, known)
		return
	}
	switch {
	case r.Method == http.MethodDelete:
		s.record(kind, known, true)
		answer(w, http.StatusOK, known)
	case r.Method == http.MethodPost:
		sent.Metadata.Created = s.revision + 1
		answer(w, http.StatusCreated, s.record(kind, sent, false))
	case status:
		known.Status = sent.Status
		answer(w, http.StatusOK, s.record(kind, known, false))
	default:
		known.Spec, known.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		answer(w, http.StatusOK, s.record(kind, known, false))
	}
}

// record changes an object. s.mu must be held.
func (s *store) record(kind string, changed object, deleted bool) object {
	s.revision++
	changed.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][changed.Metadata.Name] = changed
	if deleted {
		delete(s.objects[kind], changed.Metadata.Name)
	}
	s.events = append(s.events, event{revision: s.revision, kind: kind, Object: changed, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return changed
}

// put writes an object as the operator does. It returns when that is confirmed.
func (s *store) put(kind, name, spec string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.objects[kind][name]
	changed.Metadata.Name, changed.Spec = name, json.RawMessage(spec)
	s.record(kind, changed, false)
	return time.Now()
}

// describe lists the names of a kind, for the record.
func (s *store) describe(kind string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return fmt.Sprint(names)
}
