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
	Versions []VersionCount `json:"versions"`
	// Refusals are examples of nodes that keep a version out, at most MaxRefusals.
	Refusals []Refusal `json:"refusals,omitempty"`
	// RefusingNodes counts all nodes that keep a version out.
	RefusingNodes int `json:"refused,omitempty"`
}

// VersionCount is a number of nodes at a version.
type VersionCount struct {
	Version qhid.Version `json:"version"`
	Nodes   int          `json:"nodes"`
}

// Refusal tells why a node keeps a version out.
type Refusal struct {
	Node    qhid.Node    `json:"node"`
	Version qhid.Version `json:"version"`
	Reason  string       `json:"reason"`
}

// RelayLease is the lease object of one relay slot on the platform, under the key
// "relay/<availability zone>/<slot>".
type RelayLease struct {
	Holder qhid.Node `json:"holder"`
	// FencingToken grows with every change of holder.
	FencingToken uint64 `json:"fence"`
	// RenewalCount grows with every write; a lease lapses when it stood still.
	RenewalCount uint64 `json:"renewal"`
	// WriteID is random and tells the write that made the object.
	WriteID string `json:"token"`
	// PeerAddress is where the holder takes messages of other nodes.
	PeerAddress qhid.Address `json:"peers"`
	// OperatorAddress is where the holder answers operators.
	OperatorAddress qhid.Address `json:"operators"`
	// MemberCount is how many nodes of the availability zone the holder knows as up.
	MemberCount int     `json:"members"`
	Summary     Summary `json:"summary"`
}
