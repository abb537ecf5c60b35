package qhdrain

import (
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhid"
)

const (
	// meanWeight and deviationWeight are the weights of a new duration in the moving
	// averages (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviations is the number of mean deviations that calls rarely exceed (RFC 6298).
	deviations = 4
)

// History has what was seen of the calls of each route. The zero value is ready to use. It
// is safe for concurrent use.
type History struct{ routes sync.Map } // qhid.Route to *routeHistory

// routeHistory is what was seen of the calls of one route.
type routeHistory struct {
	fromCallers atomic.Bool

	mu sync.Mutex
	// mean and deviation are the moving averages of the duration and of its distance from
	// the mean, in seconds; 0 before the first call.
	mean, deviation float64
}

func (h *History) route(name qhid.Route) *routeHistory {
	value, ok := h.routes.Load(name)
	if !ok {
		value, _ = h.routes.LoadOrStore(name, new(routeHistory))
	}
	return value.(*routeHistory)
}

// RecordDuration records how long a call of the route took.
func (h *History) RecordDuration(route qhid.Route, took time.Duration) {
	r, seconds := h.route(route), took.Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mean == 0 {
		r.mean, r.deviation = seconds, seconds/2
		return
	}
	distance := seconds - r.mean
	r.deviation += deviationWeight * (max(distance, -distance) - r.deviation)
	r.mean += meanWeight * distance
}

// Expected returns a duration that calls of the route rarely exceed, 0 if none is known.
func (h *History) Expected(route qhid.Route) time.Duration {
	r := h.route(route)
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration((r.mean + deviations*r.deviation) * float64(time.Second))
}

// RecordCaller records that the route has a call that no target made.
func (h *History) RecordCaller(route qhid.Route) {
	if r := h.route(route); !r.fromCallers.Load() {
		r.fromCallers.Store(true)
	}
}

// IsFromCallers reports whether RecordCaller was called for the route.
func (h *History) IsFromCallers(route qhid.Route) bool { return h.route(route).fromCallers.Load() }
