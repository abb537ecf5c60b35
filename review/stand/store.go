package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that an answer of the store takes.
const storeDelay = 4 * time.Millisecond

// object is an object of the store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers,omitempty"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
	kind     string
	revision uint64
}

// store is a stand-in for the platform's store.
type store struct {
	world   *world
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []event
	changed  chan struct{}
}

func newStore(w *world, ip string) *store {
	listener, err := net.Listen("tcp", ip+":0")
	must(err)
	s := &store{world: w, address: listener.Addr().String(), revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/objects/", s.serve)
	go func() { _ = http.Serve(listener, mux) }()
	return s
}

// put writes an object as the operator does, and records it. The answer of the store is
// the confirmation, from whose moment bounds are counted.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	s.write(kind, name, func(o *object) { o.Spec = data })
	s.mu.Unlock()
	confirmed := time.Now()
	s.world.record("operator: %s/%s is %s", kind, name, data)
	return confirmed
}

// write changes an object, or creates it. The lock is held.
func (s *store) write(kind, name string, change func(*object)) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.revision++
	o := s.objects[kind][name]
	next := object{}
	if o != nil {
		next = *o
	} else {
		next.Metadata.Created = s.revision
	}
	next.Metadata.Name, next.Metadata.Revision = name, s.revision
	change(&next)
	s.objects[kind][name] = &next
	s.notify(event{Object: next, kind: kind, revision: s.revision})
	return &next
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.serveWatch(w, r, kind, name)
	case r.Method == http.MethodGet:
		s.serveRead(w, r, kind, name)
	default:
		s.serveWrite(w, r, kind, name, len(parts) == 3 && parts[2] == "status")
	}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o := s.objects[kind][name]
		if o == nil {
			answer(w, http.StatusNotFound, nil)
			return
		}
		answer(w, http.StatusOK, o)
		return
	}
	after, names := r.URL.Query().Get("after"), []string{}
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	items := []*object{}
	for _, n := range names[:min(len(names), 500)] {
		items = append(items, s.objects[kind][n])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(names) > 500, "atRev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind, name string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.revision > from && e.kind == kind && (name == "" || e.Object.Metadata.Name == name) {
				found = append(found, e)
			}
		}
		changed, at := s.changed, s.revision
		s.mu.Unlock()
		if len(found) > 0 || timedOut {
			answer(w, http.StatusOK, map[string]any{"events": found, "atRev": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var sent object
	_ = json.NewDecoder(r.Body).Decode(&sent)
	condition := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known != nil, condition != 0 && known != nil && known.Metadata.Revision != condition:
		answer(w, http.StatusConflict, known)
	case r.Method != http.MethodPost && known == nil:
		answer(w, http.StatusNotFound, nil)
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		s.notify(event{Object: *known, Deleted: true, kind: kind, revision: s.revision})
		answer(w, http.StatusOK, known)
	case isStatus:
		answer(w, http.StatusOK, s.write(kind, name, func(o *object) { o.Status = sent.Status }))
	default:
		answer(w, http.StatusOK, s.write(kind, name, func(o *object) { o.Spec, o.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers }))
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if value != nil {
		_ = json.NewEncoder(w).Encode(value)
	}
}
