package qhproxy

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhgroup"
)

// cancelTimeout bounds the wait for handlers to return after their calls were
// cancelled.
const cancelTimeout = time.Second

// DrainResult is the result of Drain.
type DrainResult struct {
	// Cancelled is the number of callers' calls or of calls to targets of this
	// VM that were in flight at the end of the shutdown timeout, whichever is
	// larger. So a call that is both counts once, but the number of all
	// cancelled calls may be higher.
	Cancelled int `json:"cut"`
}

// Drain waits for the in-flight calls to finish. It first refuses new calls to
// the targets of this VM, whose in-flight calls may still make calls through
// this node. Once those are done and the shutdown delay of the settings has
// passed, new calls of callers are refused too and reported as not executed.
// Drain returns when no call is in flight and the outcomes of keyed calls are
// stored on the platform. Calls that are in flight at the end of the shutdown
// timeout of the settings, or when ctx is done, are cancelled.
func (p *Proxy) Drain(ctx context.Context) DrainResult {
	p.recordDecision(qhdecision.Decision{Kind: qhdecision.NodeLeaving, Reason: qhdecision.ShutdownRequested, Node: p.Self})
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Settings.ShutdownTimeout))
	defer cancel()
	targets := p.targetCalls.close()
	qhgroup.Sleep(ctx, time.Duration(p.Settings.ShutdownDelay))
	if !waitFor(ctx, targets) || !waitFor(ctx, p.callerCalls.close()) {
		return p.cancelAll()
	}
	if p.claims != nil {
		p.claims.Wait(ctx)
	}
	return DrainResult{}
}

// cancelAll cancels the in-flight calls and waits briefly for their handlers.
func (p *Proxy) cancelAll() DrainResult {
	callers := p.callerCalls.close()
	inFlight := int(max(p.callerCalls.count.Load(), p.targetCalls.count.Load()))
	p.Log.Warn("in-flight calls cancelled at the end of the shutdown timeout", zap.Int("calls", inFlight))
	p.counters.cancelled.Add(inFlight)
	p.recordDecision(qhdecision.Decision{Kind: qhdecision.Cancelled, Reason: qhdecision.ShutdownTimedOut, Node: p.Self, Detail: strconv.Itoa(inFlight) + " calls"})
	p.cancelCalls(errShutdownTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
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
