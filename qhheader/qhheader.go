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
	// OutcomeNotExecuted is set only where the call was never given to a target.
	OutcomeNotExecuted = "not-run"
	// OutcomeUnknown is set where the call may have run.
	OutcomeUnknown = "unknown"
	// OutcomeDone is set where the call's key was used by a call that was answered.
	OutcomeDone = "done"
)

// InternalPrefix is the prefix of headers between nodes. They are dropped from what
// callers send.
const InternalPrefix = "Qh-Node-"

// Headers between nodes.
const (
	// NodeFrom is the id of the node that sends a call on.
	NodeFrom = InternalPrefix + "From"
	// NodeTarget is the id of the target that the sender chose.
	NodeTarget = InternalPrefix + "Target"
	// NodeRoute is the name of the route that matched.
	NodeRoute = InternalPrefix + "Route"
	// NodeVersion is the configuration version that the sender decided on.
	NodeVersion = InternalPrefix + "Version"
	// NodeFirstByteTimeout bounds the wait for the first byte of the answer, in seconds.
	NodeFirstByteTimeout = InternalPrefix + "Silence"
	// NodeResponseTime is how long the target took until its answer began, in whole
	// microseconds.
	NodeResponseTime = InternalPrefix + "Took"
	// NodeCaller is the service on whose VM the call began.
	NodeCaller = InternalPrefix + "Caller"
	// NodePriority ranks the call; 0 is the most urgent.
	NodePriority = InternalPrefix + "Priority"
	// NodeObjectiveDeadline is the time until which an answer is of full use, in seconds.
	NodeObjectiveDeadline = InternalPrefix + "Due"
	// NodeMaxQueueWait bounds the wait for a slot, in seconds.
	NodeMaxQueueWait = InternalPrefix + "Patience"
	// NodeReachedTarget is set where a target got the call, whatever it did with it.
	NodeReachedTarget = InternalPrefix + "Arrived"
	// NodeLoad is how many calls the target has running and queued.
	NodeLoad = InternalPrefix + "Load"
)
