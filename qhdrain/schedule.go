// Package qhdrain decides which calls a node still takes and sends while it shuts down, so
// that none is cut by the end of the process.
package qhdrain

import "time"

const (
	// reserveShare is the part of the shutdown timeout that is left after in-flight calls
	// are cancelled: for their responses, outcomes that are still to be stored and the end
	// of the process.
	reserveShare = 0.05
	// maxDelayShare is the part of the shutdown timeout that the shutdown delay is bounded
	// to, so that the calls taken last have time to finish.
	maxDelayShare = 0.5
	// deadlineTolerance is how much later than its parent's deadline that of a nested call
	// may seem to be, because both are sent as rounded durations.
	deadlineTolerance = 50 * time.Millisecond
)

// Schedule has the moments of a shutdown, in ascending order.
type Schedule struct {
	// RefuseAt is when new calls of callers are refused, except those that in-flight calls
	// at targets of this VM may have made.
	RefuseAt time.Time
	// CancelAt is when the calls in flight are cancelled.
	CancelAt time.Time
	// End is when the process is killed.
	End time.Time
}

// NewSchedule returns the schedule of a shutdown that starts now and may last for the
// timeout. Callers are served for the delay.
func NewSchedule(now time.Time, delay, timeout time.Duration) Schedule {
	return Schedule{
		RefuseAt: now.Add(min(delay, time.Duration(maxDelayShare*float64(timeout)))),
		CancelAt: now.Add(time.Duration((1 - reserveShare) * float64(timeout))),
		End:      now.Add(timeout),
	}
}

// Call is what is known of a call before it is sent.
type Call struct {
	// Deadline is when the call ends at the latest.
	Deadline time.Time
	// CallerDeadline is the deadline that the caller sent; zero if it sent none. It may be
	// later than Deadline.
	CallerDeadline time.Time
	// Expected is how long calls of the route take; 0 if unknown.
	Expected time.Duration
	// FromCallers is set if the route is known to have calls that no target made.
	FromCallers bool
}

// CanFinish reports whether the call ends before in-flight calls are cancelled: certainly,
// because its deadline is earlier, or as far as the duration of other calls tells.
func (s Schedule) CanFinish(now time.Time, c Call) bool {
	return s.endsInTime(c) || !now.Add(c.Expected).After(s.CancelAt)
}

// endsInTime reports whether the call's deadline ends it before in-flight calls are
// cancelled.
func (s Schedule) endsInTime(c Call) bool { return !c.Deadline.After(s.CancelAt) }

// Accepts reports whether a new call of a caller is taken. lastRun is the latest deadline
// of the in-flight calls at targets of this VM, zero if there are none.
func (s Schedule) Accepts(now time.Time, c Call, lastRun time.Time) bool {
	switch {
	case now.Before(s.RefuseAt):
		return s.CanFinish(now, c)
	case !c.mayBeNested(lastRun):
		return false
	case c.CallerDeadline.IsZero():
		return s.CanFinish(now, c)
	default:
		return s.endsInTime(c)
	}
}

// mayBeNested reports whether an in-flight call at a target of this VM may have made the
// call: a nested call has no later deadline than its parent.
func (c Call) mayBeNested(lastRun time.Time) bool {
	if lastRun.IsZero() {
		return false
	}
	if c.CallerDeadline.IsZero() {
		return !c.FromCallers
	}
	return !c.CallerDeadline.After(lastRun.Add(deadlineTolerance))
}
