package qhguard

import (
	"slices"
	"time"

	"quetzalhaven.dev/qhdecision"
)

// waiter is a call that waits for a slot.
type waiter struct {
	// deadline is zero for none.
	deadline time.Time
	// decided is closed once the waiter was admitted or refused.
	decided chan struct{}
	// refusal is set before decided is closed, nil where admitted.
	refusal *Refusal
}

// before tells whether deadline a is earlier than b, where zero is never.
func before(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}

// ahead returns how many waiters go before a deadline. The lock is held.
func (g *Guard) ahead(deadline time.Time) int {
	ahead := len(g.queue)
	for ahead > 0 && before(deadline, g.queue[ahead-1].deadline) {
		ahead--
	}
	return ahead
}

// enqueue puts w behind those of the same deadline. The lock is held.
func (g *Guard) enqueue(w *waiter) {
	g.queue = slices.Insert(g.queue, g.ahead(w.deadline), w)
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
		w := g.queue[0]
		g.queue = slices.Delete(g.queue, 0, 1)
		if !w.deadline.IsZero() && now.Add(g.mean/2).After(w.deadline) {
			w.refusal = &Refusal{Reason: qhdecision.Late, After: g.waitFor(len(g.queue)) + minAfter}
		} else {
			g.running++
		}
		close(w.decided)
	}
}
