// Package qhguard admits calls to the targets of the node's VM: as many at a
// time as a target has slots, and a bounded queue that is ordered by deadline.
// It sees every call to a target, so what it refuses has not run.
package qhguard

import (
	"context"
	"math"
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
	minAfter = 50 * time.Millisecond
	// overdueTimes is how many times its average a call takes before its slot
	// counts as free, and overdueMin the shortest such time.
	overdueTimes = 4
	overdueMin   = 200 * time.Millisecond
	// brokenSpan is how long a target that can't be reached gets no calls.
	brokenSpan = 200 * time.Millisecond
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
	// means has the averages by route.
	means map[qhid.Route]time.Duration
	// broken is until when the target counts as out of reach.
	broken time.Time
	// fair has how often each priority was served lately.
	fair fairness
	// drain is how long a target that leaves takes what waits; 0 for no bound.
	drain time.Duration
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
	return &Guard{announcement: a, conns: conns, means: make(map[qhid.Route]time.Duration)}
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

// AdmissionRequest is what a call asks of a target.
type AdmissionRequest struct {
	Limits
	Route qhid.Route
	// Priority ranks the call; 0 is the most urgent.
	Priority int
	// ObjectiveDeadline is until when an answer is of full use; zero where nothing is said.
	ObjectiveDeadline time.Time
	// MaxQueueWait is how long the call may wait here rather than be refused at once,
	// because another target may take it; 0 is up to its deadline.
	MaxQueueWait time.Duration
}

// Enter is Admit for a call that says nothing of itself.
func (g *Guard) Enter(ctx context.Context, limits Limits) (*Permit, error) {
	return g.Admit(ctx, AdmissionRequest{Limits: limits})
}

// Admit waits for a slot. It returns a pass whose Leave must be called once, or
// a *Refusal when the call was not admitted. The context needs a deadline.
func (g *Guard) Admit(ctx context.Context, ask AdmissionRequest) (*Permit, error) {
	deadline, _ := ctx.Deadline()
	now := time.Now()
	w := &waiter{ask: ask, deadline: deadline, decided: make(chan struct{})}
	g.mu.Lock()
	g.limits = ask.Limits
	g.fair.ask(now, ask.Priority)
	if refusal := g.refuse(now, w); refusal != nil {
		g.mu.Unlock()
		return nil, refusal
	}
	if g.running < g.slots() && len(g.queue) == 0 {
		pass := g.enter(ask, now)
		g.mu.Unlock()
		return pass, nil
	}
	g.enqueue(w)
	g.admit(now) // the limits of this call may leave more slots
	g.refuseHopeless(now)
	g.mu.Unlock()
	return g.wait(ctx, w)
}

// wait returns once the waiter was admitted, refused, or its context ended.
func (g *Guard) wait(ctx context.Context, w *waiter) (*Permit, error) {
	select {
	case <-w.decided:
	case <-ctx.Done():
		if g.abandon(w) {
			return nil, &Refusal{Reason: reasonOf(ctx), RetryAfter: minAfter}
		}
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.pass, nil
}

// reasonOf tells why a context ended.
func reasonOf(ctx context.Context) qhdecision.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return qhdecision.Late
	}
	return qhdecision.CallerGone
}

// refuse returns why a new call is not admitted, or nil. The lock is held.
func (g *Guard) refuse(now time.Time, w *waiter) *Refusal {
	if g.stopped || g.announcement.State == qhmember.Leaving {
		return &Refusal{Reason: qhdecision.Leaving, RetryAfter: minAfter}
	}
	if now.Before(g.broken) {
		return &Refusal{Reason: qhdecision.ConnectFailed, RetryAfter: minAfter}
	}
	if !w.deadline.IsZero() && !now.Before(w.deadline) {
		return &Refusal{Reason: qhdecision.Late, RetryAfter: minAfter}
	}
	slots := g.slots()
	if g.running < slots && len(g.queue) == 0 {
		return nil
	}
	if len(g.queue) >= g.queueBound(slots) {
		return &Refusal{Reason: qhdecision.Busy, RetryAfter: g.waitFor(len(g.queue)) + minAfter}
	}
	wait := g.waitOf(now, w)
	if w.ask.MaxQueueWait > 0 && wait > w.ask.MaxQueueWait {
		return &Refusal{Reason: qhdecision.Busy, RetryAfter: wait + minAfter}
	}
	if wait > g.useful(now, w) {
		return &Refusal{Reason: qhdecision.Late, RetryAfter: wait + minAfter}
	}
	return nil
}

const (
	// dueShare is the part of the time until a call has to be begun that it may
	// wait, since calls take longer than their average as often as not.
	dueShare = 0.75
	// lateShare is the part of the time to its deadline that a call may wait whose
	// answer comes too late to be of full use.
	lateShare = 0.1
)

