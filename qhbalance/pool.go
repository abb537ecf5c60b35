package qhbalance

import (
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// refreshInterval is the maximum age of the derived values of an endpoint group.
const refreshInterval = 100 * time.Millisecond

// servicePool has the endpoints of one service, split by availability zone.
type servicePool struct {
	// all is the slice in the view. The pool is up to date while the view has
	// this same slice.
	all []*qhmember.Endpoint
	// local has the endpoints in the node's own availability zone.
	local endpointGroup
	// remote has the endpoints in all other zones.
	remote endpointGroup
}

// endpointGroup has either the local or the remote endpoints of a service. The
// slice is never modified.
type endpointGroup struct {
	endpoints []*qhmember.Endpoint
	// refreshedAt is when panicMode and oldestFirstSeen were computed, in
	// nanoseconds of the Unix epoch.
	refreshedAt atomic.Int64
	// panicMode is set while too few endpoints are usable, so that ejections and
	// down nodes are ignored.
	panicMode atomic.Bool
	// oldestFirstSeen is when the longest-known endpoint was first seen, in
	// nanoseconds of the Unix epoch.
	oldestFirstSeen atomic.Int64
}

// servicePools holds the pools of all services that were called.
type servicePools struct {
	zone     qhid.Zone
	services sync.Map // of qhid.Service to *servicePool
}

// forService returns the pool of a service in the view. It is rebuilt only when
// the view has a different slice of endpoints.
func (p *servicePools) forService(view *qhmember.View, service qhid.Service) *servicePool {
	all := view.Services[service]
	if found, ok := p.services.Load(service); ok {
		if current := found.(*servicePool); isSameSlice(current.all, all) {
			return current
		}
	}
	if len(all) == 0 {
		p.services.Delete(service)
		return &servicePool{}
	}
	built := &servicePool{all: all}
	for _, endpoint := range all {
		if endpoint.Zone == p.zone {
			built.local.endpoints = append(built.local.endpoints, endpoint)
		} else {
			built.remote.endpoints = append(built.remote.endpoints, endpoint)
		}
	}
	p.services.Store(service, built)
	return built
}

// isSameSlice reports whether a and b share the same memory.
func isSameSlice(a, b []*qhmember.Endpoint) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// refresh recomputes panicMode and oldestFirstSeen if they are older than
// refreshInterval. Of several concurrent calls, only one recomputes them.
func (g *endpointGroup) refresh(now time.Time) {
	last := g.refreshedAt.Load()
	if now.UnixNano()-last <= int64(refreshInterval) || !g.refreshedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	accepting, usable := 0, 0
	oldest := now.UnixNano()
	for _, endpoint := range g.endpoints {
		oldest = min(oldest, endpoint.Stats.FirstSeen.Load())
		if !acceptsCalls(endpoint, now) {
			continue
		}
		accepting++
		if !endpoint.NodeDown && !isEjected(endpoint, now) {
			usable++
		}
	}
	g.panicMode.Store(usable*100 < accepting*panicThresholdPercent)
	g.oldestFirstSeen.Store(oldest)
}

// shareOfCalls returns the percentage of its regular share of calls that the
// endpoint gets: coldPercent in the announced state cold, otherwise a
// percentage that increases linearly, from coldPercent at least, during the
// slow start of a new endpoint.
// The slow start ends after slowStartDuration or, if all endpoints are new,
// once the endpoint is half as old as the oldest one.
func (g *endpointGroup) shareOfCalls(endpoint *qhmember.Endpoint, now time.Time) int {
	if endpoint.State == qhmember.Cold {
		return coldPercent
	}
	age := now.UnixNano() - endpoint.Stats.FirstSeen.Load()
	rampUp := min(int64(slowStartDuration), (now.UnixNano()-g.oldestFirstSeen.Load())/2)
	if age >= rampUp {
		return 100
	}
	return max(coldPercent, int(age*100/rampUp))
}

// acceptsCalls reports whether the endpoint's announced state allows new calls and
// it refused none as leaving lately.
func acceptsCalls(endpoint *qhmember.Endpoint, now time.Time) bool {
	return endpoint.State != qhmember.Leaving && endpoint.State != qhmember.Down && endpoint.Stats.LeavingUntil.Load() <= now.UnixNano()
}

// isEjected reports whether the endpoint is ejected at the given time.
func isEjected(endpoint *qhmember.Endpoint, now time.Time) bool {
	return endpoint.Stats.EjectedUntil.Load() > now.UnixNano()
}
