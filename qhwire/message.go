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
	Node    qhid.Node    `json:"n"`
	Zone    qhid.Zone    `json:"z"`
	Version qhid.Version `json:"v"`
}

// Hello asks a root for a link between roots.
type Hello struct {
	Node    qhid.Node    `json:"n"`
	Zone    qhid.Zone    `json:"z"`
	Version qhid.Version `json:"v"`
}

// Joined answers a Join or a Hello. With neither To nor Wait it is accepted.
type Joined struct {
	Node    qhid.Node    `json:"n"`
	Zone    qhid.Zone    `json:"z"`
	Version qhid.Version `json:"v"`
	// Path leads from the root to the answering node, both in it.
	Path []qhid.Node `json:"p,omitempty"`
	// To is another node to ask instead.
	To qhid.Address `json:"t,omitempty"`
	// Wait is how long not to ask this node again.
	Wait qhconfig.Duration `json:"w,omitempty"`
	// Reason tells why it was not accepted.
	Reason string `json:"r,omitempty"`
}

// Path tells a child the way from the root to its parent.
type Path struct {
	Path []qhid.Node `json:"p"`
}

// Bye tells that the sender ends the link in good order.
type Bye struct {
	Reason string `json:"r"`
}

// Have tells which version the sender has.
type Have struct {
	Version qhid.Version `json:"v"`
}

// Content brings a node to a version, by diffs that follow on each other or whole.
type Content struct {
	Version qhid.Version    `json:"v"`
	Digest  qhid.Digest     `json:"d,omitempty"`
	Diffs   []qhconfig.Diff `json:"c,omitempty"`
	// Whole is a packed qhconfig.Config.
	Whole Packed `json:"w,omitempty"`
}

// News carries entries that are new to the sender.
type News struct {
	Entries []qhmember.Entry `json:"e"`
	// Until bounds the availability zones that the receiver passes the entries
	// on to: those after its own and before this one, round the ring of names.
	// It is empty between nodes of one availability zone.
	Until qhid.Zone `json:"u,omitempty"`
}

// Compare asks for what the peer has.
type Compare struct {
	Version qhid.Version    `json:"v"`
	Sum     qhmember.Digest `json:"s"`
	// Zones asks for the digest of each availability zone.
	Zones bool `json:"z,omitempty"`
}

// Compared answers a Compare.
type Compared struct {
	Node    qhid.Node    `json:"n"`
	Version qhid.Version `json:"v"`
	// Digest is the beginning of the version's digest, see ShortDigest.
	Digest qhid.Digest     `json:"d,omitempty"`
	Sum    qhmember.Digest `json:"s"`
	// Zones is the digest of each availability zone, where it was asked for.
	Zones map[qhid.Zone]qhmember.Digest `json:"z,omitempty"`
}

// Zone asks for the entries of an availability zone.
type Zone struct {
	Zone qhid.Zone `json:"z"`
}

// Entries answers a Zone.
type Entries struct {
	// Entries are packed []qhmember.Entry.
	Entries Packed `json:"e"`
}

// Summary is what a child sends of itself and all below it.
type Summary = qhstatus.Summary

// shortDigest is how much of a digest is compared.
const shortDigest = 8

// ShortDigest returns the beginning of a digest, enough to find that two nodes
// have other content for the same version.
func ShortDigest(digest qhid.Digest) qhid.Digest { return digest[:min(shortDigest, len(digest))] }
