// Package qhheader names the HTTP headers of calls.
package qhheader

// Headers that callers and targets see.
const (
	// RequestID carries the id of a call. A caller may set it.
	RequestID = "X-Request-Id"
	// Timeout is the time left for a call in seconds, as in "1.5". It never
	// grows on the way.
	Timeout = "Request-Timeout"
	// IdempotencyKey is the key of a call on a route that repeats by key.
	IdempotencyKey = "Idempotency-Key"
	// RetryAfter tells when to come back, in whole seconds.
	RetryAfter = "Retry-After"
	// Outcome tells what is known of a call that the mesh answers itself.
	Outcome = "Qh-Outcome"
	// Reason is the short word for why the mesh answered itself.
	Reason = "Qh-Reason"
)

// The values of Outcome.
const (
	// NotRun is set only where the call was never given to a target.
	NotRun = "not-run"
	// Unknown is set where the call may have run.
	Unknown = "unknown"
	// Done is set where the call's key was used by a call that was answered.
	Done = "done"
)

// Internal is the prefix of headers between nodes. They are dropped from what
// callers send.
const Internal = "Qh-Node-"

// Headers between nodes.
const (
	// NodeFrom is the id of the node that sends a call on.
	NodeFrom = Internal + "From"
	// NodeTarget is the id of the target that the sender chose.
	NodeTarget = Internal + "Target"
	// NodeRoute is the name of the route that matched.
	NodeRoute = Internal + "Route"
	// NodeVersion is the configuration version that the sender decided on.
	NodeVersion = Internal + "Version"
	// NodeSilence bounds the wait for the first byte of the answer, in seconds.
	NodeSilence = Internal + "Silence"
	// NodeTook is how long the target took until its answer began, in whole
	// microseconds.
	NodeTook = Internal + "Took"
	// NodeCaller is the service on whose VM the call began.
	NodeCaller = Internal + "Caller"
	// NodePriority ranks the call; 0 is the most urgent.
	NodePriority = Internal + "Priority"
	// NodeDue is the time until which an answer is of full use, in seconds.
	NodeDue = Internal + "Due"
	// NodePatience bounds the wait for a slot, in seconds.
	NodePatience = Internal + "Patience"
	// NodeArrived is set where a target got the call, whatever it did with it.
	NodeArrived = Internal + "Arrived"
	// NodeLoad is how many calls the target has running and queued.
	NodeLoad = Internal + "Load"
)
