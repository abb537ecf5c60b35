// Package qhstatus has the counts that tell how far a configuration version is
// in force. They are added up along the tree of an availability zone and put on
// the platform by its relays.
package qhstatus

import "quetzalhaven.dev/qhid"

// MaxRefusals bounds the refusals that one summary names.
const MaxRefusals = 8

// Summary adds up one node and everything below it.
type Summary struct {
	// Versions counts nodes by the version they hold, ordered by version.
	Versions []Count `json:"versions"`
	// Refusals are examples of nodes that keep a version out, at most MaxRefusals.
	Refusals []Refusal `json:"refusals,omitempty"`
	// Refused counts all nodes that keep a version out.
	Refused int `json:"refused,omitempty"`
}

// Count is a number of nodes at a version.
type Count struct {
	Version qhid.Version `json:"version"`
	Nodes   int          `json:"nodes"`
}

// Refusal tells why a node keeps a version out.
type Refusal struct {
	Node    qhid.Node    `json:"node"`
	Version qhid.Version `json:"version"`
	Reason  string       `json:"reason"`
}

// Relay is the lease object of one relay slot on the platform, under the key
// "relay/<availability zone>/<slot>".
type Relay struct {
	Holder qhid.Node `json:"holder"`
	// Fence grows with every change of holder.
	Fence uint64 `json:"fence"`
	// Renewal grows with every write; a lease lapses when it stood still.
	Renewal uint64 `json:"renewal"`
	// Token is random and tells the write that made the object.
	Token string `json:"token"`
	// Peers is where the holder takes messages of other nodes.
	Peers qhid.Address `json:"peers"`
	// Operators is where the holder answers operators.
	Operators qhid.Address `json:"operators"`
	// Members is how many nodes of the availability zone the holder knows as up.
	Members int     `json:"members"`
	Summary Summary `json:"summary"`
}
