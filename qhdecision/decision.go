// Package qhdecision records what a node decided about calls, so that it can be
// asked for by request id.
package qhdecision

import (
	"time"

	"quetzalhaven.dev/qhid"
)

// Kind says what was decided.
type Kind string

// The kinds of decisions.
const (
	// Chosen is a target that a call was sent to.
	Chosen Kind = "chosen"
	// Refused is a call that the node answered itself.
	Refused Kind = "refused"
	// Retried is a call that is sent again.
	Retried Kind = "repeated"
	// Ejected is an endpoint that gets no calls for a while.
	Ejected Kind = "ejected"
	// Truncated is an answer that broke off after its first byte.
	Truncated Kind = "broken"
	// Answered is a call that got an answer of a target.
	Answered Kind = "answered"
	// Drained is a node that takes no new calls.
	Drained Kind = "drained"
	// Cancelled is a call that was ended by a stop at its bound.
	Cancelled Kind = "cut"
)

// Reason is the short word for why.
type Reason string

// The reasons for what a node decides.
const (
	NoRoute             Reason = "no-route"
	NoConfig            Reason = "no-config"
	NoTarget            Reason = "no-target"
	Leaving             Reason = "leaving"
	Busy                Reason = "busy"
	Late                Reason = "late"
	CallerGone          Reason = "caller-gone"
	DeadlineExceeded    Reason = "deadline"
	FirstByteTimeout    Reason = "silent"
	ConnectFailed       Reason = "connect"
	ConnectionLost      Reason = "connection"
	BadDeadline         Reason = "bad-deadline"
	BadBody             Reason = "bad-body"
	BadRequest          Reason = "bad-request"
	TooLarge            Reason = "too-large"
	Upgrade             Reason = "upgrade"
	KeyClaimed          Reason = "claimed"
	ClaimUnavailable    Reason = "claim-unavailable"
	OwnZone             Reason = "own-zone"
	SpillOver           Reason = "spill-over"
	OtherZone           Reason = "other-zone"
	PanicMode           Reason = "panic"
	LastResort          Reason = "last-asked"
	OnlyOne             Reason = "only-one"
	ConsecutiveFailures Reason = "failed-in-a-row"
	ResponseTruncated   Reason = "broke-off"
	StopRequested       Reason = "stop-requested"
	GracePeriodOver     Reason = "grace-over"
)

// Decision is one decision. It is never changed once added to a ring.
type Decision struct {
	Time    time.Time    `json:"time"`
	Request qhid.Request `json:"request,omitempty"`
	Kind    Kind         `json:"kind"`
	Reason  Reason       `json:"reason,omitempty"`
	// Outcome is empty, not-run or unknown.
	Outcome string       `json:"outcome,omitempty"`
	Version qhid.Version `json:"version,omitempty"`
	Route   qhid.Route   `json:"route,omitempty"`
	Service qhid.Service `json:"service,omitempty"`
	Target  qhid.Target  `json:"target,omitempty"`
	Node    qhid.Node    `json:"node,omitempty"`
	// Attempt counts from 1.
	Attempt int `json:"attempt,omitempty"`
	// Status is that of the answer, and Took the time until it began.
	Status int           `json:"status,omitempty"`
	Took   time.Duration `json:"took,omitempty"`
	// RunnerUp is the endpoint that lost the choice.
	RunnerUp qhid.Target `json:"other,omitempty"`
	// Detail is for people, such as the text of an error.
	Detail string `json:"detail,omitempty"`
}
