package qhwire

import (
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
)

// The kinds of messages between nodes. Requests have a response, notices do
// not.
const (
	// KindJoin is the request JoinRequest with the response LinkResponse.
	KindJoin Kind = "join"
	// KindRootLink is the request RootLinkRequest with the response
	// LinkResponse.
	KindRootLink Kind = "hello"
	// KindPath is the notice PathUpdate, from parent to child.
	KindPath Kind = "path"
	// KindClose is the notice CloseNotice.
	KindClose Kind = "bye"
	// KindVersion is the notice KnownVersion, to a peer that has an older version
	// and may then pull.
	KindVersion Kind = "have"
	// KindDiff is the notice qhconfig.Diff, from parent to child.
	KindDiff Kind = "diff"
	// KindPull is the request KnownVersion with the response VersionContent.
	KindPull Kind = "pull"
	// KindContent is the notice VersionContent, to a peer whose version was found
	// to be older by a comparison.
	KindContent Kind = "content"
	// KindMembership is the notice MembershipUpdate.
	KindMembership Kind = "news"
	// KindDigests is the request DigestRequest with the response DigestResponse,
	// which compares two nodes.
	KindDigests Kind = "compare"
	// KindZoneEntries is the request ZoneEntriesRequest with the response
	// ZoneEntriesResponse, after a comparison found a difference.
	KindZoneEntries Kind = "zone"
	// KindSummary is the notice qhstatus.Summary, from child to parent.
	KindSummary Kind = "summary"
)

// JoinRequest asks a node to become the parent of the sender.
type JoinRequest struct {
	Node    qhid.Node    `json:"n"`
	Zone    qhid.Zone    `json:"z"`
	Version qhid.Version `json:"v"`
}

// RootLinkRequest asks a root for a link to the sender, which is a root as well. A
// root is a node without a parent.
type RootLinkRequest struct {
	Node    qhid.Node    `json:"n"`
	Zone    qhid.Zone    `json:"z"`
	Version qhid.Version `json:"v"`
}

// LinkResponse is the response to a JoinRequest or RootLinkRequest. An empty
// Reason means that the request is accepted.
type LinkResponse struct {
	Node    qhid.Node    `json:"n"`
	Zone    qhid.Zone    `json:"z"`
	Version qhid.Version `json:"v"`
	// Path lists the nodes from the root to the responding node, both included.
	Path []qhid.Node `json:"p,omitempty"`
	// Redirect is the address of another node to ask instead.
	Redirect qhid.Address `json:"t,omitempty"`
	// RetryAfter is how long the sender of the request must wait before it asks
	// this node again.
	RetryAfter qhconfig.Duration `json:"w,omitempty"`
	// Reason is why the request was refused.
	Reason string `json:"r,omitempty"`
}

// PathUpdate gives a child the path from the root to its parent.
type PathUpdate struct {
	Path []qhid.Node `json:"p"`
}

// CloseNotice announces that the sender closes the link on purpose, so that the
// receiver does not check the sender for a failure.
type CloseNotice struct {
	Reason string `json:"r"`
}

// KnownVersion tells the newest version that the sender has. Version 0 in a pull
// requests the full configuration.
type KnownVersion struct {
	Version qhid.Version `json:"v"`
}

// VersionContent carries a version, as consecutive diffs from the receiver's
// version or as the full configuration.
type VersionContent struct {
	Version qhid.Version    `json:"v"`
	Digest  qhid.Digest     `json:"d,omitempty"`
	Diffs   []qhconfig.Diff `json:"c,omitempty"`
	// FullConfig is a packed qhconfig.Config.
	FullConfig Packed `json:"w,omitempty"`
}

// MembershipUpdate carries entries that are new to the sender.
type MembershipUpdate struct {
	Entries []qhmember.Entry `json:"e"`
	// UntilZone limits the availability zones to which the receiver passes the
	// entries on: those after its own and before UntilZone on the ring of zone
	// names. It is empty between nodes of one availability zone.
	UntilZone qhid.Zone `json:"u,omitempty"`
}

// DigestRequest asks for the peer's newest version, its digest and the checksums
// of the peer's membership entries. It tells the sender's version and checksum.
type DigestRequest struct {
	Version        qhid.Version      `json:"v"`
	MemberChecksum qhmember.Checksum `json:"s"`
	// IncludeZones requests the checksum of each availability zone.
	IncludeZones bool `json:"z,omitempty"`
}

// DigestResponse is the response to a DigestRequest.
type DigestResponse struct {
	Node    qhid.Node    `json:"n"`
	Version qhid.Version `json:"v"`
	// DigestPrefix is the prefix of the version's digest, see the function
	// DigestPrefix.
	DigestPrefix   qhid.Digest       `json:"d,omitempty"`
	MemberChecksum qhmember.Checksum `json:"s"`
	// ZoneChecksums holds the checksum of the membership entries of each
	// availability zone, if requested.
	ZoneChecksums map[qhid.Zone]qhmember.Checksum `json:"z,omitempty"`
}

// ZoneEntriesRequest asks for the membership entries of an availability zone.
type ZoneEntriesRequest struct {
	Zone qhid.Zone `json:"z"`
}

// ZoneEntriesResponse is the response to a ZoneEntriesRequest.
type ZoneEntriesResponse struct {
	// Entries is a packed []qhmember.Entry.
	Entries Packed `json:"e"`
}

// Summary counts the sender and all nodes below it by configuration version.
type Summary = qhstatus.Summary

// digestPrefixLen is the number of hexadecimal digits of a digest that are
// compared.
const digestPrefixLen = 8

// DigestPrefix returns the prefix of a digest, long enough to detect that two
// nodes have different content for the same version.
func DigestPrefix(digest qhid.Digest) qhid.Digest { return digest[:min(digestPrefixLen, len(digest))] }
