package qhproxy

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhdecision"
)

// cutWait bounds the wait for handlers to return after their calls were cut.
const cutWait = time.Second

// Drained tells how a drain ended.
type Drained struct {
	// Cut counts the calls that were in flight at the bound and were ended.
	Cut int `json:"cut"`
}

// Drain refuses new calls as not run from now on, and waits until those in
// flight are done. What is left after the grace period of the settings, or when
// the context ends, is cut.
func (p *Proxy) Drain(ctx context.Context) Drained {
	p.decide(qhdecision.Decision{Kind: qhdecision.Drained, Reason: qhdecision.StopRequested, Node: p.Self})
	p.leaving.Store(true)
	if p.calls.Load() == 0 {
		p.idleOnce.Do(func() { close(p.idle) })
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Settings.Grace))
	defer cancel()
	select {
	case <-p.idle:
		return Drained{}
	case <-ctx.Done():
	}
	return p.cutAll()
}

// cutAll ends the calls in flight and waits shortly for their handlers.
func (p *Proxy) cutAll() Drained {
	left := int(p.calls.Load())
	p.Log.Warn("calls cut at the end of the grace period", zap.Int("calls", left))
	p.counts.cut.Add(left)
	p.cut()
	timer := time.NewTimer(cutWait)
	defer timer.Stop()
	select {
	case <-p.idle:
	case <-timer.C:
	}
	return Drained{Cut: left}
}
