// Package qhmember holds what a node knows of the other nodes and their
// targets. Each entry is owned by one node and ordered by incarnation and
// sequence, so that late and crossed updates change nothing.
package qhmember

import "quetzalhaven.dev/qhid"

// State is the state of a node or of a target.
type State string

// The states. A node is up, leaving or down; a target is cold, up or leaving.
const (
	// Up takes new work.
	Up State = "up"
	// Cold has started and takes little work yet.
	Cold State = "cold"
	// Leaving takes no new work and finishes what it has.
	Leaving State = "leaving"
	// Down was seen to have failed by a node of its own availability zone.
	Down State = "down"
)

// Entry is what one node announces of itself and its targets.
type Entry struct {
	Node qhid.Node `json:"node"`
	Zone qhid.Zone `json:"zone"`
	// PeerAddress is where the node takes messages of other nodes.
	PeerAddress qhid.Address `json:"peers"`
	// CallAddress is where the node takes calls of other nodes.
	CallAddress qhid.Address     `json:"calls"`
	Incarnation qhid.Incarnation `json:"inc"`
	Sequence    qhid.Sequence    `json:"seq"`
	State       State            `json:"state"`
	// LinkSpeed is how fast the node's VM is connected; 0 where it isn't known.
	LinkSpeed qhid.MegabitsPerSecond `json:"link,omitempty"`
	// Targets are ordered by id.
	Targets []Target `json:"targets,omitempty"`
}

// Target is one target as its node announces it.
type Target struct {
	ID      qhid.Target  `json:"id"`
	Service qhid.Service `json:"service"`
	State   State        `json:"state"`
	// Slots is how many calls the target runs at a time.
	Slots int `json:"slots"`
}

// Endpoint is a target that a call can be sent to.
type Endpoint struct {
	Target
	Node qhid.Node
	Zone qhid.Zone
	// CallAddress is where the target's node takes calls of other nodes.
	CallAddress qhid.Address
	// Incarnation is that of the target's node.
	Incarnation qhid.Incarnation
	// NodeDown marks an endpoint whose node is down.
	NodeDown bool
	// Stats is kept from view to view while the node's incarnation lives.
	Stats *EndpointStats
}

// View is what a node knows at one moment. It is never changed.
type View struct {
	// Services has the endpoints of each service, ordered by target id.
	// Endpoints of nodes that are down are in it, marked as lost, so that a
	// failure detector cannot empty a service.
	Services map[qhid.Service][]*Endpoint
	// Entries has every node that is known, ordered by id.
	Entries []Entry
}
