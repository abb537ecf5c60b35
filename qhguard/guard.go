// Package qhguard does admission control for the targets on the node's VM. Each
// target has at most as many admitted calls as it has slots, not counting overdue
// ones (see reclaimFactor), and no more calls a second than the rate limit that it
// names; further calls wait in a bounded queue ordered by priority and deadline.
// Every call to a target passes through its guard, so a refused call is known not to
// have been executed.
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
	// defaultSlots applies to targets that announce no slots. Package qhbalance
	// assumes the same number.
	defaultSlots = 8
	// defaultConnections applies to targets that announce no connection limit.
	defaultConnections = 120
	// queuedCallsPerSlot sizes the queue of services that configure none.
	queuedCallsPerSlot = 8
	// coldSlotDivisor reduces the slots of a cold target.
	coldSlotDivisor = 4
	// meanPriorWeight is the weight of the previous average in the moving average
	// of service times; a new value has weight 1.
	meanPriorWeight = 7
	// minRetryAfter is the shortest retry delay that a refusal suggests.
	minRetryAfter = 50 * time.Millisecond
	// A call that runs for reclaimFactor times its average service time, and at
	// least minReclaimDelay, is overdue: its slot is reclaimed for other calls.
	reclaimFactor   = 4
	minReclaimDelay = 200 * time.Millisecond
	// unreachableDuration is how long an unreachable target gets no calls.
	unreachableDuration = 200 * time.Millisecond
)

// TargetInfo describes a target of this VM as the target announced it.
type TargetInfo struct {
	ID      qhid.Target  `json:"id"`
	Service qhid.Service `json:"service"`
	// Address accepts HTTP/1.1 calls.
	Address qhid.Address `json:"address"`
	// Slots is the number of calls that the target runs concurrently.
	Slots int `json:"slots"`
	// MaxConnections is the maximum number of open connections to the target.
	MaxConnections int `json:"connections"`
	// Software is the version of the target's software; empty if unknown.
	Software qhid.Software  `json:"software,omitempty"`
	State    qhmember.State `json:"state"`
	// ColdUntil is the end of the time for which the target is slow after its start.
	ColdUntil time.Time `json:"-"`
}

// Limits are the limits that the configuration sets for the target's service. 0
// means unset.
type Limits struct {
	Slots          int
	MaxQueue       int
	MaxConnections int
}

// Guard is the admission controller of one target. It is safe for concurrent use.
type Guard struct {
	conns *qhconn.Pool

	mu sync.Mutex
	// info is the target as it was last announced.
	info TargetInfo
	// limits are the limits passed with the latest call.
	limits Limits
	// running is the number of occupied slots. Overdue calls occupy none. It
	// exceeds the slots only by calls that were admitted before the slots were
	// reduced.
	running int
	// queue is ordered by priority, then by response deadline. It is empty while
	// slots are free and the pacer allows a call.
	queue []*waiter
	// pacer spaces out the calls of a target that names a rate limit.
	pacer pacer
	// paceTimer admits queued calls when the pacer allows the next one; nil if none
	// waits for it.
	paceTimer *time.Timer
	// hasResponded is set once a response has told whether the target has a rate
	// limit.
	hasResponded bool
	// meanServiceTime is the moving average over all calls, 0 before the first
	// one.
	meanServiceTime time.Duration
	// routeServiceTimes has the moving average of each route.
	routeServiceTimes map[qhid.Route]time.Duration
	// unreachableUntil is the time until which all calls are refused because a
	// connection to the target failed.
	unreachableUntil time.Time
	fairness         fairness
	// drainTimeout bounds how long calls stay queued at a leaving target; 0
	// means no bound.
	drainTimeout time.Duration
	// stopped makes the guard refuse new calls.
	stopped bool
	// endBy is when all calls have to have ended; zero means no bound.
	endBy time.Time
}

// Load counts the calls at a target. Running leaves out overdue calls (see
// reclaimFactor).
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
}

// newGuard returns a guard for an announced target with the given connections.
func newGuard(info TargetInfo, conns *qhconn.Pool) *Guard {
	return &Guard{info: info, conns: conns, routeServiceTimes: make(map[qhid.Route]time.Duration)}
}

