// Package qhguard admits calls to the targets of the node's VM: as many at a
// time as a target has slots, and a bounded queue that is ordered by deadline.
// It sees every call to a target, so what it refuses has not run.
package qhguard

import (
	"context"
	"sync"
	"time"

	"quetzalhaven.dev/qhconn"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	// defaultSlots is for a target that announces none.
	defaultSlots = 8
	// defaultConnections is for a target that announces none.
	defaultConnections = 120
	// queuePerSlot bounds the queue of a service that sets none.
	queuePerSlot = 8
	// coldShare is the part of its slots that a cold target uses.
	coldShare = 4
	// meanWeight is the weight of older answers in the mean service time.
	meanWeight = 7
	// minAfter is the shortest time after which to come back.
	minAfter = time.Second
)

// Announcement is what a target says of itself.
type Announcement struct {
	ID      qhid.Target  `json:"id"`
	Service qhid.Service `json:"service"`
	// Address is where the target takes HTTP/1.1 calls.
	Address qhid.Address `json:"address"`
	// Slots is how many calls the target runs at a time.
	Slots int `json:"slots"`
	// Connections bounds the open connections to the target.
	Connections int            `json:"connections"`
	State       qhmember.State `json:"state"`
}

// Limits is what the configuration says of a target's service; 0 is unset.
type Limits struct {
	Slots       int
	Queue       int
	Connections int
}

// Guard admits the calls of one target.
type Guard struct {
	conns *qhconn.Pool

	mu sync.Mutex
	// announcement is the newest.
	announcement Announcement
	// limits are those of the newest call.
	limits Limits
	// running is at most the slots, but for calls admitted before they shrank.
	running int
	// queue is ordered by deadline and empty while slots are free.
	queue []*waiter
	// mean is the moving average of service times, 0 before the first.
	mean time.Duration
	// stopped refuses everything new.
	stopped bool
}

// Load is how many calls a target has.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}

// newGuard returns the guard of an announced target.
func newGuard(a Announcement, conns *qhconn.Pool) *Guard {
	return &Guard{announcement: a, conns: conns}
}

// Announcement returns the newest announcement.
func (g *Guard) Announcement() Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.announcement
}

// Load returns how many calls the target has.
func (g *Guard) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Running: g.running, Queued: len(g.queue), Slots: g.slots()}
}

// Conns returns the connections to the target.
func (g *Guard) Conns() *qhconn.Pool { return g.conns }

// Enter waits for a slot. It returns a pass whose Leave must be called once, or
// a *Refusal when the call was not admitted. The context needs a deadline.
func (g *Guard) Enter(ctx context.Context, limits Limits) (*Pass, error) {
	deadline, _ := ctx.Deadline()
	now := time.Now()
	g.mu.Lock()
	g.limits = limits
	if refusal := g.refuse(now, deadline); refusal != nil {
		g.mu.Unlock()
		return nil, refusal
	}
	if g.running < g.slots() && len(g.queue) == 0 {
		g.running++
		g.mu.Unlock()
		return &Pass{guard: g, start: now}, nil
	}
	w := &waiter{deadline: deadline, decided: make(chan struct{})}
	g.enqueue(w)
	g.admit(now) // the limits of this call may leave more slots
	g.mu.Unlock()
	return g.wait(ctx, w)
}

// wait returns once the waiter was admitted, refused, or its context ended.
func (g *Guard) wait(ctx context.Context, w *waiter) (*Pass, error) {
	select {
	case <-w.decided:
	case <-ctx.Done():
		if g.abandon(w) {
			return nil, &Refusal{Reason: reasonOf(ctx), After: minAfter}
		}
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return &Pass{guard: g, start: time.Now()}, nil
}

// reasonOf tells why a context ended.
func reasonOf(ctx context.Context) qhdecision.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return qhdecision.Late
	}
	return qhdecision.Gone
}

// refuse returns why a new call is not admitted, or nil. The lock is held.
func (g *Guard) refuse(now, deadline time.Time) *Refusal {
	if g.stopped || g.announcement.State == qhmember.Leaving {
		return &Refusal{Reason: qhdecision.Leaving, After: minAfter}
	}
	if !deadline.IsZero() && !now.Before(deadline) {
		return &Refusal{Reason: qhdecision.Late, After: minAfter}
	}
	slots := g.slots()
	if g.running < slots && len(g.queue) == 0 {
		return nil
	}
	if len(g.queue) >= g.queueBound(slots) {
		return &Refusal{Reason: qhdecision.Busy, After: g.waitFor(len(g.queue)) + minAfter}
	}
	wait := g.waitFor(g.ahead(deadline))
	if !deadline.IsZero() && now.Add(wait+g.mean).After(deadline) {
		return &Refusal{Reason: qhdecision.Late, After: wait + minAfter}
	}
	return nil
}

// slots returns how many calls may run now. The lock is held.
func (g *Guard) slots() int {
	slots := g.announcement.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	if g.limits.Slots > 0 {
		slots = min(slots, g.limits.Slots)
	}
	slots = min(slots, g.connections())
	if g.announcement.State == qhmember.Cold {
		slots = max(1, slots/coldShare)
	}
	return slots
}

// connections returns the bound of open connections. The lock is held.
func (g *Guard) connections() int {
	connections := g.announcement.Connections
	if connections <= 0 {
		connections = defaultConnections
	}
	if g.limits.Connections > 0 {
		connections = min(connections, g.limits.Connections)
	}
	return connections
}

// queueBound returns how many calls may wait. The lock is held.
func (g *Guard) queueBound(slots int) int {
	if g.limits.Queue > 0 {
		return g.limits.Queue
	}
	return slots * queuePerSlot
}

// waitFor returns how long a call waits behind ahead others. The lock is held.
func (g *Guard) waitFor(ahead int) time.Duration {
	return g.mean * time.Duration(ahead+1) / time.Duration(g.slots())
}

// leave gives a slot back and admits who is next.
func (g *Guard) leave(start time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	took := time.Since(start)
	if g.mean == 0 {
		g.mean = took
	}
	g.mean = (g.mean*meanWeight + took) / (meanWeight + 1)
	g.running--
	g.admit(time.Now())
}

// update takes a newer announcement of the target.
func (g *Guard) update(a Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announcement = a
	g.conns.SetLimit(g.connections())
	g.admit(time.Now())
}

// stop refuses everything new. What runs or waits goes on.
func (g *Guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
}

// Pass is a slot in use.
type Pass struct {
	guard *Guard
	start time.Time
}

// Leave gives the slot back.
func (p *Pass) Leave() { p.guard.leave(p.start) }
