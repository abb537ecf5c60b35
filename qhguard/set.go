package qhguard

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"quetzalhaven.dev/qhconn"
	"quetzalhaven.dev/qhid"
)

// Set has the guards of the targets of the node's VM. Get takes no lock.
type Set struct {
	// mu is held by writers.
	mu sync.Mutex
	// drain is how long a target that leaves takes what waits; 0 for no bound.
	drain  time.Duration
	guards atomic.Pointer[map[qhid.Target]*Guard]
}

// NewSet returns an empty set and its clean-up, which closes the connections.
func NewSet() (*Set, func()) {
	set := &Set{}
	set.guards.Store(&map[qhid.Target]*Guard{})
	return set, set.close
}

// SetDrainTimeout bounds how long a target that leaves takes what waits for it. It is
// called before the first Put.
func (s *Set) SetDrainTimeout(bound time.Duration) { s.drain = bound }

// Get returns the guard of a target, or nil.
func (s *Set) Get(id qhid.Target) *Guard { return (*s.guards.Load())[id] }

// List returns all guards, ordered by the target's id.
func (s *Set) List() []*Guard {
	guards := *s.guards.Load()
	ids := slices.Sorted(maps.Keys(guards))
	list := make([]*Guard, len(ids))
	for i, id := range ids {
		list[i] = guards[id]
	}
	return list
}

// Put adds a target or takes its newer announcement. A target that moved to
// another address or service gets a new guard.
func (s *Set) Put(a Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Get(a.ID)
	if old != nil && sameTarget(old.Announcement(), a) {
		old.update(a)
		return
	}
	conns := qhconn.NewPool(a.Address, defaultConnections)
	guard := newGuard(a, conns)
	guard.drain = s.drain
	guard.update(a)
	next := maps.Clone(*s.guards.Load())
	next[a.ID] = guard
	s.guards.Store(&next)
	if old != nil {
		old.retire()
	}
}

// Remove takes a target out. What it has in flight goes on.
func (s *Set) Remove(id qhid.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Get(id)
	if old == nil {
		return
	}
	next := maps.Clone(*s.guards.Load())
	delete(next, id)
	s.guards.Store(&next)
	old.retire()
}

// RegisterMetrics adds gauges of all targets together to the metrics.
func (s *Set) RegisterMetrics(set *metrics.Set) {
	set.NewGauge("qh_target_calls_running", func() float64 { return float64(s.total().Running) })
	set.NewGauge("qh_target_calls_queued", func() float64 { return float64(s.total().Queued) })
	set.NewGauge("qh_target_slots", func() float64 { return float64(s.total().Slots) })
}

// total adds up the loads of all targets.
func (s *Set) total() Load {
	var total Load
	for _, guard := range s.List() {
		load := guard.Load()
		total.Running += load.Running
		total.Queued += load.Queued
		total.Slots += load.Slots
	}
	return total
}

// Stop makes every target refuse new calls.
func (s *Set) Stop() {
	for _, guard := range s.List() {
		guard.stop()
	}
}

func (s *Set) close() {
	for _, guard := range s.List() {
		guard.stop()
		guard.conns.Close()
	}
}

// retire stops the guard and lets go of its idle connections.
func (g *Guard) retire() {
	g.stop()
	g.conns.Retire()
}

func sameTarget(a, b Announcement) bool {
	return strings.EqualFold(string(a.Address), string(b.Address)) && a.Service == b.Service
}