// Info returns the target as it was last announced.
func (g *Guard) Info() TargetInfo {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.info
}

// Load returns the calls that are running and queued, and the slots.
func (g *Guard) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Running: g.running, Queued: len(g.queue), Slots: g.slots()}
}

// Conns returns the connection pool of the target.
func (g *Guard) Conns() *qhconn.Pool { return g.conns }

// AdmissionRequest describes a call that requests a slot.
type AdmissionRequest struct {
	Limits
	Route qhid.Route
	// Priority is the rank of the call, 0 for the most urgent ones. Calls of the same
	// priority in the configuration have qhmember.RanksPerPriority ranks.
	Priority int
	// ObjectiveDeadline is when the response has to begin to meet the route's
	// latency objective; zero means no objective.
	ObjectiveDeadline time.Time
	// MaxQueueWait makes the guard refuse the call immediately when the
	// expected queue wait is longer, so that the caller's node can try another
	// target. 0 means that only the deadline bounds the wait.
	MaxQueueWait time.Duration
}

// AdmitWithLimits calls Admit with no route, priority 0, no objective and no
// maximum queue wait.
func (g *Guard) AdmitWithLimits(ctx context.Context, limits Limits) (*Permit, error) {
	return g.Admit(ctx, AdmissionRequest{Limits: limits})
}

// Admit waits for a slot. It returns a permit, whose Release must be called
// exactly once, or a *Refusal when the call was not admitted. The deadline
// of ctx, if it has one, bounds the wait.
func (g *Guard) Admit(ctx context.Context, request AdmissionRequest) (*Permit, error) {
	deadline, _ := ctx.Deadline()
	now := time.Now()
	w := &waiter{request: request, deadline: deadline, decided: make(chan struct{})}
	g.mu.Lock()
	g.limits = request.Limits
	g.fairness.recordRequest(now, request.Priority)
	w.serviceTime = g.serviceTimeOf(request.Route)
	if refusal := g.checkAdmission(now, w); refusal != nil {
		g.mu.Unlock()
		return nil, refusal
	}
	if g.canAdmit(now) && len(g.queue) == 0 {
		permit := g.occupySlot(request, now)
		g.mu.Unlock()
		return permit, nil
	}
	g.enqueue(w)
	g.admitQueued(now) // the limits of this call may allow more slots
	g.refuseUnservable(now)
	g.mu.Unlock()
	return g.awaitDecision(ctx, w)
}

// awaitDecision blocks until the waiter was admitted or refused, or ctx is done.
func (g *Guard) awaitDecision(ctx context.Context, w *waiter) (*Permit, error) {
	select {
	case <-w.decided:
	case <-ctx.Done():
		if g.dequeue(w) {
			return nil, &Refusal{Reason: refusalReason(ctx), RetryAfter: minRetryAfter}
		}
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.permit, nil
}

// refusalReason returns the reason of a refusal because ctx is done.
func refusalReason(ctx context.Context) qhdecision.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return qhdecision.Late
	}
	return qhdecision.CallerGone
}

// checkAdmission returns the refusal of a new call, or nil if the call may run
// or be queued. The lock is held.
func (g *Guard) checkAdmission(now time.Time, w *waiter) *Refusal {
	if g.stopped || g.info.State == qhmember.Leaving {
		return &Refusal{Reason: qhdecision.Leaving, RetryAfter: minRetryAfter}
	}
	if now.Before(g.unreachableUntil) {
		return &Refusal{Reason: qhdecision.ConnectFailed, RetryAfter: minRetryAfter}
	}
	if !w.deadline.IsZero() && !now.Before(w.deadline) {
		return &Refusal{Reason: qhdecision.Late, RetryAfter: minRetryAfter}
	}
	if g.canAdmit(now) && len(g.queue) == 0 {
		return nil
	}
	full := qhdecision.Busy
	if g.pacer.isLimited() && g.running < g.slots() {
		full = qhdecision.RateLimited
	}
	if len(g.queue) >= g.queueLimit(g.slots()) {
		return &Refusal{Reason: full, RetryAfter: g.expectedWaitBehind(now, g.queue, w.request.Priority) + minRetryAfter}
	}
	wait := g.expectedWait(now, w)
	if w.request.MaxQueueWait > 0 && wait > w.request.MaxQueueWait {
		return &Refusal{Reason: full, RetryAfter: wait + minRetryAfter}
	}
	if wait > g.maxUsefulWait(now, w) {
		return &Refusal{Reason: qhdecision.Late, RetryAfter: wait + minRetryAfter}
	}
	return nil
}

