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
	// counted is when the rest was computed, in nanoseconds of the Unix epoch.
	counted atomic.Int64
	// doubted is set while too few endpoints look usable to trust the evidence.
	doubted atomic.Bool
	// oldest is when the endpoint that is known longest was first seen, in
	// nanoseconds of the Unix epoch.
	oldest atomic.Int64
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

// refresh computes anew what is known of the side as a whole, every countPeriod
// and by one caller.
func (s *side) refresh(now time.Time) {
	last := s.counted.Load()
	if now.UnixNano()-last <= int64(countPeriod) || !s.counted.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	taking, usable := 0, 0
	oldest := now.UnixNano()
	for _, endpoint := range s.list {
		oldest = min(oldest, endpoint.Stats.FirstSeen.Load())
		if !takesWork(endpoint) {
			continue
		}
		taking++
		if !endpoint.NodeDown && !ejected(endpoint, now) {
			usable++
		}
	}
	s.doubted.Store(usable*100 < taking*doubtShare)
	s.oldest.Store(oldest)
}

// warmth returns the part of its share that an endpoint gets, in hundredths. A
// new one grows into it within slowStart, or until it is half as old as the
// oldest one where all are new.
func (s *side) warmth(endpoint *qhmember.Endpoint, now time.Time) int {
	if endpoint.State == qhmember.Cold {
		return coldPercent
	}
	age := now.UnixNano() - endpoint.Stats.FirstSeen.Load()
	whole := min(int64(slowStart), (now.UnixNano()-s.oldest.Load())/2)
	if age >= whole {
		return 100
	}
	return max(coldPercent, int(age*100/whole))
}

// takesWork tells whether the endpoint says that it takes work.
func takesWork(endpoint *qhmember.Endpoint) bool {
	return endpoint.State != qhmember.Leaving && endpoint.State != qhmember.Down
}

// ejected tells whether the endpoint gets no calls for now.
func ejected(endpoint *qhmember.Endpoint, now time.Time) bool {
	return endpoint.Stats.EjectedUntil.Load() > now.UnixNano()
}
