// Package qhstatus defines the summaries that show on how many nodes a
// configuration version is in force. Summaries are added up along the distribution
// tree of an availability zone, and its relays store the sums on the platform.
package qhstatus

import "quetzalhaven.dev/qhid"

// MaxRefusals bounds the refusals listed in one summary.
const MaxRefusals = 8

// Summary counts a node and all nodes below it in the distribution tree.
type Summary struct {
	// Versions counts nodes by the version in force on them, ordered by version;
	// version 0 stands for nodes without a version.
	Versions []VersionCount `json:"versions"`
	// Refusals lists examples of nodes that refuse a version, at most
	// MaxRefusals.
	Refusals []Refusal `json:"refusals,omitempty"`
	// RefusingNodes is the number of nodes that refuse a version.
	RefusingNodes int `json:"refused,omitempty"`
}

// VersionCount is the number of nodes on which a version is in force.
type VersionCount struct {
	Version qhid.Version `json:"version"`
	Nodes   int          `json:"nodes"`
}

// Refusal tells why a node refuses a version.
type Refusal struct {
	Node    qhid.Node    `json:"node"`
	Version qhid.Version `json:"version"`
	Reason  string       `json:"reason"`
}

// RelayLease is the lease object of a relay slot on the platform. Its key is
// "relay/<availability zone>/<slot>".
type RelayLease struct {
	Holder qhid.Node `json:"holder"`
	// FencingToken increases when the slot is acquired.
	FencingToken uint64 `json:"fence"`
	// RenewalCount increases with every write. qhctl recognizes by it that the
	// lease was renewed; qhlease uses the revision of the object.
	RenewalCount uint64 `json:"renewal"`
	// WriteID is random and identifies the write that stored the object.
	WriteID string `json:"token"`
	// PeerAddress is the address on which the holder accepts messages of other
	// nodes.
	PeerAddress qhid.Address `json:"peers"`
	// OperatorAddress is the address of the holder's operator API.
	OperatorAddress qhid.Address `json:"operators"`
	// MemberCount is the number of nodes of the availability zone whose state is
	// up as the holder knows it.
	MemberCount int     `json:"members"`
	Summary     Summary `json:"summary"`
}
