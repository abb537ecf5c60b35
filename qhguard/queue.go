package qhguard

import (
	"slices"
	"time"

	"quetzalhaven.dev/qhdecision"
)

// waiter is a call that waits for a slot.
type waiter struct {
	ask AdmissionRequest
	// deadline is zero for none.
	deadline time.Time
	// decided is closed once the waiter was admitted or refused.
	decided chan struct{}
	// refusal and pass are set before decided is closed, one of them.
	refusal *Refusal
	pass    *Permit
}

// refuse ends the wait without a slot.
func (w *waiter) refuse(refusal *Refusal) {
	w.refusal = refusal
	close(w.decided)
}

// due is until when an answer is of full use, at the latest the deadline.
func (w *waiter) due() time.Time {
	if before(w.ask.ObjectiveDeadline, w.deadline) {
		return w.ask.ObjectiveDeadline
	}
	return w.deadline
}

// before tells whether time a is earlier than b, where zero is never.
func before(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}

// goesBefore tells whether w gets a slot before other: the more urgent one, then
// the one whose answer is due earlier.
func (w *waiter) goesBefore(other *waiter) bool {
	if w.ask.Priority != other.ask.Priority {
		return w.ask.Priority < other.ask.Priority
	}
	return before(w.due(), other.due())
}

// ahead returns how many waiters go before w. The lock is held.
func (g *Guard) ahead(w *waiter) int {
	ahead := len(g.queue)
	for ahead > 0 && w.goesBefore(g.queue[ahead-1]) {
		ahead--
	}
	return ahead
}

// enqueue puts w behind those that go before it. The lock is held.
func (g *Guard) enqueue(w *waiter) {
	g.queue = slices.Insert(g.queue, g.ahead(w), w)
}

// abandon takes w out of the queue, or returns false where it was decided.
func (g *Guard) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.queue, w)
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}

// admit fills the free slots from the queue. Waiters that can no longer be
// answered in time are refused. The lock is held.
func (g *Guard) admit(now time.Time) {
	for len(g.queue) > 0 && g.running < g.slots() {
		i := g.next(now)
		w := g.queue[i]
		g.queue = slices.Delete(g.queue, i, i+1)
		if !w.deadline.IsZero() && now.Add(g.meanOf(w.ask.Route)/2).After(w.deadline) {
			w.refuse(&Refusal{Reason: qhdecision.Late, RetryAfter: g.waitFor(len(g.queue)) + minAfter})
			continue
		}
		w.pass = g.enter(w.ask, now)
		close(w.decided)
	}
}

// next returns the waiter that gets the next slot: of those whose answers can
// still be of full use the first one of a starved priority, else the first. Only
// where no answer can be of full use it is the first of all. The lock is held.
func (g *Guard) next(now time.Time) int {
	first := -1
	for i, w := range g.queue {
		due := w.due()
		if !due.IsZero() && now.Add(g.meanOf(w.ask.Route)/2).After(due) {
			continue
		}
		if g.fair.starved(w.ask.Priority) {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return max(first, 0)
}

// waitOf returns how long w is expected to wait for a slot. One whose answer is
// late already goes behind all others. The lock is held.
func (g *Guard) waitOf(now time.Time, w *waiter) time.Duration {
	if due := w.due(); !due.IsZero() && now.After(due) {
		return g.waitFor(len(g.queue))
	}
	ahead := g.ahead(w)
	if !g.fair.starved(w.ask.Priority) {
		return g.waitFor(ahead)
	}
	own := 0
	for _, other := range g.queue[:ahead] {
		if other.ask.Priority == w.ask.Priority {
			own++
		}
	}
	return g.waitFor(own)
}
