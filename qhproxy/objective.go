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
// caller that sends a shorter one is retrying, and its latency objective counts
// from its first attempt.
type longestTimeouts struct{ routes sync.Map } // qhid.Route to *atomic.Int64

// observe records the remaining time of a call and returns the longest one of
// the route so far.
func (s *longestTimeouts) observe(route qhid.Route, remaining time.Duration) time.Duration {
	value, ok := s.routes.Load(route)
	if !ok {
		value, _ = s.routes.LoadOrStore(route, new(atomic.Int64))
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

// objectiveDeadline returns when the latency objective of the route is missed
// for the request, zero on a route without an objective.
func (p *Proxy) objectiveDeadline(r *http.Request, route *qhconfig.Route, now time.Time) time.Time {
	if route.LatencyObjective == 0 {
		return time.Time{}
	}
	deadline := now.Add(time.Duration(route.LatencyObjective))
	remaining, present, err := p.Dialect.RemainingTime(r.Header)
	if err != nil || !present {
		return deadline
	}
	return deadline.Add(remaining - p.longestTimeouts.observe(route.Name, remaining))
}
