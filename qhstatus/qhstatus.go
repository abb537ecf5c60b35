// Package qhstatus defines the summaries that show on how many nodes a
// configuration version is in force. Summaries are added up along the tree of
// an availability zone, and its relays store them on the platform.
package qhstatus

import "quetzalhaven.dev/qhid"

// MaxRefusals bounds the refusals listed in one summary.
const MaxRefusals = 8

// Summary counts a node and all nodes below it in the tree.
type Summary struct {
	// Versions counts nodes by the version that they hold, ordered by version.
	Versions []VersionCount `json:"versions"`
	// Refusals lists examples of nodes that refuse a version, at most
	// MaxRefusals.
	Refusals []Refusal `json:"refusals,omitempty"`
	// RefusingNodes is the number of nodes that refuse a version.
	RefusingNodes int `json:"refused,omitempty"`
}

// VersionCount is the number of nodes that hold a version.
type VersionCount struct {
	Version qhid.Version `json:"version"`
	Nodes   int          `json:"nodes"`
}

// Refusal says why a node refuses a version.
type Refusal struct {
	Node    qhid.Node    `json:"node"`
	Version qhid.Version `json:"version"`
	Reason  string       `json:"reason"`
}

// RelayLease is the lease object of a relay slot on the platform. Its key is
// "relay/<availability zone>/<slot>".
type RelayLease struct {
	Holder qhid.Node `json:"holder"`
	// FencingToken grows with every change of holder.
	FencingToken uint64 `json:"fence"`
	// RenewalCount grows with every write. The lease expires if it does not
	// change for the lease duration.
	RenewalCount uint64 `json:"renewal"`
	// WriteID is random and identifies the write that stored the object.
	WriteID string `json:"token"`
	// PeerAddress is the address on which the holder accepts messages of other
	// nodes.
	PeerAddress qhid.Address `json:"peers"`
	// OperatorAddress is the address of the holder's operator API.
	OperatorAddress qhid.Address `json:"operators"`
	// MemberCount is the number of nodes of the availability zone that the
	// holder knows as up.
	MemberCount int     `json:"members"`
	Summary     Summary `json:"summary"`
}
