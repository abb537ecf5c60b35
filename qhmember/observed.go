package qhmember

import "sync/atomic"

// EndpointStats is what this node has itself seen of an endpoint. All fields are
// read and written without locks on the path of a call.
type EndpointStats struct {
	// InFlight counts this node's calls to the endpoint that have no answer yet.
	InFlight atomic.Int64
	// Latency is the moving average of answer times in nanoseconds, 0 before the first.
	Latency atomic.Int64
	// ConsecutiveFailures counts calls that failed in a row.
	ConsecutiveFailures atomic.Int64
	// ErrorRate is the moving share of answers that were errors, in thousandths.
	ErrorRate atomic.Int64
	// EjectedUntil is when the ejection ends, in nanoseconds of the Unix epoch; 0 for none.
	EjectedUntil atomic.Int64
	// ConsecutiveEjections counts ejections in a row; each lasts longer than the one before.
	ConsecutiveEjections atomic.Int64
	// ReportedLoad is the load that the target's node last reported: milliseconds of the
	// Unix epoch in the upper 48 bits, calls in the lower 16; 0 for none.
	ReportedLoad atomic.Int64
	// FullUntil is until when the endpoint counts as full, in nanoseconds of the Unix
	// epoch; 0 for not.
	FullUntil atomic.Int64
	// FirstSeen is when the endpoint was first seen, in nanoseconds of the Unix epoch.
	FirstSeen atomic.Int64
	// Calls, Refusals and Errors count what was seen since the endpoint is known.
	Calls, Refusals, Errors atomic.Int64
}
