// Package qhdecision records the decisions that a node makes on calls, so that
// they can be looked up by request ID.
package qhdecision

import (
	"strings"
	"time"

	"quetzalhaven.dev/qhid"
)

// Kind is the kind of a decision.
type Kind string

// Decision kinds.
const (
	// Chosen means that a target was chosen and the call was sent to it.
	Chosen Kind = "chosen"
	// Refused means that the node responded to the call itself, because it has
	// no response of a target to forward.
	Refused Kind = "refused"
	// Retried means that the call is sent again.
	Retried Kind = "repeated"
	// Ejected means that the call caused the ejection of an endpoint, which
	// then gets no calls for some time.
	Ejected Kind = "ejected"
	// Truncated means that the response ended early, after its first byte.
	Truncated Kind = "broken"
	// Answered means that the call got a response from a target.
	Answered Kind = "answered"
	// NodeLeaving means that the node is leaving and its targets accept no new
	// calls.
	NodeLeaving Kind = "drained"
	// Cancelled means that the calls in flight at the end of the shutdown
	// timeout were cancelled.
	Cancelled Kind = "cut"
)

// Reason is a short identifier of why a decision was made.
type Reason string

// Decision reasons.
const (
	NoRoute             Reason = "no-route"          // no route matches the call
	NoConfig            Reason = "no-config"         // the node has no configuration yet
	NoTarget            Reason = "no-target"         // no endpoint of the service accepts calls, or the chosen target is not on its node any more
	Leaving             Reason = "leaving"           // the node or the target is leaving and accepts no new calls
	Busy                Reason = "busy"              // the queue is full or its expected wait too long, or the node has too many calls
	Unauthenticated     Reason = "unauthenticated"   // the call has no key of a tenant
	TenantUnavailable   Reason = "tenant"            // the configuration of the tenant is not usable
	NoProof             Reason = "no-proof"          // the node has no proof that its configuration is the newest, so that it may not use keys
	KeyUnknown          Reason = "key-unknown"       // the target's node does not know the key, or no longer
	OverQuota           Reason = "over-quota"        // the tenant has used up its allowance
	InternalError       Reason = "internal"          // the node failed; its log has the cause
	Superseded          Reason = "superseded"        // the service is switched to another software version
	NotExposed          Reason = "not-exposed"       // the roll-out sends no calls to the target now
	Quarantined         Reason = "quarantined"       // the request crashed the targets that executed it
	Exposed             Reason = "exposed"           // the call is in the share of the new software version of a roll-out
	Overloaded          Reason = "overload"          // the node lacks processor time
	NoMemory            Reason = "memory"            // the node has no memory for the call
	LinkBusy            Reason = "link-busy"         // the link of the target's VM has no room for the request body in time
	RateLimited         Reason = "rate-limit"        // the rate limit that the target names allows the call too late
	Delayed             Reason = "delayed"           // the call was delayed on its way, and its caller may have left; its sender sends it again if not
	Late                Reason = "late"              // the response would come after the deadline
	CallerGone          Reason = "caller-gone"       // the caller closed its connection
	DeadlineExceeded    Reason = "deadline"          // the deadline passed before the response began
	FirstByteTimeout    Reason = "silent"            // no response began within the first-byte timeout
	ConnectFailed       Reason = "connect"           // no connection could be opened, so nothing was sent
	NotConnected        Reason = "not-connected"     // no connection to the target's node was open in time; the attempt to open one goes on
	ConnectionLost      Reason = "connection"        // the connection failed after the request was sent, or the response was invalid
	BadDeadline         Reason = "bad-deadline"      // the deadline header is invalid
	BadBody             Reason = "bad-body"          // the request body cannot be read
	BadRequest          Reason = "bad-request"       // the request is malformed
	TooLarge            Reason = "too-large"         // the request body exceeds the limit of the route
	Upgrade             Reason = "upgrade"           // protocol upgrades are not supported
	KeyClaimed          Reason = "claimed"           // the idempotency key is claimed by another call
	ClaimUnavailable    Reason = "claim-unavailable" // the idempotency key cannot be claimed
	OwnZone             Reason = "own-zone"          // the best endpoint in the own availability zone
	SpillOver           Reason = "spill-over"        // the endpoints of the own availability zone are full, and another zone has capacity
	OtherZone           Reason = "other-zone"        // the own availability zone has no usable endpoint
	PanicMode           Reason = "panic"             // too few endpoints are usable, so ejections and down nodes were ignored
	LastResort          Reason = "last-asked"        // all endpoints refused; the call waits at the one that expects a free slot first
	OnlyOne             Reason = "only-one"          // the only endpoint to choose from
	ConsecutiveFailures Reason = "failed-in-a-row"   // too many consecutive failures, or a failed connection attempt
	ResponseTruncated   Reason = "broke-off"         // the response ended early
	ShutdownRequested   Reason = "stop-requested"    // the shutdown of the node began
	ShutdownTimedOut    Reason = "grace-over"        // the shutdown timeout of the node passed
)

// Decision is one decision of a node. It must not be modified after it was added
// to a Ring.
type Decision struct {
	Time    time.Time    `json:"time"`
	Request qhid.Request `json:"request,omitempty"`
	Kind    Kind         `json:"kind"`
	Reason  Reason       `json:"reason,omitempty"`
	// Outcome is empty or a qhheader.Outcome value: "not-run", "unknown" or "done".
	Outcome string       `json:"outcome,omitempty"`
	Version qhid.Version `json:"version,omitempty"`
	Route   qhid.Route   `json:"route,omitempty"`
	Service qhid.Service `json:"service,omitempty"`
	Target  qhid.Target  `json:"target,omitempty"`
	// Node is the node of Target. In a decision on a call that another node
	// forwarded, it is that other node; in a decision on the shutdown, it is
	// this node.
	Node qhid.Node `json:"node,omitempty"`
	// Attempt is the number of the attempt, starting at 1.
	Attempt int `json:"attempt,omitempty"`
	// Status is the HTTP status of the response, and ResponseTime is the time
	// until its first byte.
	Status       int           `json:"status,omitempty"`
	ResponseTime time.Duration `json:"took,omitempty"`
	// RunnerUp is the endpoint that lost the comparison with Target.
	RunnerUp qhid.Target `json:"other,omitempty"`
	// Detail is human-readable, such as the text of an error.
	Detail string `json:"detail,omitempty"`
}

const (
	// maxRequestBytes and maxDetailBytes bound the request IDs and details that are kept and
	// logged.
	maxRequestBytes = 256
	maxDetailBytes  = 512
)

// Bounded returns the decision with only the start of a long request ID or detail.
func (d Decision) Bounded() Decision {
	d.Request, d.Detail = clip(d.Request, maxRequestBytes), clip(d.Detail, maxDetailBytes)
	return d
}

// clip returns text, or a copy of its start if it is longer than size bytes.
func clip[T ~string](text T, size int) T {
	if len(text) <= size {
		return text
	}
	return T(strings.Clone(string(text[:size]))) + "..."
}
