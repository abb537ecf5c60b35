package qhserve

import (
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhsetting"
	"quetzalhaven.dev/qhshed"
	"quetzalhaven.dev/qhspread"
	"quetzalhaven.dev/qhstatus"
)

// dumpDecisions is the number of recent decisions in a dump.
const dumpDecisions = 50

// Dump is the complete state of a node. Its lists are in a stable order.
type Dump struct {
	Node          qhid.Node      `json:"node"`
	Zone          qhid.Zone      `json:"zone"`
	Build         string         `json:"build"`
	Started       time.Time      `json:"started"`
	State         qhmember.State `json:"state"`
	Ready         string         `json:"ready"`
	ConfigInForce ConfigInForce  `json:"held"`
	Spread        qhspread.State `json:"spread"`
	Members       []ZoneMembers  `json:"members"`
	Targets       []LocalTarget  `json:"targets"`
	// Endpoints has the endpoints that this node has called.
	Endpoints []CalledEndpoint `json:"endpoints"`
	// Overload is what the node knows of its own load; nil if it refuses no calls for
	// that.
	Overload *qhshed.State `json:"overload,omitempty"`
	// Crashes has the requests under which targets ended.
	Crashes   []qhcrash.Verdict     `json:"crashes,omitempty"`
	Decisions []qhdecision.Decision `json:"decisions"`
	Settings  qhsetting.Node        `json:"settings"`
}

// ConfigInForce describes the configuration version in force on a node, and the
// newer versions that the node refused.
type ConfigInForce struct {
	Version  qhid.Version       `json:"version"`
	Digest   qhid.Digest        `json:"digest,omitempty"`
	Services int                `json:"services"`
	Routes   int                `json:"routes"`
	Refusals []qhstatus.Refusal `json:"refusals,omitempty"`
	// Unusable says why the newest configuration of the store could not be applied; empty
	// if it was.
	Unusable string `json:"unusable,omitempty"`
	// Problems are those of the configuration as it was received. Its invalid
	// parts are left out or restricted.
	Problems []qhconfig.Problem `json:"problems,omitempty"`
}

// ZoneMembers counts the nodes of an availability zone by state, and their
// targets.
type ZoneMembers struct {
	Zone    qhid.Zone `json:"zone"`
	Up      int       `json:"up"`
	Leaving int       `json:"leaving"`
	Down    int       `json:"down"`
	Targets int       `json:"targets"`
}

// LocalTarget is a target of this VM.
type LocalTarget struct {
	qhguard.TargetInfo
	Load qhguard.Load `json:"load"`
	// OpenConns is the number of open connections to the target.
	OpenConns int `json:"open"`
	// LastSeen is when the target was last announced.
	LastSeen time.Time `json:"seen"`
}

// CalledEndpoint is an endpoint with its announced state and this node's
// statistics of it.
type CalledEndpoint struct {
	Target  qhid.Target    `json:"target"`
	Service qhid.Service   `json:"service"`
	Node    qhid.Node      `json:"node"`
	Zone    qhid.Zone      `json:"zone"`
	State   qhmember.State `json:"state"`
	// NodeDown is set while the endpoint's node is down.
	NodeDown bool `json:"lost,omitempty"`
	// InFlight counts this node's in-flight calls to the endpoint, and Calls
	// counts all its calls to the endpoint.
	InFlight int64 `json:"running"`
	Calls    int64 `json:"calls"`
	Refusals int64 `json:"refusals"`
	Errors   int64 `json:"errors"`
	// ConsecutiveFailures counts the failures since the last successful
	// response. Too many of them lead to an ejection.
	ConsecutiveFailures int64  `json:"failures"`
	Latency             string `json:"latency"`
	// EjectedUntil is the time until which the endpoint gets no calls, because
	// it was ejected or refused a call as leaving; nil if neither.
	EjectedUntil *time.Time `json:"ejected,omitempty"`
}

// Dump returns the node's current state.
func (n *Node) Dump() Dump {
	view := n.members.View()
	dump := Dump{
		Node:          n.Settings.ID,
		Zone:          n.Settings.Zone,
		Build:         n.Build,
		Started:       n.started,
		State:         qhmember.Up,
		Ready:         "yes",
		ConfigInForce: n.configInForce(),
		Spread:        n.source.state(),
		Members:       zoneMembers(view),
		Targets:       n.localTargets(),
		Endpoints:     calledEndpoints(view),
		Overload:      n.proxy.Overload(),
		Crashes:       n.crashes.Verdicts(),
		Decisions:     append([]qhdecision.Decision{}, n.decisions.Recent(dumpDecisions)...),
		Settings:      n.Settings,
	}
	if n.isLeaving() {
		dump.State = qhmember.Leaving
	}
	if err := n.Ready(); err != nil {
		dump.Ready = err.Error()
	}
	return dump
}

func (n *Node) configInForce() ConfigInForce {
	inForce := ConfigInForce{Refusals: n.holder.Refusals(), Unusable: n.source.unusable()}
	if snapshot := n.holder.Current(); snapshot != nil {
		inForce.Version = snapshot.Version
		inForce.Digest = snapshot.Digest
		inForce.Services = len(snapshot.Config.Services)
		inForce.Routes = len(snapshot.Config.Routes)
		inForce.Problems = snapshot.Problems
	}
	return inForce
}

// localTargets returns the targets of this VM, ordered by ID.
func (n *Node) localTargets() []LocalTarget {
	list := []LocalTarget{}
	for _, target := range n.targets.List() {
		guard := n.guards.Get(target.ID)
		if guard == nil {
			continue
		}
		list = append(list, LocalTarget{
			TargetInfo: guard.Info(),
			Load:       guard.Load(),
			OpenConns:  guard.Conns().OpenConns(),
			LastSeen:   target.LastSeen,
		})
	}
	return list
}

// zoneMembers counts the entries of a view by zone, ordered by zone name.
func zoneMembers(view *qhmember.View) []ZoneMembers {
	zones := newOrderedMap[qhid.Zone, ZoneMembers]()
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

// calledEndpoints returns the endpoints that were called or refused a call,
// ordered by service and target.
func calledEndpoints(view *qhmember.View) []CalledEndpoint {
	services := newOrderedMap[qhid.Service, []*qhmember.Endpoint]()
	for service, endpoints := range view.Services {
		*services.get(service) = endpoints
	}
	list := []CalledEndpoint{}
	for _, endpoints := range services.list() {
		for _, endpoint := range endpoints {
			if endpoint.Stats.Calls.Load() > 0 || endpoint.Stats.Refusals.Load() > 0 {
				list = append(list, newCalledEndpoint(endpoint))
			}
		}
	}
	return list
}

func newCalledEndpoint(endpoint *qhmember.Endpoint) CalledEndpoint {
	stats := endpoint.Stats
	called := CalledEndpoint{
		Target:              endpoint.ID,
		Service:             endpoint.Service,
		Node:                endpoint.Node,
		Zone:                endpoint.Zone,
		State:               endpoint.State,
		NodeDown:            endpoint.NodeDown,
		InFlight:            stats.InFlight.Load(),
		Calls:               stats.Calls.Load(),
		Refusals:            stats.Refusals.Load(),
		Errors:              stats.Errors.Load(),
		ConsecutiveFailures: stats.ConsecutiveFailures.Load(),
		Latency:             time.Duration(stats.Latency.Load()).String(),
	}
	if until := max(stats.EjectedUntil.Load(), stats.LeavingUntil.Load()); until > time.Now().UnixNano() {
		at := time.Unix(0, until)
		called.EjectedUntil = &at
	}
	return called
}
