package qhbalance

import (
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// countPeriod is how old the counts of a pool may be.
const countPeriod = 100 * time.Millisecond

// pool is a service's endpoints, split by availability zone.
type pool struct {
	// all is the view's own list, by which a newer one is noticed.
	all []*qhmember.Endpoint
	// near has the endpoints of the node's own availability zone.
	near side
	// far has the others.
	far side
}

// side is the endpoints of a service on one side. Its list is never changed.
type side struct {
	list []*qhmember.Endpoint
	// counted is when panic was last computed, in nanoseconds of the Unix epoch.
	counted atomic.Int64
	// panicking is set while too few endpoints are usable to trust the evidence.
	panicking atomic.Bool
}

// pools has the pool of each service that was called.
type pools struct {
	zone     qhid.Zone
	services sync.Map // of qhid.Service to *pool
}

// of returns the pool of a service as the view has it. It is built anew only
// when the view has another list.
func (p *pools) of(view *qhmember.View, service qhid.Service) *pool {
	all := view.Services[service]
	if found, ok := p.services.Load(service); ok {
		if current := found.(*pool); sameList(current.all, all) {
			return current
		}
	}
	if len(all) == 0 {
		p.services.Delete(service)
		return &pool{}
	}
	built := &pool{all: all}
	for _, endpoint := range all {
		if endpoint.Zone == p.zone {
			built.near.list = append(built.near.list, endpoint)
		} else {
			built.far.list = append(built.far.list, endpoint)
		}
	}
	p.services.Store(service, built)
	return built
}

// sameList tells whether two lists are one and the same.
func sameList(a, b []*qhmember.Endpoint) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// panics tells whether so few endpoints look usable that the evidence is
// doubted. The count is taken anew every countPeriod, by one caller.
func (s *side) panics(now time.Time) bool {
	last := s.counted.Load()
	if now.UnixNano()-last > int64(countPeriod) && s.counted.CompareAndSwap(last, now.UnixNano()) {
		s.panicking.Store(s.tooFew(now))
	}
	return s.panicking.Load()
}

// tooFew tells whether the share of usable endpoints is below panicShare.
func (s *side) tooFew(now time.Time) bool {
	taking, usable := 0, 0
	for _, endpoint := range s.list {
		if !takesWork(endpoint) {
			continue
		}
		taking++
		if !endpoint.Lost && !ejected(endpoint, now) {
			usable++
		}
	}
	return usable*100 < taking*panicShare
}

// takesWork tells whether the endpoint says that it takes work.
func takesWork(endpoint *qhmember.Endpoint) bool {
	return endpoint.State != qhmember.Leaving && endpoint.State != qhmember.Down
}

// ejected tells whether the endpoint gets no calls for now.
func ejected(endpoint *qhmember.Endpoint, now time.Time) bool {
	return endpoint.Observed.Ejected.Load() > now.UnixNano()
}
