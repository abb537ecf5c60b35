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

// Set holds the guards of all targets on the node's VM. It is safe for concurrent
// use; Get takes no lock.
type Set struct {
	// mu serializes writers.
	mu sync.Mutex
	// drainTimeout bounds how long calls stay queued at a leaving target; 0
	// means no bound.
	drainTimeout time.Duration
	guards       atomic.Pointer[map[qhid.Target]*Guard]
}

// NewSet returns an empty set and a cleanup function, which closes all
// connections to targets.
func NewSet() (*Set, func()) {
	set := &Set{}
	set.guards.Store(&map[qhid.Target]*Guard{})
	return set, set.close
}

// SetDrainTimeout bounds how long calls stay queued at a leaving target; 0
// means no bound. It must be called before the first Put.
func (s *Set) SetDrainTimeout(timeout time.Duration) { s.drainTimeout = timeout }

// Get returns the guard of a target, or nil if there is none.
func (s *Set) Get(id qhid.Target) *Guard { return (*s.guards.Load())[id] }

// List returns all guards, ordered by target ID.
func (s *Set) List() []*Guard {
	guards := *s.guards.Load()
	ids := slices.Sorted(maps.Keys(guards))
	list := make([]*Guard, len(ids))
	for i, id := range ids {
		list[i] = guards[id]
	}
	return list
}

// Put adds a target or applies its new announcement. A target whose address or
// service changed gets a new guard.
func (s *Set) Put(info TargetInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Get(info.ID)
	if old != nil && sameTarget(old.Info(), info) {
		old.update(info)
		return
	}
	conns := qhconn.NewPool(info.Address, defaultConnections)
	guard := newGuard(info, conns)
	guard.drainTimeout = s.drainTimeout
	guard.update(info)
	next := maps.Clone(*s.guards.Load())
	next[info.ID] = guard
	s.guards.Store(&next)
	if old != nil {
		old.shutDown()
	}
}

// Remove removes a target. Calls that are in flight continue.
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
	old.shutDown()
}

// RegisterMetrics registers gauges of the running calls, the queued calls and
// the slots of all targets together.
func (s *Set) RegisterMetrics(set *metrics.Set) {
	set.NewGauge("qh_target_calls_running", func() float64 { return float64(s.totalLoad().Running) })
	set.NewGauge("qh_target_calls_queued", func() float64 { return float64(s.totalLoad().Queued) })
	set.NewGauge("qh_target_slots", func() float64 { return float64(s.totalLoad().Slots) })
}

// totalLoad returns the sum of the loads of all targets.
func (s *Set) totalLoad() Load {
	var total Load
	for _, guard := range s.List() {
		load := guard.Load()
		total.Running += load.Running
		total.Queued += load.Queued
		total.Slots += load.Slots
	}
	return total
}

// EndCallsBy makes the guards refuse queued calls that would not end by the given time.
func (s *Set) EndCallsBy(by time.Time) {
	for _, guard := range s.List() {
		guard.endCallsBy(by)
	}
}

// Stop makes all guards refuse new calls.
func (s *Set) Stop() {
	for _, guard := range s.List() {
		guard.stop()
	}
}

// close stops all guards and closes all connections.
func (s *Set) close() {
	for _, guard := range s.List() {
		guard.stop()
		guard.conns.Close()
	}
}

// shutDown stops the guard, closes its idle connections, and closes the others
// once their calls are done.
func (g *Guard) shutDown() {
	g.stop()
	g.conns.Drain()
}

// sameTarget reports whether a and b have the same address and service.
func sameTarget(a, b TargetInfo) bool {
	return strings.EqualFold(string(a.Address), string(b.Address)) && a.Service == b.Service
}