// useful returns how long the wait of a call may be: so that its answer is due in
// time, or where that can't be, a small part of the time that it has. The lock
// is held.
func (g *Guard) useful(now time.Time, w *waiter) time.Duration {
	mean := g.meanOf(w.ask.Route)
	if w.deadline.IsZero() {
		return math.MaxInt64
	}
	rest := w.deadline.Sub(now) - mean
	if w.ask.ObjectiveDeadline.IsZero() {
		return rest
	}
	if toDue := w.due().Sub(now) - mean; toDue > 0 {
		return min(rest, time.Duration(dueShare*float64(toDue)))
	}
	return time.Duration(lateShare * float64(rest))
}

// refuseHopeless refuses those in the queue that would get a slot too late for
// their deadlines, since more urgent ones came. The lock is held.
func (g *Guard) refuseHopeless(now time.Time) {
	kept := g.queue[:0]
	for _, w := range g.queue {
		start := now.Add(g.waitFor(len(kept)))
		if !w.deadline.IsZero() && start.Add(g.meanOf(w.ask.Route)/2).After(w.deadline) {
			w.refuse(&Refusal{Reason: qhdecision.Late, RetryAfter: g.waitFor(len(g.queue)) + minAfter})
			continue
		}
		kept = append(kept, w)
	}
	clear(g.queue[len(kept):])
	g.queue = kept
}

// meanOf returns how long a call of the route takes on average, that of all
// calls before the first one. The lock is held.
func (g *Guard) meanOf(route qhid.Route) time.Duration {
	if mean, ok := g.means[route]; ok {
		return mean
	}
	return g.mean
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

// enter takes a slot for a call. Where the call takes far longer
// than usual its answer was probably lost, and the slot counts as free again.
// The lock is held.
func (g *Guard) enter(ask AdmissionRequest, now time.Time) *Permit {
	g.running++
	g.fair.serve(ask.Priority)
	pass := &Permit{guard: g, route: ask.Route, start: now}
	if mean := g.meanOf(ask.Route); mean > 0 {
		pass.overdue = time.AfterFunc(max(overdueMin, overdueTimes*mean), pass.reclaimSlot)
	}
	return pass
}

// leave gives a slot back and admits who is next.
func (g *Guard) leave(p *Permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	took := time.Since(p.start)
	g.mean = averaged(g.mean, took)
	if p.route != "" {
		g.means[p.route] = averaged(g.means[p.route], took)
	}
	g.free(p)
}

// free counts the slot of a pass as free, once. The lock is held.
func (g *Guard) free(p *Permit) {
	if p.freed {
		return
	}
	p.freed = true
	g.running--
	g.admit(time.Now())
}

// averaged returns the moving average with one more value.
func averaged(mean, took time.Duration) time.Duration {
	if mean == 0 {
		return took
	}
	return (mean*meanWeight + took) / (meanWeight + 1)
}

// MarkUnreachable notes that the target could not be reached. Calls are refused for a
// moment, so that others take them.
func (g *Guard) MarkUnreachable() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = time.Now().Add(brokenSpan)
}

// update takes a newer announcement of the target.
func (g *Guard) update(a Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announcement = a
	g.conns.SetLimit(g.connections())
	if a.State == qhmember.Leaving {
		g.endQueue()
	}
	g.admit(time.Now())
}

// refuseAll empties the queue. The lock is held.
func (g *Guard) refuseAll(reason qhdecision.Reason) {
	for _, w := range g.queue {
		w.refuse(&Refusal{Reason: reason, RetryAfter: minAfter})
	}
	g.queue = nil
}

// endQueue gives what waits the time that a leaving target takes calls for. The
// lock is held.
func (g *Guard) endQueue() {
	if g.drain == 0 || len(g.queue) == 0 {
		return
	}
	time.AfterFunc(g.drain, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.stopped || g.announcement.State == qhmember.Leaving {
			g.refuseAll(qhdecision.Leaving)
		}
	})
}

// stop refuses everything new. What runs goes on, and what waits for the time
// that a leaving target takes calls.
func (g *Guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.endQueue()
}

// Permit is a slot in use.
type Permit struct {
	guard *Guard
	route qhid.Route
	start time.Time
	// freed is set once the slot counts as free. The guard's lock protects it.
	freed bool
	// overdue frees the slot of a call that takes too long; nil for none.
	overdue *time.Timer
}

// Release gives the slot back.
func (p *Permit) Release() {
	if p.overdue != nil {
		p.overdue.Stop()
	}
	p.guard.leave(p)
}

// reclaimSlot counts the slot as free while the call goes on.
func (p *Permit) reclaimSlot() {
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	p.guard.free(p)
}
