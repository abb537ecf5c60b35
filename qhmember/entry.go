// Package qhmember holds the member table: the latest entry of each node with its
// targets. The entries of a node are ordered by incarnation and sequence, so that
// late and reordered updates have no effect. Only the node itself makes new ones;
// other nodes may only mark its latest entry as down.
package qhmember

import "quetzalhaven.dev/qhid"

// State is the state of a node or of a target.
type State string

// States of nodes and targets. A node is up, leaving or down; a target is cold, up
// or leaving.
const (
	// Up is a node or target that accepts new calls.
	Up State = "up"
	// Cold is a target that started recently and should get few calls yet.
	Cold State = "cold"
	// Leaving is a node or target that accepts no new calls and finishes those in
	// flight.
	Leaving State = "leaving"
	// Down is a node that another node of its availability zone found to have
	// failed.
	Down State = "down"
)

// Entry is a node's announcement of itself and its targets.
type Entry struct {
	Node qhid.Node `json:"node"`
	Zone qhid.Zone `json:"zone"`
	// PeerAddress is the address for messages of other nodes.
	PeerAddress qhid.Address `json:"peers"`
	// CallAddress is the address for calls of other nodes.
	CallAddress qhid.Address     `json:"calls"`
	Incarnation qhid.Incarnation `json:"inc"`
	Sequence    qhid.Sequence    `json:"seq"`
	State       State            `json:"state"`
	// LinkSpeed is the network bandwidth of the node's VM; 0 if unknown.
	LinkSpeed qhid.MegabitsPerSecond `json:"link,omitempty"`
	// Targets are ordered by id.
	Targets []AnnouncedTarget `json:"targets,omitempty"`
}

// AnnouncedTarget is a target as its node announces it.
type AnnouncedTarget struct {
	ID      qhid.Target  `json:"id"`
	Service qhid.Service `json:"service"`
	State   State        `json:"state"`
	// Slots is the number of calls that the target runs concurrently.
	Slots int `json:"slots"`
	// Software is the version of the target's software; empty if unknown.
	Software qhid.Software `json:"soft,omitempty"`
	// StartedAt identifies the incarnation of the target by when it started, in
	// milliseconds of the Unix epoch; 0 if unknown.
	StartedAt int64 `json:"born,omitempty"`
}

// Endpoint is a target as this node knows it from the entry of the target's node,
// with this node's statistics of it. Its node may be down or leaving.
type Endpoint struct {
	AnnouncedTarget
	Node qhid.Node
	Zone qhid.Zone
	// CallAddress is the address of the target's node for calls of other nodes.
	CallAddress qhid.Address
	// Incarnation is the incarnation of the target's node.
	Incarnation qhid.Incarnation
	// NodeDown is set if the target's node is down.
	NodeDown bool
	// Stats is carried over from view to view until the node has a new incarnation.
	Stats *EndpointStats
}

// View is an immutable snapshot of the member table.
type View struct {
	// Services has the endpoints of each service, ordered by target id. Endpoints
	// of nodes that are down stay in it with NodeDown set, so that a wrong failure
	// detection cannot leave a service without endpoints.
	Services map[qhid.Service][]*Endpoint
	// Entries has the entries of all known nodes, ordered by node id.
	Entries []Entry
}
