package qhproxy

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhshed"
)

const (
	// minReturnDelay is how long after its first attempt a caller returns at the
	// earliest if it waits as told.
	minReturnDelay = minRoomIn
	// overloadRetryAfter is when a caller should return that was refused because the
	// node lacks processor time.
	overloadRetryAfter = 300 * time.Millisecond
	// patienceShare is the part of its remaining time for which a caller waits
	// before it returns.
	patienceShare = 1.0 / 3
	// randomSteps is the resolution of the random number of an admission.
	randomSteps = 1 << 16
)

// newShedder returns the shedder of the node, or nil if the settings have none.
func (p *Proxy) newShedder() *qhshed.Shedder {
	if !p.Settings.Shed {
		return nil
	}
	shedder := qhshed.NewShedder(qhshed.Options{Delay: qhshed.NewDelayMeter(), OnChange: func(state qhshed.State) {
		message := "node has processor time again"
		if state.Limited {
			message = "node lacks processor time and refuses calls"
		}
		p.Log.Warn(message, zap.Duration("delay", state.Delay), zap.Int("limit", state.Limit), zap.Int("arrived", state.Arrived), zap.Int("admitted", state.Admitted))
	}})
	p.Metrics.NewGauge("qh_processor_delay_seconds", func() float64 { return shedder.State().Delay.Seconds() })
	p.Metrics.NewGauge("qh_admitted_calls_limit", func() float64 { return float64(shedder.State().Limit) })
	return shedder
}

// Overload returns what the node knows of its own load; nil if the settings do not let
// it refuse calls for that.
func (p *Proxy) Overload() *qhshed.State {
	if p.shedder == nil {
		return nil
	}
	state := p.shedder.State()
	return &state
}

// admitByLoad refuses the call of a caller if the node lacks processor time for it.
// remaining is the time for which the caller waits.
func (c *call) admitByLoad(now time.Time, origin qhshed.Origin, remaining time.Duration) *failure {
	p := c.proxy
	if p.shedder == nil {
		return nil
	}
	if p.shedder.Admit(now, origin, c.priority(), p.randomShare()) {
		return nil
	}
	retryAfter := p.returns.Book(c.returnKey(), now, overloadRetryAfter, time.Duration(patienceShare*float64(remaining)))
	return notExecuted(qhdecision.Overloaded, http.StatusServiceUnavailable, retryAfter, "this node lacks processor time")
}

// returnKey returns the key under which returns to the service are booked.
func (c *call) returnKey() qhshed.ReturnKey { return qhshed.ReturnKey("service " + c.service.Name) }

// originOf tells from the time since its first attempt whether a caller returns, and
// whether it does so sooner than any refusal allows.
func originOf(sinceFirstAttempt time.Duration) qhshed.Origin {
	switch {
	case sinceFirstAttempt <= 0:
		return qhshed.New
	case sinceFirstAttempt < minReturnDelay:
		return qhshed.TooSoon
	default:
		return qhshed.Returned
	}
}

// admitForwarded refuses a call of another node if this node lacks processor time by
// far.
func (p *Proxy) admitForwarded(now time.Time) *failure {
	if p.shedder == nil || p.shedder.Admit(now, qhshed.Forwarded, 0, 0) {
		return nil
	}
	return notExecuted(qhdecision.Overloaded, http.StatusServiceUnavailable, overloadRetryAfter, "the target's node lacks processor time")
}

// randomShare returns a random number in [0, 1).
func (p *Proxy) randomShare() float64 { return float64(p.random(randomSteps)) / randomSteps }
