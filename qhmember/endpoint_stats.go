package qhmember

import "sync/atomic"

const (
	// RanksPerPriority is the number of ranks of the calls of one priority, which are
	// ordered by their latency objectives.
	RanksPerPriority = 4
	// RoomLevels is the number of ranks in EndpointStats.RoomAt.
	RoomLevels = 12 * RanksPerPriority
)

// EndpointStats has this node's own measurements of an endpoint. Calls read and
// write all fields without locks.
type EndpointStats struct {
	// InFlight is the number of this node's in-flight calls to the endpoint.
	InFlight atomic.Int64
	// Latency is the moving average of response times in nanoseconds, 0 before the
	// first response.
	Latency atomic.Int64
	// ConsecutiveFailures is the number of calls in a row that failed.
	ConsecutiveFailures atomic.Int64
	// ErrorRate is the moving share of responses that were errors, in thousandths.
	ErrorRate atomic.Int64
	// EjectedUntil is the time until which the endpoint gets no calls because it
	// was ejected, in nanoseconds of the Unix epoch; 0 if that has not happened.
	// Panic mode ignores it.
	EjectedUntil atomic.Int64
	// LeavingUntil is the time until which the endpoint gets no calls because it
	// refused one as leaving or gone, in nanoseconds of the Unix epoch; 0 if that
	// has not happened. It holds in panic mode too: the refusal is certain.
	LeavingUntil atomic.Int64
	// ConsecutiveEjections is the number of ejections in a row; each lasts longer
	// than the one before.
	ConsecutiveEjections atomic.Int64
	// ReportedLoad is the load that the target's node last reported: milliseconds
	// of the Unix epoch in the upper 48 bits, calls in the lower 16; 0 if none was
	// reported.
	ReportedLoad atomic.Int64
	// FullUntil is the time until which the endpoint counts as full, in nanoseconds
	// of the Unix epoch; 0 if it does not.
	FullUntil atomic.Int64
	// RoomAt has, for each rank, the time at which the queue of the
	// endpoint is expected to be empty for a call of that rank, in nanoseconds of
	// the Unix epoch; 0 if it refused none.
	RoomAt [RoomLevels]atomic.Int64
	// UnreachableUntil is the time until which the endpoint gets no calls because no
	// connection to it could be opened, in nanoseconds of the Unix epoch; 0 if that
	// has not happened.
	UnreachableUntil atomic.Int64
	// FirstSeen is when the endpoint was first seen, in nanoseconds of the Unix
	// epoch.
	FirstSeen atomic.Int64
	// Calls, Refusals and Errors are totals since the endpoint was first seen.
	Calls, Refusals, Errors atomic.Int64
}
