package qhmember

import (
	"maps"
	"slices"
	"strings"
	"time"

	"quetzalhaven.dev/qhid"
)

// View returns what is known at this moment. It takes no lock.
func (t *Table) View() *View { return t.view.Load() }

// SetViewInterval sets the shortest time between two views, see Options. The caller then
// calls Refresh now and then.
func (t *Table) SetViewInterval(pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pause = pause
}

// Refresh shows what was merged since the last view. In a paced table it leaves
// that to the next call where views would take more than a small part of the time.
func (t *Table) Refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.now().Sub(t.shown) >= t.rest() {
		t.show()
	}
}

// restFactor is how much longer a paced table rests than its last view took.
const restFactor = 20

func (t *Table) rest() time.Duration {
	if t.pause == 0 {
		return 0
	}
	return restFactor * t.took
}

// showSoon makes a view now or leaves it to Refresh.
func (t *Table) showSoon() {
	if t.now().Sub(t.shown) >= max(t.pause, t.rest()) {
		t.show()
	}
}

// show replaces the view by one with all that is stale. What has not changed
// is shared between the two views.
func (t *Table) show() {
	if len(t.stale) == 0 {
		return
	}
	began := t.now()
	old := t.view.Load()
	view := &View{Services: maps.Clone(old.Services), Entries: t.list(old.Entries)}
	for service, nodes := range t.touched() {
		endpoints := t.endpoints(service, old.Services[service], nodes)
		if len(endpoints) == 0 {
			delete(view.Services, service)
			continue
		}
		view.Services[service] = endpoints
	}
	clear(t.stale)
	t.shown = t.now()
	t.took = t.shown.Sub(began)
	t.view.Store(view)
}

// touched returns the stale nodes of each service that they have or had.
func (t *Table) touched() map[qhid.Service]map[qhid.Node]bool {
	services := make(map[qhid.Service]map[qhid.Node]bool)
	for node, before := range t.stale {
		for _, target := range slices.Concat(before.Targets, t.entries[node].Targets) {
			if services[target.Service] == nil {
				services[target.Service] = make(map[qhid.Node]bool)
			}
			services[target.Service][node] = true
		}
	}
	return services
}

// endpoints returns the endpoints of a service with those of the given nodes
// made anew, ordered by target.
func (t *Table) endpoints(service qhid.Service, old []*Endpoint, nodes map[qhid.Node]bool) []*Endpoint {
	endpoints := make([]*Endpoint, 0, len(old)+len(nodes))
	seen := make(map[qhid.Target]*Endpoint)
	for _, endpoint := range old {
		if nodes[endpoint.Node] {
			seen[endpoint.ID] = endpoint
			continue
		}
		endpoints = append(endpoints, endpoint)
	}
	for node := range nodes {
		entry := t.entries[node]
		for _, target := range entry.Targets {
			if target.Service == service {
				endpoints = append(endpoints, t.endpoint(entry, target, seen[target.ID]))
			}
		}
	}
	slices.SortFunc(endpoints, byTarget)
	return endpoints
}

// endpoint returns a new endpoint. What this node has seen of the old one is
// kept while the node that announces it lives the same life.
func (t *Table) endpoint(entry Entry, target Target, old *Endpoint) *Endpoint {
	endpoint := &Endpoint{
		Target:      target,
		Node:        entry.Node,
		Zone:        entry.Zone,
		CallAddress: entry.CallAddress,
		NodeDown:    entry.State == Down,
		Incarnation: entry.Incarnation,
	}
	if entry.State == Leaving {
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

// list returns the entries of a view with all that is stale replaced, in one
// pass over the old ones.
func (t *Table) list(old []Entry) []Entry {
	fresh := make([]Entry, 0, len(t.stale))
	for node := range t.stale {
		if entry, ok := t.entries[node]; ok {
			fresh = append(fresh, entry)
			continue
		}
		old = slices.DeleteFunc(slices.Clone(old), func(entry Entry) bool { return entry.Node == node })
	}
	slices.SortFunc(fresh, byNode)
	entries := make([]Entry, 0, len(t.entries))
	for _, entry := range fresh {
		at, found := slices.BinarySearchFunc(old, entry, byNode)
		entries = append(entries, old[:at]...)
		entries = append(entries, entry)
		if found {
			at++
		}
		old = old[at:]
	}
	return append(entries, old...)
}

func byNode(a, b Entry) int { return strings.Compare(string(a.Node), string(b.Node)) }

func byTarget(a, b *Endpoint) int {
	if order := strings.Compare(string(a.ID), string(b.ID)); order != 0 {
		return order
	}
	return strings.Compare(string(a.Node), string(b.Node))
}
