package qhserve

import (
	"time"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhsetting"
	"quetzalhaven.dev/qhspread"
	"quetzalhaven.dev/qhstatus"
)

// dumpDecisions is how many recent decisions a dump has.
const dumpDecisions = 50

// Dump is the whole state of a node. Lists are in a stable order.
type Dump struct {
	Node    qhid.Node       `json:"node"`
	Zone    qhid.Zone       `json:"zone"`
	Build   string          `json:"build"`
	Started time.Time       `json:"started"`
	State   qhmember.State  `json:"state"`
	Ready   string          `json:"ready"`
	Held    Held            `json:"held"`
	Spread  qhspread.State  `json:"spread"`
	Members []ZoneMembers   `json:"members"`
	Targets []GuardedTarget `json:"targets"`
	// Endpoints are those that this node has called.
	Endpoints []SeenEndpoint        `json:"endpoints"`
	Decisions []qhdecision.Decision `json:"decisions"`
	Settings  qhsetting.Node        `json:"settings"`
}

// Held tells which version the node holds, and which it keeps out.
type Held struct {
	Version  qhid.Version       `json:"version"`
	Digest   qhid.Digest        `json:"digest,omitempty"`
	Services int                `json:"services"`
	Routes   int                `json:"routes"`
	Refusals []qhstatus.Refusal `json:"refusals,omitempty"`
}

// ZoneMembers counts the nodes of an availability zone by state.
type ZoneMembers struct {
	Zone    qhid.Zone `json:"zone"`
	Up      int       `json:"up"`
	Leaving int       `json:"leaving"`
	Down    int       `json:"down"`
	Targets int       `json:"targets"`
}

// GuardedTarget is a target of this VM.
type GuardedTarget struct {
	qhguard.Announcement
	Load qhguard.Load `json:"load"`
	// Open counts the connections to the target.
	Open int       `json:"open"`
	Seen time.Time `json:"seen"`
}

// SeenEndpoint is an endpoint as it was announced and as this node saw it.
type SeenEndpoint struct {
	Target   qhid.Target    `json:"target"`
	Service  qhid.Service   `json:"service"`
	Node     qhid.Node      `json:"node"`
	Zone     qhid.Zone      `json:"zone"`
	State    qhmember.State `json:"state"`
	Lost     bool           `json:"lost,omitempty"`
	Running  int64          `json:"running"`
	Calls    int64          `json:"calls"`
	Refusals int64          `json:"refusals"`
	Errors   int64          `json:"errors"`
	Failures int64          `json:"failures"`
	Latency  string         `json:"latency"`
	// Ejected is when the ejection ends; absent for none.
	Ejected *time.Time `json:"ejected,omitempty"`
}

// Dump returns the node's state at this moment.
func (n *Node) Dump() Dump {
	view := n.members.View()
	dump := Dump{
		Node:      n.Settings.ID,
		Zone:      n.Settings.Zone,
		Build:     n.Build,
		Started:   n.started,
		State:     qhmember.Up,
		Ready:     "yes",
		Held:      n.held(),
		Spread:    n.source.state(),
		Members:   zoneMembers(view),
		Targets:   n.guarded(),
		Endpoints: seen(view),
		Decisions: append([]qhdecision.Decision{}, n.ring.Recent(dumpDecisions)...),
		Settings:  n.Settings,
	}
	if n.isLeaving() {
		dump.State = qhmember.Leaving
	}
	if err := n.Ready(); err != nil {
		dump.Ready = err.Error()
	}
	return dump
}

func (n *Node) held() Held {
	held := Held{Refusals: n.holder.Refusals()}
	if snapshot := n.holder.Current(); snapshot != nil {
		held.Version = snapshot.Version
		held.Digest = snapshot.Digest
		held.Services = len(snapshot.Config.Services)
		held.Routes = len(snapshot.Config.Routes)
	}
	return held
}

// guarded returns the targets of this VM, ordered by id.
func (n *Node) guarded() []GuardedTarget {
	list := []GuardedTarget{}
	for _, target := range n.targets.List() {
		guard := n.guards.Get(target.ID)
		if guard == nil {
			continue
		}
		list = append(list, GuardedTarget{
			Announcement: guard.Announcement(),
			Load:         guard.Load(),
			Open:         guard.Conns().OpenConns(),
			Seen:         target.LastSeen,
		})
	}
	return list
}

// zoneMembers counts the entries of a view, ordered by zone as they come.
func zoneMembers(view *qhmember.View) []ZoneMembers {
	zones := newOrdered[qhid.Zone, ZoneMembers]()
	for i := range view.Entries {
		entry := &view.Entries[i]
		zone := zones.get(entry.Zone)
		zone.Zone = entry.Zone
		zone.Targets += len(entry.Targets)
		switch entry.State {
		case qhmember.Leaving:
			zone.Leaving++
		case qhmember.Down:
			zone.Down++
		default:
			zone.Up++
		}
	}
	return zones.list()
}

// seen returns the endpoints that were called, ordered by service and target.
func seen(view *qhmember.View) []SeenEndpoint {
	services := newOrdered[qhid.Service, []*qhmember.Endpoint]()
	for service, endpoints := range view.Services {
		*services.get(service) = endpoints
	}
	list := []SeenEndpoint{}
	for _, endpoints := range services.list() {
		for _, endpoint := range endpoints {
			if endpoint.Stats.Calls.Load() > 0 || endpoint.Stats.Refusals.Load() > 0 {
				list = append(list, seenOf(endpoint))
			}
		}
	}
	return list
}

func seenOf(endpoint *qhmember.Endpoint) SeenEndpoint {
	observed := endpoint.Stats
	one := SeenEndpoint{
		Target:   endpoint.ID,
		Service:  endpoint.Service,
		Node:     endpoint.Node,
		Zone:     endpoint.Zone,
		State:    endpoint.State,
		Lost:     endpoint.NodeDown,
		Running:  observed.InFlight.Load(),
		Calls:    observed.Calls.Load(),
		Refusals: observed.Refusals.Load(),
		Errors:   observed.Errors.Load(),
		Failures: observed.ConsecutiveFailures.Load(),
		Latency:  time.Duration(observed.Latency.Load()).String(),
	}
	if until := observed.EjectedUntil.Load(); until > time.Now().UnixNano() {
		at := time.Unix(0, until)
		one.Ejected = &at
	}
	return one
}
