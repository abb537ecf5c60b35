package qhproxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// spans has the longest time that callers of each route said they wait. A caller
// that says less has tried before, and its objective counts from its first try.
type spans struct{ routes sync.Map } // of qhid.Route to *atomic.Int64

// note takes the time that a caller waits and returns the longest so far.
func (s *spans) note(route qhid.Route, left time.Duration) time.Duration {
	found, ok := s.routes.Load(route)
	if !ok {
		found, _ = s.routes.LoadOrStore(route, new(atomic.Int64))
	}
	longest := found.(*atomic.Int64)
	for {
		known := longest.Load()
		if int64(left) <= known {
			return time.Duration(known)
		}
		if longest.CompareAndSwap(known, int64(left)) {
			return left
		}
	}
}

// dueOf returns until when an answer is of full use to the caller, zero on a
// route without an objective.
func (p *Proxy) dueOf(in *http.Request, route *qhconfig.Route, now time.Time) time.Time {
	if route.LatencyObjective == 0 {
		return time.Time{}
	}
	due := now.Add(time.Duration(route.LatencyObjective))
	left, said, err := p.Dialect.RemainingTime(in.Header)
	if err != nil || !said {
		return due
	}
	return due.Add(left - p.spans.note(route.Name, left))
}
