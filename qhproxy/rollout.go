package qhproxy

import (
	"net/http"
	"time"

	"quetzalhaven.dev/qhbalance"
	"quetzalhaven.dev/qhcanary"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// notExposedDuration is how long an endpoint gets no calls after its node refused one
// because the roll-out allows none now.
const notExposedDuration = time.Second

// placement is how a call is placed in a roll-out.
type placement struct {
	rollout *qhcanary.Rollout
	// toNew is set while the call may only be sent to the new version, as a part of
	// the share that it gets. drawn is set once that is decided.
	toNew, drawn bool
}

// versionFilter returns which endpoints the next attempt may be sent to; nil for all.
func (c *call) versionFilter() func(*qhmember.Endpoint) bool {
	canary := c.proxy.Canary
	if canary == nil {
		return nil
	}
	rollout := canary.Book.Of(c.service.Name)
	c.placement.rollout = rollout
	if rollout == nil {
		return nil
	}
	if !rollout.IsExposing() {
		c.placement.toNew = false
		return func(e *qhmember.Endpoint) bool { return rollout.Takes(e.ID, e.Software) }
	}
	if !c.placement.drawn {
		c.placement.drawn = true
		c.placement.toNew = canary.Shares.Take(c.service.Name, rollout.Order.Software)
	}
	toNew := c.placement.toNew
	return func(e *qhmember.Endpoint) bool {
		return (e.Software == rollout.Order.Software) == toNew && rollout.Takes(e.ID, e.Software)
	}
}

// choose chooses the endpoint of the next attempt. A call that should go to the new
// version goes to one in service if no target of the new one can take it.
func (c *call) choose() (qhbalance.Choice, bool) {
	need := c.need()
	need.Accepts = c.versionFilter()
	choice, ok := c.proxy.balancer.ChooseFor(c.view, c.service, &c.tried, time.Now(), need)
	if c.placement.toNew && (!ok || c.attempt > 1) {
		c.placement.toNew = false
		return c.choose()
	}
	if ok && c.placement.toNew {
		choice.Reason = qhdecision.Exposed
	}
	return choice, ok
}

// countReached counts a call that reached a target, for the share of the new version.
func (c *call) countReached(reached bool) {
	if reached && c.placement.rollout != nil {
		c.proxy.Canary.Shares.Reached(c.service.Name, c.placement.rollout.Order.Software)
	}
}

// observeRefusedVersion keeps to what a target's node says of the roll-out.
func (c *call) observeRefusedVersion(endpoint *qhmember.Endpoint, reason qhdecision.Reason) {
	endpoint.Stats.Refusals.Add(1)
	qhbalance.RecordFullFor(endpoint, notExposedDuration, time.Now())
	if reason == qhdecision.Superseded && c.proxy.Canary != nil {
		c.proxy.Canary.Book.SetSwitched(c.service.Name)
	}
}

// enterDoor decides whether a target of this VM may get a call as its roll-out stands.
// If so, the returned function must be called once when the call has ended.
func (p *Proxy) enterDoor(info qhguard.TargetInfo, route qhid.Route) (func(*targetResponse, *failure), *failure) {
	if p.Canary == nil {
		return func(*targetResponse, *failure) {}, nil
	}
	switch p.Canary.Door.Enter(info.ID, info.Service, info.Software) {
	case qhcanary.Superseded:
		return nil, notExecuted(qhdecision.Superseded, http.StatusServiceUnavailable, defaultRetryAfter, "the service is switched to another software version than "+string(info.Software))
	case qhcanary.NotExposed:
		return nil, notExecuted(qhdecision.NotExposed, http.StatusServiceUnavailable, defaultRetryAfter, "the roll-out of "+string(info.Software)+" sends no calls to this target now")
	default:
	}
	return func(resp *targetResponse, f *failure) {
		result := qhcanary.Result{Route: route}
		switch {
		case resp != nil:
			result.Answered, result.ServiceTime = true, resp.responseTime
			result.Failed = resp.StatusCode >= http.StatusInternalServerError
		case f.Reason == qhdecision.ConnectionLost:
			result.Answered, result.Failed = true, true
		}
		if !result.Failed && time.Now().Before(info.ColdUntil) {
			result.Answered = false // a target that is still cold is slower than its version
		}
		p.Canary.Door.Leave(info.ID, result)
	}, nil
}
