package qhproxy

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"time"

	"quetzalhaven.dev/qhbalance"
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhmember"
)

// send sends the call to a target, and retries it at others if its route allows
// it. Only the caller's own node retries. The call counts as not executed only
// if certainly no attempt was executed. A retry after an attempt that did not
// reach a target does not use the retry budget.
func (c *call) send(ctx context.Context) (*targetResponse, *failure) {
	budget := c.proxy.budgets.ForService(c.service.Name)
	budget.Deposit()
	var failed *failure
	if !c.canFinish(ctx) {
		return nil, leavingFailure()
	}
	for c.attempt = 1; ; c.attempt++ {
		choice, ok := c.choose()
		c.triedLocalZone = c.triedLocalZone || choice.LocalFull
		if !ok || c.countRemoteZoneAttempt(choice) {
			return c.sendToEarliestFree(ctx, failed)
		}
		resp, f := c.tryEndpoint(ctx, choice, c.patience())
		if f == nil {
			return resp, nil
		}
		c.tried.Add(choice.Endpoint)
		c.rememberEarliestFree(choice.Endpoint, f)
		failed = mergeFailures(failed, f)
		if f.ReachedTarget {
			c.targetAttempts++
		}
		if !c.mayRetry(ctx, f) || f.ReachedTarget && !budget.TryWithdraw() {
			return nil, failed
		}
		if c.attempt >= maxAttempts {
			return c.sendToEarliestFree(ctx, failed)
		}
		c.recordRetry(f, choice.Endpoint)
	}
}

// need returns what the call needs of the endpoint of its next attempt.
func (c *call) need() qhbalance.Need {
	objective := time.Duration(c.route.LatencyObjective)
	if objective == 0 {
		return qhbalance.Need{Priority: c.rank()}
	}
	return qhbalance.Need{Objective: objective, Priority: c.rank(), Patience: c.patience()}
}

// countRemoteZoneAttempt counts an attempt in another availability zone and
// reports whether it must not be made, because it exceeds the limit or its
// endpoint is not expected to have room earlier.
// Once a target of the own zone was tried, the limit applies, since more attempts would
// only add traffic between zones.
func (c *call) countRemoteZoneAttempt(choice qhbalance.Choice) bool {
	if choice.Endpoint.Zone == c.proxy.Zone || !c.triedLocalZone {
		return false
	}
	c.remoteZoneAttempts++
	return c.remoteZoneAttempts > maxRemoteZoneAttempts || !choice.HasCapacity
}

// rememberEarliestFree stores the endpoint in earliestFree if it was full and
// expects a free slot before the stored one. Once an endpoint of the own
// availability zone was tried, those of other zones are not stored.
func (c *call) rememberEarliestFree(endpoint *qhmember.Endpoint, f *failure) {
	local := endpoint.Zone == c.proxy.Zone
	c.triedLocalZone = c.triedLocalZone || local
	isFull := f.Reason == qhdecision.Busy || f.Reason == qhdecision.LinkBusy || f.Reason == qhdecision.RateLimited
	if isFull && !f.ReachedTarget && (local || !c.triedLocalZone) && (c.earliestFree == nil || f.RetryAfter < c.earliestFreeIn) {
		c.earliestFree, c.earliestFreeIn = endpoint, f.RetryAfter
	}
}

// sendToEarliestFree makes a last attempt at the endpoint that expects a free
// slot first, unless the call would wait there too long to be of use. failed is the
// failure of the attempts so far; nil if there was none, because no endpoint is known
// to have room in time.
func (c *call) sendToEarliestFree(ctx context.Context, failed *failure) (*targetResponse, *failure) {
	if failed == nil {
		c.earliestFree, c.earliestFreeIn = c.proxy.balancer.EarliestFree(c.view, c.service, c.rank(), c.versionFilter(), time.Now())
	}
	if c.earliestFree == nil || failed != nil && failed.Outcome != qhheader.OutcomeNotExecuted || ctx.Err() != nil || !c.canFinish(ctx) {
		return nil, c.noTargetFailure(failed)
	}
	if patience := c.lastPatience(ctx); patience > 0 && c.earliestFreeIn > patience {
		return nil, c.fullFailure(ctx, failed, c.earliestFreeIn-patience)
	}
	c.attempt++
	resp, f := c.tryEndpoint(ctx, qhbalance.Choice{Endpoint: c.earliestFree, Reason: qhdecision.LastResort}, 0)
	if f == nil {
		return resp, nil
	}
	return nil, mergeFailures(failed, f)
}