const (
	// objectiveWaitShare is the part of the time that is left to start a call
	// within its latency objective that the call may spend in the queue. The
	// rest is reserve, because half of the calls take longer than the average
	// service time.
	objectiveWaitShare = 0.75
	// pastObjectiveWaitShare is the part of the time to its deadline that a
	// call may spend in the queue when it misses its latency objective in any
	// case.
	pastObjectiveWaitShare = 0.1
)

// maxUsefulWait returns the longest queue wait that lets the call meet its
// objective or, when that is impossible, a small part of the time to its
// deadline. The lock is held.
func (g *Guard) maxUsefulWait(now time.Time, w *waiter) time.Duration {
	mean := g.serviceTimeOf(w.request.Route)
	if w.deadline.IsZero() {
		return math.MaxInt64
	}
	remaining := w.deadline.Sub(now) - mean
	if w.request.ObjectiveDeadline.IsZero() {
		return remaining
	}
	if untilObjective := w.responseDeadline().Sub(now) - mean; untilObjective > 0 {
		return min(remaining, time.Duration(objectiveWaitShare*float64(untilObjective)))
	}
	return time.Duration(pastObjectiveWaitShare * float64(remaining))
}

// refuseUnservable refuses queued calls that would now get a slot too late to
// meet their deadlines, because more urgent calls were queued before them. The
// lock is held.
func (g *Guard) refuseUnservable(now time.Time) {
	kept := g.queue[:0]
	work := g.meanServiceTime // until a slot is free
	for _, w := range g.queue {
		start := now.Add(g.expectedWaitFor(now, work, len(kept), w.request.Priority))
		if g.isPastEnd(start, w) {
			w.refuse(&Refusal{Reason: qhdecision.Leaving, RetryAfter: minRetryAfter})
			continue
		}
		// A call may be faster than average: it is refused only if less than
		// half of the average service time would be left.
		if !w.deadline.IsZero() && start.Add(g.serviceTimeOf(w.request.Route)/2).After(w.deadline) {
			w.refuse(&Refusal{Reason: qhdecision.Late, RetryAfter: g.expectedWaitBehind(now, g.queue, w.request.Priority) + minRetryAfter})
			continue
		}
		kept = append(kept, w)
		work += w.serviceTime
	}
	clear(g.queue[len(kept):])
	g.queue = kept
}

// serviceTimeOf returns the average service time of the route, or of all calls if
// the route has none yet. The lock is held.
func (g *Guard) serviceTimeOf(route qhid.Route) time.Duration {
	if mean, ok := g.routeServiceTimes[route]; ok {
		return mean
	}
	return g.meanServiceTime
}

// canAdmit reports whether a slot is free and the pacer allows a call. The lock is
// held.
func (g *Guard) canAdmit(now time.Time) bool {
	return g.running < g.slots() && g.pacer.wait(now, 0) == 0
}

// slots returns the number of calls that may run now. The lock is held.
func (g *Guard) slots() int {
	slots := g.info.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	if g.limits.Slots > 0 {
		slots = min(slots, g.limits.Slots)
	}
	slots = min(slots, g.connectionLimit())
	if g.info.State == qhmember.Cold {
		slots = max(1, slots/coldSlotDivisor)
	}
	return slots
}

// connectionLimit returns the maximum number of open connections. The lock is
// held.
func (g *Guard) connectionLimit() int {
	connections := g.info.MaxConnections
	if connections <= 0 {
		connections = defaultConnections
	}
	if g.limits.MaxConnections > 0 {
		connections = min(connections, g.limits.MaxConnections)
	}
	return connections
}

// queueLimit returns the maximum queue length. The lock is held.
func (g *Guard) queueLimit(slots int) int {
	if g.limits.MaxQueue > 0 {
		return g.limits.MaxQueue
	}
	return slots * queuedCallsPerSlot
}

