package qhmember

import (
	"maps"
	"slices"
	"strings"
	"time"

	"quetzalhaven.dev/qhid"
)

// View returns the current view. It takes no lock.
func (t *Table) View() *View { return t.view.Load() }

// SetViewInterval sets the minimum age of the view at which Merge replaces it, see
// Options. The caller has to call Refresh regularly from then on.
func (t *Table) SetViewInterval(interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.viewInterval = interval
}

// Refresh makes merged entries visible. With a view interval it leaves that to a
// later call if the last view was built too recently, see viewPauseFactor. It returns
// after how long that call is due, 0 if no entry waits for it.
func (t *Table) Refresh() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait := t.minViewPause() - t.now().Sub(t.viewBuilt); wait > 0 && len(t.pending) > 0 {
		return wait
	}
	t.rebuild()
	return 0
}

// viewPauseFactor is the minimum pause between two views, as a multiple of the time
// that building the last one took. It applies if there is a view interval, and keeps
// the share of time that is spent on building views below 1/21.
const viewPauseFactor = 20

func (t *Table) minViewPause() time.Duration {
	if t.viewInterval == 0 {
		return 0
	}
	return viewPauseFactor * t.viewCost
}

// rebuildIfDue rebuilds the view, or leaves that to Refresh if the last one is too
// recent.
func (t *Table) rebuildIfDue() {
	if t.now().Sub(t.viewBuilt) >= max(t.viewInterval, t.minViewPause()) {
		t.rebuild()
	}
}

// rebuild replaces the view by one with all pending changes. Services without
// changes are shared between the two views.
func (t *Table) rebuild() {
	if len(t.pending) == 0 {
		return
	}
	start := t.now()
	old := t.view.Load()
	view := &View{Services: maps.Clone(old.Services), Entries: t.updatedEntries(old.Entries)}
	for service, nodes := range t.changedNodes() {
		endpoints := t.buildEndpoints(service, old.Services[service], nodes)
		if len(endpoints) == 0 {
			delete(view.Services, service)
			continue
		}
		view.Services[service] = endpoints
	}
	clear(t.pending)
	t.viewBuilt = t.now()
	t.viewCost = t.viewBuilt.Sub(start)
	t.view.Store(view)
}

// changedNodes returns the pending nodes of each service that they have or had
// targets of.
func (t *Table) changedNodes() map[qhid.Service]map[qhid.Node]bool {
	services := make(map[qhid.Service]map[qhid.Node]bool)
	for node, before := range t.pending {
		for _, target := range slices.Concat(before.Targets, t.entries[node].Targets) {
			if services[target.Service] == nil {
				services[target.Service] = make(map[qhid.Node]bool)
			}
			services[target.Service][node] = true
		}
	}
	return services
}

// buildEndpoints returns the endpoints of a service, ordered by target, with those
// of the given nodes rebuilt.
func (t *Table) buildEndpoints(service qhid.Service, old []*Endpoint, nodes map[qhid.Node]bool) []*Endpoint {
	endpoints := make([]*Endpoint, 0, len(old)+len(nodes))
	previous := make(map[qhid.Target]*Endpoint)
	for _, endpoint := range old {
		if nodes[endpoint.Node] {
			previous[endpoint.ID] = endpoint
			continue
		}
		endpoints = append(endpoints, endpoint)
	}
	for node := range nodes {
		entry := t.entries[node]
		for _, target := range entry.Targets {
			if target.Service == service {
				endpoints = append(endpoints, t.buildEndpoint(entry, target, previous[target.ID]))
			}
		}
	}
	slices.SortFunc(endpoints, compareByTarget)
	return endpoints
}

// buildEndpoint returns a new endpoint. The stats of the old one are kept if its
// node has the same incarnation.
func (t *Table) buildEndpoint(entry Entry, target AnnouncedTarget, old *Endpoint) *Endpoint {
	endpoint := &Endpoint{
		AnnouncedTarget: target,
		Node:            entry.Node,
		Zone:            entry.Zone,
		CallAddress:     entry.CallAddress,
		NodeDown:        entry.State == Down,
		Incarnation:     entry.Incarnation,
	}
	if entry.State == Leaving || t.isLeaving(target) {
		endpoint.State = Leaving
	}
	if old != nil && old.Node == entry.Node && old.Incarnation == entry.Incarnation {
		endpoint.Stats = old.Stats
		return endpoint
	}
	endpoint.Stats = &EndpointStats{}
	endpoint.Stats.FirstSeen.Store(t.now().UnixNano())
	return endpoint
}

// updatedEntries returns the entries of a view with the pending changes applied, in
// one pass over the old ones.
func (t *Table) updatedEntries(old []Entry) []Entry {
	changed := make([]Entry, 0, len(t.pending))
	for node := range t.pending {
		if entry, ok := t.entries[node]; ok {
			changed = append(changed, entry)
			continue
		}
		old = slices.DeleteFunc(slices.Clone(old), func(entry Entry) bool { return entry.Node == node })
	}
	slices.SortFunc(changed, compareByNode)
	entries := make([]Entry, 0, len(t.entries))
	for _, entry := range changed {
		index, found := slices.BinarySearchFunc(old, entry, compareByNode)
		entries = append(entries, old[:index]...)
		entries = append(entries, entry)
		if found {
			index++
		}
		old = old[index:]
	}
	return append(entries, old...)
}

func compareByNode(a, b Entry) int { return strings.Compare(string(a.Node), string(b.Node)) }

func compareByTarget(a, b *Endpoint) int {
	if order := strings.Compare(string(a.ID), string(b.ID)); order != 0 {
		return order
	}
	return strings.Compare(string(a.Node), string(b.Node))
}
