// Package qhheader defines the names and values of the HTTP headers of calls.
package qhheader

// Headers that callers and targets see.
const (
	// RequestID carries the ID of a call. Callers may set it.
	RequestID = "X-Request-Id"
	// Timeout carries the remaining time of a call in seconds, such as "1.5". It
	// never increases from hop to hop.
	Timeout = "Request-Timeout"
	// Tenant is the name of the caller's tenant, which nodes set.
	Tenant = "Qh-Tenant"
	// IdempotencyKey carries the idempotency key of a call, on routes whose retry
	// policy uses keys.
	IdempotencyKey = "Idempotency-Key"
	// RetryAfter carries the suggested delay before a retry, in whole seconds.
	RetryAfter = "Retry-After"
	// RateLimit carries the calls per second, such as "12.5", that a target takes
	// from all nodes together. It is in a target's responses as long as it holds.
	RateLimit = "Call-Limit"
	// Leaving is "1" in the responses of a target that is leaving.
	Leaving = "Target-Leaving"
	// Outcome carries what is known about the execution of a call that a node
	// answers itself: OutcomeNotExecuted, OutcomeUnknown or OutcomeDone.
	Outcome = "Qh-Outcome"
	// Reason carries the qhdecision.Reason of a call that a node answers itself.
	Reason = "Qh-Reason"
)

// Values of Outcome.
const (
	// OutcomeNotExecuted means that certainly no target executed the call.
	OutcomeNotExecuted = "not-run"
	// OutcomeUnknown means the call may have been executed.
	OutcomeUnknown = "unknown"
	// OutcomeDone means the idempotency key was used by an earlier call that was
	// answered.
	OutcomeDone = "done"
)

// InternalPrefix is the prefix of headers between nodes. Headers with this prefix
// are removed from the requests of callers.
const InternalPrefix = "Qh-Node-"

// Headers between nodes.
const (
	// NodeFrom carries the ID of the node that forwards the call.
	NodeFrom = InternalPrefix + "From"
	// NodeTarget carries the ID of the target that the sender chose.
	NodeTarget = InternalPrefix + "Target"
	// NodeRoute carries the name of the matched route.
	NodeRoute = InternalPrefix + "Route"
	// NodeVersion carries the configuration version that the sender used.
	NodeVersion = InternalPrefix + "Version"
	// NodeFirstByteTimeout carries the maximum wait for the first byte of the
	// response, in seconds.
	NodeFirstByteTimeout = InternalPrefix + "Silence"
	// NodeResponseTime carries the time until the headers of the target's
	// response arrived, in whole microseconds.
	NodeResponseTime = InternalPrefix + "Took"
	// NodeCaller carries the service on whose VM the call originated.
	NodeCaller = InternalPrefix + "Caller"
	// NodeKey carries the digest of the caller's key.
	NodeKey = InternalPrefix + "Key"
	// NodeFingerprint carries the fingerprint of the request.
	NodeFingerprint = InternalPrefix + "Print"
	// NodePriority carries the priority of the call; 0 is the most urgent.
	NodePriority = InternalPrefix + "Priority"
	// NodeObjectiveDeadline carries the time left to meet the latency objective,
	// in seconds.
	NodeObjectiveDeadline = InternalPrefix + "Due"
	// NodeMaxQueueWait carries the maximum wait for a slot, in seconds.
	NodeMaxQueueWait = InternalPrefix + "Patience"
	// NodeReachedTarget is set if the call was sent to a target, whether or not
	// the target executed it.
	NodeReachedTarget = InternalPrefix + "Arrived"
	// NodeSent carries when the durations in the other headers were measured, in
	// whole milliseconds since the sender opened the connection.
	NodeSent = InternalPrefix + "Sent"
	// NodeDelayed carries the qhtransit.Refusal of a call that was refused because it was
	// delayed, and of that call when it is sent again.
	NodeDelayed = InternalPrefix + "Delayed"
	// NodeRateLimit carries the rate limit of the target that the sender knows.
	NodeRateLimit = InternalPrefix + "Limit"
	// NodeLoad carries the number of running and queued calls of the target.
	NodeLoad = InternalPrefix + "Load"
)
