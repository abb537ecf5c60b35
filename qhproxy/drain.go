package qhproxy

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhgroup"
)

// cutWait bounds the wait for handlers to return after their calls were cut.
const cutWait = time.Second

// Drained tells how a drain ended.
type Drained struct {
	// Cut counts the calls that were in flight at the bound and were ended; a
	// call that came in and went to a target of this VM counts once.
	Cut int `json:"cut"`
}

// Drain gives the targets of this VM no new calls from now on. Their calls in
// flight may call on through this node; once they are done and the linger time
// of the settings has passed, callers are refused too, as not run. Drain returns when nothing is left in flight and the outcomes
// of keyed calls are noted on the platform. What is left
// after the grace period of the settings, or when the context ends, is cut.
func (p *Proxy) Drain(ctx context.Context) Drained {
	p.decide(qhdecision.Decision{Kind: qhdecision.Drained, Reason: qhdecision.StopRequested, Node: p.Self})
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Settings.ShutdownTimeout))
	defer cancel()
	targets := p.targets.close()
	qhgroup.Sleep(ctx, time.Duration(p.Settings.ShutdownDelay))
	if !wait(ctx, targets) || !wait(ctx, p.callers.close()) {
		return p.cutAll()
	}
	if p.claims != nil {
		p.claims.Wait(ctx)
	}
	return Drained{}
}

// cutAll ends the calls in flight and waits shortly for their handlers.
func (p *Proxy) cutAll() Drained {
	callers := p.callers.close()
	left := int(max(p.callers.inside.Load(), p.targets.inside.Load()))
	p.Log.Warn("calls cut at the end of the grace period", zap.Int("calls", left))
	p.counts.cut.Add(left)
	p.decide(qhdecision.Decision{Kind: qhdecision.Cancelled, Reason: qhdecision.GracePeriodOver, Node: p.Self, Detail: strconv.Itoa(left) + " calls"})
	p.cut(errCut)
	ctx, cancel := context.WithTimeout(context.Background(), cutWait)
	defer cancel()
	_ = wait(ctx, p.targets.empty) && wait(ctx, callers) // the handlers return in time or are left
	return Drained{Cut: left}
}

// wait tells whether done was closed before the context ended.
func wait(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
