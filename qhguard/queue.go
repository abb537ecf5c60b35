package qhguard

import (
	"math"
	"slices"
	"time"

	"quetzalhaven.dev/qhdecision"
)

// waiter is a call that waits for a slot.
type waiter struct {
	ask Ask
	// deadline is zero for none.
	deadline time.Time
	// decided is closed once the waiter was admitted or refused.
	decided chan struct{}
	// refusal and pass are set before decided is closed, one of them.
	refusal *Refusal
	pass    *Pass
}

// refuse ends the wait without a slot.
func (w *waiter) refuse(refusal *Refusal) {
	w.refusal = refusal
	close(w.decided)
}

// due is until when an answer is of full use, at the latest the deadline.
func (w *waiter) due() time.Time {
	if before(w.ask.Due, w.deadline) {
		return w.ask.Due
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
			w.refuse(&Refusal{Reason: qhdecision.Late, After: g.waitFor(len(g.queue)) + minAfter})
			continue
		}
		g.charge(w)
		w.pass = g.enter(w.ask.Route, now)
		close(w.decided)
	}
}

// weight is the part of the slots that a priority gets while all are short of
// room, in relation to the others: half of that of the one before.
func weight(priority int) float64 { return math.Exp2(-float64(min(priority, maxWeighed))) }

// maxWeighed is the last priority that has a weight of its own.
const maxWeighed = 8

// next returns the waiter that gets the next slot. Of each priority it is the
// first one whose answer can still be of full use; among them, that of the
// priority that had least of its part. Only where no answer can be of full use
// it is the first. The lock is held.
func (g *Guard) next(now time.Time) int {
	best, least := -1, 0.0
	for i, w := range g.queue {
		if i > 0 && g.queue[i-1].ask.Priority == w.ask.Priority && best >= 0 && g.queue[best].ask.Priority == w.ask.Priority {
			continue
		}
		due := w.due()
		if !due.IsZero() && now.Add(g.meanOf(w.ask.Route)/2).After(due) {
			continue
		}
		if used := g.used[min(w.ask.Priority, maxWeighed)]; best < 0 || used < least {
			best, least = i, used
		}
	}
	return max(best, 0)
}

// charge counts a slot that went to a waiter against its priority. A priority
// that had nobody waiting starts level with the others. The lock is held.
func (g *Guard) charge(w *waiter) {
	p := min(w.ask.Priority, maxWeighed)
	level := g.used[p]
	for _, other := range g.queue {
		level = max(level, g.used[min(other.ask.Priority, maxWeighed)]-float64(g.meanOf(other.ask.Route)))
	}
	g.used[p] = level + float64(g.meanOf(w.ask.Route))/weight(w.ask.Priority)
}

// waitOf returns how long w is expected to wait for a slot. The lock is held.
func (g *Guard) waitOf(w *waiter) time.Duration {
	ahead := g.ahead(w)
	own, shares := 0, weight(w.ask.Priority)
	last := w.ask.Priority
	for i, other := range g.queue {
		if other.ask.Priority == w.ask.Priority {
			if i < ahead {
				own++
			}
			continue
		}
		if other.ask.Priority != last {
			last = other.ask.Priority
			shares += weight(other.ask.Priority)
		}
	}
	shared := time.Duration(float64(g.waitFor(own)) * shares / weight(w.ask.Priority))
	return min(shared, g.waitFor(len(g.queue)))
}
