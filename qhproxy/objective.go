package qhproxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// longestTimeouts has the longest timeout that callers of each route sent. A
// call with a shorter timeout counts as a retry by the caller, whose latency
// objective counts from the caller's first attempt.
type longestTimeouts struct{ routes sync.Map } // qhid.Route to *atomic.Int64

// observe records the remaining time of a call and returns the longest one of
// the route so far.
func (l *longestTimeouts) observe(route qhid.Route, remaining time.Duration) time.Duration {
	value, ok := l.routes.Load(route)
	if !ok {
		value, _ = l.routes.LoadOrStore(route, new(atomic.Int64))
	}
	longest := value.(*atomic.Int64)
	for {
		current := longest.Load()
		if int64(remaining) <= current {
			return time.Duration(current)
		}
		if longest.CompareAndSwap(current, int64(remaining)) {
			return remaining
		}
	}
}

// timeSinceFirstAttempt returns how long ago the caller made its first attempt at the
// call, as far as the timeout that it sent tells; 0 for a first attempt.
func (p *Proxy) timeSinceFirstAttempt(r *http.Request, route *qhconfig.Route) time.Duration {
	remaining, present, err := p.Dialect.RemainingTime(r.Header)
	if err != nil || !present {
		return 0
	}
	return p.longestTimeouts.observe(route.Name, remaining) - remaining
}

// objectiveDeadline returns when the latency objective of the route is missed, given
// the time since the caller's first attempt; zero on a route without an objective.
func objectiveDeadline(route *qhconfig.Route, now time.Time, sinceFirstAttempt time.Duration) time.Time {
	if route.LatencyObjective == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(route.LatencyObjective) - sinceFirstAttempt)
}
