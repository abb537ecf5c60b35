package qhwire

import (
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
)

// The kinds of messages between nodes.
const (
	// KindJoin is the request Join with the answer Joined.
	KindJoin Kind = "join"
	// KindHello is the request Hello with the answer Joined.
	KindHello Kind = "hello"
	// KindPath is the notice Path, from parent to child.
	KindPath Kind = "path"
	// KindBye is the notice Bye.
	KindBye Kind = "bye"
	// KindHave is the notice Have.
	KindHave Kind = "have"
	// KindDiff is the notice qhconfig.Diff, from parent to child.
	KindDiff Kind = "diff"
	// KindPull is the request Have with the answer Content.
	KindPull Kind = "pull"
	// KindContent is the notice Content.
	KindContent Kind = "content"
	// KindNews is the notice News.
	KindNews Kind = "news"
	// KindCompare is the request Compare with the answer Compared.
	KindCompare Kind = "compare"
	// KindZone is the request Zone with the answer Entries.
	KindZone Kind = "zone"
	// KindSummary is the notice qhstatus.Summary, from child to parent.
	KindSummary Kind = "summary"
)

// Join asks a node to be the parent of the sender.
type Join struct {
	Node    qhid.Node    `json:"node"`
	Zone    qhid.Zone    `json:"zone"`
	Version qhid.Version `json:"version"`
}

// Hello asks a root for a link between roots.
type Hello struct {
	Node    qhid.Node    `json:"node"`
	Zone    qhid.Zone    `json:"zone"`
	Version qhid.Version `json:"version"`
}

// Joined answers a Join or a Hello. With neither To nor Wait it is accepted.
type Joined struct {
	Node    qhid.Node    `json:"node"`
	Zone    qhid.Zone    `json:"zone"`
	Version qhid.Version `json:"version"`
	// Path leads from the root to the answering node, both in it.
	Path []qhid.Node `json:"path,omitempty"`
	// To is another node to ask instead.
	To qhid.Address `json:"to,omitempty"`
	// Wait is how long not to ask this node again.
	Wait qhconfig.Duration `json:"wait,omitempty"`
	// Reason tells why it was not accepted.
	Reason string `json:"reason,omitempty"`
}

// Path tells a child the way from the root to its parent.
type Path struct {
	Path []qhid.Node `json:"path"`
}

// Bye tells that the sender ends the link in good order.
type Bye struct {
	Reason string `json:"reason"`
}

// Have tells which version the sender has.
type Have struct {
	Version qhid.Version `json:"version"`
}

// Content brings a node to a version, by diffs that follow on each other or whole.
type Content struct {
	Version qhid.Version    `json:"version"`
	Digest  qhid.Digest     `json:"digest,omitempty"`
	Diffs   []qhconfig.Diff `json:"diffs,omitempty"`
	// Whole is a packed qhconfig.Config.
	Whole Packed `json:"whole,omitempty"`
}

// News carries entries that are new to the sender.
type News struct {
	Entries []qhmember.Entry `json:"e"`
	// Until bounds the availability zones that the receiver passes the entries
	// on to: those after its own and before this one, round the ring of names.
	// It is empty between nodes of one availability zone.
	Until qhid.Zone `json:"until,omitempty"`
}

// Compare asks for what the peer has.
type Compare struct {
	Version qhid.Version    `json:"version"`
	Sum     qhmember.Digest `json:"sum"`
	// Zones asks for the digest of each availability zone.
	Zones bool `json:"zones,omitempty"`
}

// Compared answers a Compare.
type Compared struct {
	Node    qhid.Node       `json:"node"`
	Version qhid.Version    `json:"version"`
	Digest  qhid.Digest     `json:"digest,omitempty"`
	Sum     qhmember.Digest `json:"sum"`
	// Zones is the digest of each availability zone, where it was asked for.
	Zones map[qhid.Zone]qhmember.Digest `json:"zones,omitempty"`
}

// Zone asks for the entries of an availability zone.
type Zone struct {
	Zone qhid.Zone `json:"zone"`
}

// Entries answers a Zone.
type Entries struct {
	// Entries are packed []qhmember.Entry.
	Entries Packed `json:"entries"`
}

// Summary is what a child sends of itself and all below it.
type Summary = qhstatus.Summary
