package qhproxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhdrain"
	"quetzalhaven.dev/qhgroup"
)

// cancelTimeout bounds the wait for handlers to return after their calls were
// cancelled.
const cancelTimeout = time.Second

// DrainResult is the result of Drain.
type DrainResult struct {
	// Cancelled is the number of callers' calls or of calls to targets of this
	// VM that were in flight when the calls were cancelled, whichever is
	// larger. So a call that is both counts once, but the number of all
	// cancelled calls may be higher.
	Cancelled int `json:"cut"`
}

// Drain waits for the in-flight calls to finish. It first refuses new calls to
// the targets of this VM, whose in-flight calls may still make calls through
// this node. Once the shutdown delay of the settings has passed, new calls of
// callers are refused too, except those that these may have made. Refused calls
// are reported as not executed. Drain returns when no call is in flight and the
// outcomes of keyed calls are stored on the platform. Calls that are in flight
// shortly before the end of the shutdown timeout of the settings, or when ctx is
// done, are cancelled.
func (p *Proxy) Drain(ctx context.Context) DrainResult {
	p.recordDecision(qhdecision.Decision{Kind: qhdecision.NodeLeaving, Reason: qhdecision.ShutdownRequested, Node: p.Self})
	schedule := qhdrain.NewSchedule(time.Now(), time.Duration(p.Settings.ShutdownDelay), time.Duration(p.Settings.ShutdownTimeout))
	p.shutdown.Store(&schedule)
	targets := p.targetCalls.close()
	if p.EndTargetCalls != nil {
		p.EndTargetCalls(schedule.CancelAt)
	}
	untilEnd, cancel := context.WithDeadline(ctx, schedule.End)
	defer cancel()
	ctx, cancel = context.WithDeadline(ctx, schedule.CancelAt)
	defer cancel()
	qhgroup.Sleep(ctx, time.Until(schedule.RefuseAt))
	p.conns.closeIdle()
	p.Log.Info("node refuses new calls", zap.Int64("callers", p.callerCalls.count.Load()), zap.Int64("targets", p.targetCalls.count.Load()),
		zap.Duration("left", time.Until(schedule.CancelAt)))
	var result DrainResult
	if !waitFor(ctx, targets) || !waitFor(ctx, p.callerCalls.close()) {
		result = p.cancelAll(schedule.End)
	}
	if p.claims != nil {
		p.claims.Wait(untilEnd)
	}
	return result
}

// cancelAll cancels the in-flight calls and waits briefly for their handlers, not beyond
// the end.
func (p *Proxy) cancelAll(end time.Time) DrainResult {
	callers := p.callerCalls.close()
	inFlight := int(max(p.callerCalls.count.Load(), p.targetCalls.count.Load()))
	p.Log.Warn("in-flight calls cancelled at the end of the shutdown timeout", zap.Int("calls", inFlight))
	p.counters.cancelled.Add(inFlight)
	p.recordDecision(qhdecision.Decision{Kind: qhdecision.Cancelled, Reason: qhdecision.ShutdownTimedOut, Node: p.Self, Detail: strconv.Itoa(inFlight) + " calls"})
	p.cancelCalls(errShutdownTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), min(cancelTimeout, time.Until(end)))
	defer cancel()
	_ = waitFor(ctx, p.targetCalls.drained) && waitFor(ctx, callers) // handlers that don't return in time are abandoned
	return DrainResult{Cancelled: inFlight}
}

// waitFor reports whether done was closed before the context ended.
func waitFor(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// checkShutdown refuses a new call if the node shuts down and the call cannot end before
// that, or is one of those that are no longer taken. now is the start of the call.
func (c *call) checkShutdown(now, deadline time.Time) *failure {
	p := c.proxy
	if p.targetCalls.isEmpty() {
		p.history.RecordCaller(c.route.Name)
	}
	schedule := p.shutdown.Load()
	if schedule == nil {
		return nil
	}
	planned := c.plannedCall(deadline)
	if remaining, present, err := p.Dialect.RemainingTime(c.request.Header); err == nil && present {
		planned.CallerDeadline = now.Add(remaining)
	}
	if schedule.Accepts(time.Now(), planned, p.targetRuns.latest()) {
		return nil
	}
	return leavingFailure()
}

// canFinish reports whether an attempt that starts now may end before the node shuts down.
func (c *call) canFinish(ctx context.Context) bool {
	schedule := c.proxy.shutdown.Load()
	if schedule == nil {
		return true
	}
	deadline, _ := ctx.Deadline()
	return schedule.CanFinish(time.Now(), c.plannedCall(deadline))
}

func (c *call) plannedCall(deadline time.Time) qhdrain.Call {
	history := &c.proxy.history
	return qhdrain.Call{Deadline: deadline, Expected: history.Expected(c.route.Name), FromCallers: history.IsFromCallers(c.route.Name)}
}

// leavingFailure returns the failure of a call that a node refuses because it shuts down.
func leavingFailure() *failure {
	return notExecuted(qhdecision.Leaving, http.StatusServiceUnavailable, defaultRetryAfter, "this node is leaving; use another one")
}

// closeIfLeaving makes the server close the caller's connection after the response if the
// node shuts down. Until their responses are written, the connection of pipelined calls
// stays open.
func (p *Proxy) closeIfLeaving(w http.ResponseWriter, r *http.Request) {
	if p.shutdown.Load() == nil {
		return
	}
	if conn := connOfRequest(r); conn == nil || conn.endPipelining() {
		w.Header().Set("Connection", "close")
	}
}
