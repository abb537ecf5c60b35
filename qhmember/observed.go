package qhmember

import "sync/atomic"

// Observed is what this node has itself seen of an endpoint. All fields are
// read and written without locks on the path of a call.
type Observed struct {
	// InFlight counts this node's calls to the endpoint that have no answer yet.
	InFlight atomic.Int64
	// Latency is the moving average of answer times in nanoseconds, 0 before the first.
	Latency atomic.Int64
	// Failures counts calls that failed in a row.
	Failures atomic.Int64
	// Faults is the moving share of answers that were errors, in thousandths.
	Faults atomic.Int64
	// Ejected is when the ejection ends, in nanoseconds of the Unix epoch; 0 for none.
	Ejected atomic.Int64
	// Ejections counts ejections in a row; each lasts longer than the one before.
	Ejections atomic.Int64
	// Hint is the load that the target's node last reported: milliseconds of the
	// Unix epoch in the upper 48 bits, calls in the lower 16; 0 for none.
	Hint atomic.Int64
	// Full is until when the endpoint counts as full, in nanoseconds of the Unix
	// epoch; 0 for not.
	Full atomic.Int64
	// Started is when the endpoint was first seen, in nanoseconds of the Unix epoch.
	Started atomic.Int64
	// Calls, Refusals and Errors count what was seen since the endpoint is known.
	Calls, Refusals, Errors atomic.Int64
}
