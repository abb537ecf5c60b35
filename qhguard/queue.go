package qhguard

import (
	"slices"
	"time"

	"quetzalhaven.dev/qhdecision"
)

// waiter is a queued call.
type waiter struct {
	request AdmissionRequest
	// deadline is zero if the call has none.
	deadline time.Time
	// serviceTime is how long the call is expected to occupy a slot.
	serviceTime time.Duration
	// decided is closed once the call was admitted or refused.
	decided chan struct{}
	// Either refusal or permit is set before decided is closed.
	refusal *Refusal
	permit  *Permit
}

// refuse ends the wait with a refusal.
func (w *waiter) refuse(refusal *Refusal) {
	w.refusal = refusal
	close(w.decided)
}

// responseDeadline returns the objective deadline or the deadline of the call,
// whichever is earlier. Zero means neither is set.
func (w *waiter) responseDeadline() time.Time {
	if isEarlier(w.request.ObjectiveDeadline, w.deadline) {
		return w.request.ObjectiveDeadline
	}
	return w.deadline
}

// isEarlier reports whether a is before b, where a zero time means never.
func isEarlier(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}

// precedes reports whether w gets a slot before other: by priority, then by
// response deadline.
func (w *waiter) precedes(other *waiter) bool {
	if w.request.Priority != other.request.Priority {
		return w.request.Priority < other.request.Priority
	}
	return isEarlier(w.responseDeadline(), other.responseDeadline())
}

// countAhead returns the number of queued calls that precede w. The lock is held.
func (g *Guard) countAhead(w *waiter) int {
	ahead := len(g.queue)
	for ahead > 0 && w.precedes(g.queue[ahead-1]) {
		ahead--
	}
	return ahead
}

// enqueue inserts w into the queue and keeps the queue ordered. The lock is
// held.
func (g *Guard) enqueue(w *waiter) {
	g.queue = slices.Insert(g.queue, g.countAhead(w), w)
}

// dequeue removes w from the queue. It returns false if w was already admitted
// or refused.
func (g *Guard) dequeue(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.queue, w)
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}

// admitQueued fills free slots from the queue, as far as the pacer allows it, and
// refuses calls that can no longer meet their deadline. The lock is held.
func (g *Guard) admitQueued(now time.Time) {
	for len(g.queue) > 0 && g.canAdmit(now) {
		i := g.nextWaiter(now)
		w := g.queue[i]
		g.queue = slices.Delete(g.queue, i, i+1)
		if g.isPastEnd(now, w) {
			w.refuse(&Refusal{Reason: qhdecision.Leaving, RetryAfter: minRetryAfter})
			continue
		}
		// A call may be faster than average: it is refused only if less than
		// half of the average service time is left.
		if !w.deadline.IsZero() && now.Add(g.serviceTimeOf(w.request.Route)/2).After(w.deadline) {
			w.refuse(&Refusal{Reason: qhdecision.Late, RetryAfter: g.expectedWaitBehind(now, g.queue, w.request.Priority) + minRetryAfter})
			continue
		}
		w.permit = g.occupySlot(w.request, now)
		close(w.decided)
	}
	g.schedulePaced(now)
}

// nextWaiter returns the index of the call that gets the next slot. Of the
// calls that can still meet their response deadline, it is the first one whose
// priority is starved or, if there is none, the first one. If no call can meet
// its response deadline, it is the first call in the queue. The lock is held.
func (g *Guard) nextWaiter(now time.Time) int {
	first := -1
	for i, w := range g.queue {
		deadline := w.responseDeadline()
		// A call may be faster than average: it is skipped only if less than half
		// of the average service time is left.
		if !deadline.IsZero() && now.Add(g.serviceTimeOf(w.request.Route)/2).After(deadline) {
			continue
		}
		if g.fairness.isStarved(w.request.Priority) {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return max(first, 0)
}

// expectedWait estimates the queue wait of w. A call that is past its response
// deadline waits behind all others. The lock is held.
func (g *Guard) expectedWait(now time.Time, w *waiter) time.Duration {
	if deadline := w.responseDeadline(); !deadline.IsZero() && now.After(deadline) {
		return g.expectedWaitBehind(now, g.queue, w.request.Priority)
	}
	ahead := g.queue[:g.countAhead(w)]
	if !g.fairness.isStarved(w.request.Priority) {
		return g.expectedWaitBehind(now, ahead, w.request.Priority)
	}
	var samePriority []*waiter
	for _, other := range ahead {
		if other.request.Priority == w.request.Priority {
			samePriority = append(samePriority, other)
		}
	}
	return g.expectedWaitBehind(now, samePriority, mostUrgent)
}

// expectedWaitBehind estimates the queue wait of a call of the priority behind others:
// their work, done by the slots that more urgent calls leave, which also come while the
// call waits. The lock is held.
func (g *Guard) expectedWaitBehind(now time.Time, ahead []*waiter, priority int) time.Duration {
	work := g.meanServiceTime // until a slot is free
	for _, w := range ahead {
		work += w.serviceTime
	}
	return g.expectedWaitFor(now, work, len(ahead), priority)
}

// expectedWaitFor is expectedWaitBehind for a number of calls ahead whose work is known.
// The lock is held.
func (g *Guard) expectedWaitFor(now time.Time, work time.Duration, ahead, priority int) time.Duration {
	slots := g.slots()
	left := max(minSlotShare, 1-g.fairness.urgentShare(priority, slots))
	forSlot := time.Duration(float64(work) / (left * float64(slots)))
	if !g.pacer.isLimited() {
		return forSlot
	}
	if g.running+ahead < slots {
		forSlot = 0
	}
	return max(forSlot, g.pacer.wait(now, ahead))
}
