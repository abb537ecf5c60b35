package qhguard

import (
	"time"

	"quetzalhaven.dev/qhid"
)

// SetRateLimit sets the calls per second that the target takes according to its
// latest response, or that it has no limit.
func (g *Guard) SetRateLimit(rate qhid.CallsPerSecond, limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasResponded = true
	if limited || g.pacer.isLimited() {
		g.setPace(rate, limited)
	}
}

// AssumeRateLimit sets the rate limit that another node knows of the target. It has
// no effect once the target has responded through this node.
func (g *Guard) AssumeRateLimit(rate qhid.CallsPerSecond) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hasResponded && !g.pacer.isLimited() {
		g.setPace(rate, true)
	}
}

// setPace applies a rate limit to queued and further calls. The lock is held.
func (g *Guard) setPace(rate qhid.CallsPerSecond, limited bool) {
	now := time.Now()
	if g.paceTimer != nil {
		g.paceTimer.Stop()
		g.paceTimer = nil
	}
	if limited {
		g.pacer.limit(rate, now)
		g.refuseUnservable(now)
	} else {
		g.pacer.unlimit()
	}
	g.admitQueued(now)
}

// schedulePaced admits queued calls later if they wait for the pacer only. The lock
// is held.
func (g *Guard) schedulePaced(now time.Time) {
	if len(g.queue) == 0 || g.running >= g.slots() || g.paceTimer != nil {
		return
	}
	g.paceTimer = time.AfterFunc(g.pacer.wait(now, 0), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.paceTimer = nil
		g.admitQueued(time.Now())
	})
}