const (
	// queueShare is the fraction of the latency objective that a call may wait at one
	// target before other targets are tried.
	queueShare = 0.4
	// lastQueueShare is the fraction of the time until the latency objective is
	// missed that a call may wait at its last target.
	lastQueueShare = 0.75
	// lateQueueShare is the fraction of the time until its deadline that a call may
	// wait at its last target if it misses its latency objective in any case.
	lateQueueShare = 0.1
	// maxRemoteZoneAttempts bounds the attempts in other zones after a target
	// of the own zone was tried.
	maxRemoteZoneAttempts = 1
)

// patience returns how long the call may wait for a slot of one target before others are
// tried; 0, meaning no limit, on routes without a latency objective.
func (c *call) patience() time.Duration {
	return time.Duration(queueShare * float64(c.route.LatencyObjective))
}

// lastPatience returns how long the call may wait at its last target; 0, meaning no
// limit, on routes without a latency objective.
func (c *call) lastPatience(ctx context.Context) time.Duration {
	if c.objectiveDeadline.IsZero() {
		return 0
	}
	if untilObjective := time.Until(c.objectiveDeadline); untilObjective > 0 {
		return max(time.Duration(lastQueueShare*float64(untilObjective)), time.Millisecond)
	}
	return max(time.Duration(lateQueueShare*float64(timeUntilDeadline(ctx))), time.Millisecond)
}

// fullFailure returns the failure of a call that no target has room for in time.
// earlier is the failure of the attempts so far, or nil. There is room in roomIn.
func (c *call) fullFailure(ctx context.Context, earlier *failure, roomIn time.Duration) *failure {
	retryAfter := c.proxy.returns.Book(c.returnKey(), time.Now(), max(roomIn, minRoomIn), time.Duration(patienceShare*float64(timeUntilDeadline(ctx))))
	f := notExecuted(qhdecision.Busy, http.StatusServiceUnavailable, retryAfter,
		fmt.Sprintf("no target of the service is known to have room in time for rank %d; there is room in %s", c.rank(), roomIn))
	if earlier != nil {
		f.ReachedTarget = earlier.ReachedTarget
	}
	return f
}

// mergeFailures returns the failure of a call after two failed attempts: the
// later one, unless the earlier one left the outcome unknown and the later one
// did not. earlier may be nil.
func mergeFailures(earlier, later *failure) *failure {
	if earlier != nil && earlier.Outcome == qhheader.OutcomeUnknown && later.Outcome == qhheader.OutcomeNotExecuted {
		return earlier
	}
	return later
}

// noTargetFailure returns the failure of a call that has no endpoint left: the
// failure of the earlier attempts or, if earlier is nil, one of its own.
func (c *call) noTargetFailure(earlier *failure) *failure {
	if earlier != nil {
		return earlier
	}
	return notExecuted(qhdecision.NoTarget, http.StatusServiceUnavailable, defaultRetryAfter, "no target of the service is available; retry later")
}

// maxTargetAttempts returns how many attempts of the call may reach a target.
func (c *call) maxTargetAttempts() int { return cmp.Or(c.route.MaxAttempts, defaultMaxTargetAttempts) }

// mayRetry reports whether the call may be sent again after the failure:
// because it was not executed, or because its route allows repeated execution.
// Unless the number of attempts, the context or the body forbids a retry, it also
// starts the body's next attempt, after which earlier attempts can no longer read
// the body.
func (c *call) mayRetry(ctx context.Context, f *failure) bool {
	if f.Reason == qhdecision.Quarantined || f.Reason == qhdecision.CallerGone { // no target makes a difference
		return false
	}
	if c.targetAttempts >= c.maxTargetAttempts() || ctx.Err() != nil || !c.canFinish(ctx) || !c.body.startNextAttempt() {
		return false
	}
	if f.Outcome == qhheader.OutcomeNotExecuted {
		return true
	}
	return c.route.Retry == qhconfig.RetrySafe && f.Reason != qhdecision.TooLarge && f.Reason != qhdecision.BadBody
}

// recordRetry records that the call is sent again.
func (c *call) recordRetry(f *failure, endpoint *qhmember.Endpoint) {
	d := c.newDecision()
	d.Kind, d.Reason, d.Outcome, d.Detail = qhdecision.Retried, f.Reason, f.Outcome, f.Detail
	d.Target, d.Node = endpoint.ID, endpoint.Node
	c.proxy.recordDecision(d)
	c.proxy.counters.retries.Inc()
}