// occupySlot gives a slot to a call. The response to an overdue call was
// probably lost, so its slot is reclaimed before the call ends. The lock is
// held.
func (g *Guard) occupySlot(request AdmissionRequest, now time.Time) *Permit {
	g.running++
	g.pacer.take(now)
	g.fairness.recordAdmission(request.Priority)
	permit := &Permit{guard: g, route: request.Route, priority: request.Priority, start: now}
	if mean := g.serviceTimeOf(request.Route); mean > 0 {
		permit.overdueTimer = time.AfterFunc(max(minReclaimDelay, reclaimFactor*mean), permit.reclaimSlot)
	}
	return permit
}

// finishCall records the service time, frees the slot and admits queued calls.
func (g *Guard) finishCall(p *Permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	elapsed := time.Since(p.start)
	g.meanServiceTime = movingAverage(g.meanServiceTime, elapsed)
	g.fairness.recordWork(p.priority, elapsed)
	if p.route != "" {
		g.routeServiceTimes[p.route] = movingAverage(g.routeServiceTimes[p.route], elapsed)
	}
	g.freeSlot(p)
}

// freeSlot frees the slot of the permit unless that was done before. The lock is
// held.
func (g *Guard) freeSlot(p *Permit) {
	if p.freed {
		return
	}
	p.freed = true
	g.running--
	g.admitQueued(time.Now())
}

// movingAverage returns mean updated by the new value elapsed.
func movingAverage(mean, elapsed time.Duration) time.Duration {
	if mean == 0 {
		return elapsed
	}
	return (mean*meanPriorWeight + elapsed) / (meanPriorWeight + 1)
}

// MarkUnreachable records that the target could not be reached. All calls are
// refused for unreachableDuration, so that other targets get them.
func (g *Guard) MarkUnreachable() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachableUntil = time.Now().Add(unreachableDuration)
}

// update applies a new announcement of the target.
func (g *Guard) update(info TargetInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.info = info
	g.conns.SetLimit(g.connectionLimit())
	if info.State == qhmember.Leaving {
		g.refuseQueuedAfterDrain()
	}
	g.admitQueued(time.Now())
}

// refuseQueued refuses all queued calls. The lock is held.
func (g *Guard) refuseQueued(reason qhdecision.Reason) {
	for _, w := range g.queue {
		w.refuse(&Refusal{Reason: reason, RetryAfter: minRetryAfter})
	}
	g.queue = nil
}

// refuseQueuedAfterDrain refuses the calls that are still queued after the drain
// timeout. The lock is held.
func (g *Guard) refuseQueuedAfterDrain() {
	if g.drainTimeout == 0 || len(g.queue) == 0 {
		return
	}
	time.AfterFunc(g.drainTimeout, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.stopped || g.info.State == qhmember.Leaving {
			g.refuseQueued(qhdecision.Leaving)
		}
	})
}

// endCallsBy makes the guard refuse queued calls that would not end by the given time.
func (g *Guard) endCallsBy(by time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endBy = by
	g.refuseUnservable(time.Now())
}

// isPastEnd reports whether a call that starts at the given time would not end in time. The
// lock is held.
func (g *Guard) isPastEnd(start time.Time, w *waiter) bool {
	return !g.endBy.IsZero() && start.Add(g.serviceTimeOf(w.request.Route)).After(g.endBy)
}

// stop makes the guard refuse new calls. Running calls continue, and queued
// calls are refused after the drain timeout.
func (g *Guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.refuseQueuedAfterDrain()
}

// Permit is an occupied slot of a target.
type Permit struct {
	guard *Guard
	route qhid.Route
	// priority is that of the call.
	priority int
	start    time.Time
	// freed is set once the slot was freed. It is protected by the guard's lock.
	freed bool
	// overdueTimer frees the slot once the call is overdue; nil if the service
	// time is not known yet.
	overdueTimer *time.Timer
}

// Release frees the slot and records the service time of the call.
func (p *Permit) Release() {
	if p.overdueTimer != nil {
		p.overdueTimer.Stop()
	}
	p.guard.finishCall(p)
}

// reclaimSlot frees the slot of an overdue call that is still running.
func (p *Permit) reclaimSlot() {
	p.guard.mu.Lock()
	defer p.guard.mu.Unlock()
	p.guard.freeSlot(p)
}
