package qhbalance

import (
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhmember"
)

const (
	// maxRoomMemory bounds how far ahead a known wait reaches, so that an endpoint
	// that was full is tried again after that at the latest.
	maxRoomMemory = time.Second
	// unreachableMemory is how long an endpoint gets no calls, in panic mode either,
	// after no connection to it could be opened.
	unreachableMemory = 300 * time.Millisecond
	// connectingMemory is that time if the attempt to connect goes on.
	connectingMemory = 100 * time.Millisecond
)

// Need says what a call needs of its endpoint. The zero value needs nothing.
type Need struct {
	// Objective is the latency objective of the call's route; 0 means none.
	Objective time.Duration
	// Priority is the rank of the call at a full service, 0 for the most urgent ones.
	Priority int
	// Patience is how long the call may wait for a slot of an endpoint; 0 means no bound.
	Patience time.Duration
	// Accepts reports whether the call may be sent to an endpoint; nil for all.
	Accepts func(*qhmember.Endpoint) bool
}

// roomLevel returns the index of a priority in EndpointStats.RoomAt.
func roomLevel(priority int) int { return min(max(priority, 0), qhmember.RoomLevels-1) }

// RecordRefusal records that the endpoint refused a call of the given priority
// because its queue is too long, and how long the call would have waited. Less urgent
// calls wait at least as long.
func RecordRefusal(endpoint *qhmember.Endpoint, priority int, wait time.Duration, now time.Time) {
	roomAt := now.Add(min(wait, maxRoomMemory)).UnixNano()
	own := roomLevel(priority)
	endpoint.Stats.RoomAt[own].Store(roomAt)
	for level := own + 1; level < qhmember.RoomLevels; level++ {
		if endpoint.Stats.RoomAt[level].Load() < roomAt {
			endpoint.Stats.RoomAt[level].Store(roomAt)
		}
	}
}

// knownWait returns how long a call of the priority would wait at the endpoint, as
// far as refusals tell: the wait that the last one named, less the time since then.
func knownWait(endpoint *qhmember.Endpoint, priority int, now time.Time) time.Duration {
	wait := time.Duration(endpoint.Stats.RoomAt[roomLevel(priority)].Load() - now.UnixNano())
	if wait <= 0 || wait > maxRoomMemory { // beyond it only if the clock was set back
		return 0
	}
	return wait
}

// hasRoom reports whether a call may expect a slot of the endpoint within patience;
// 0 means no bound.
func hasRoom(endpoint *qhmember.Endpoint, priority int, patience time.Duration, now time.Time) bool {
	return patience == 0 || knownWait(endpoint, priority, now) <= patience
}

// RecordNotConnected records that no connection to the endpoint's node was open in time.
// The attempt to open one goes on.
func RecordNotConnected(endpoint *qhmember.Endpoint, now time.Time) {
	endpoint.Stats.UnreachableUntil.Store(now.Add(connectingMemory).UnixNano())
}

// isUnreachable reports whether a connection to the endpoint failed lately.
func isUnreachable(endpoint *qhmember.Endpoint, now time.Time) bool {
	left := time.Duration(endpoint.Stats.UnreachableUntil.Load() - now.UnixNano())
	return left > 0 && left <= unreachableMemory // beyond it only if the clock was set back
}

// EarliestFree returns the endpoint at which a call of the priority would wait least,
// and for how long, as far as refusals tell. accepts is that of Need. Endpoints of other availability zones
// count only if no one of the own zone can be used. It returns nil if no endpoint can
// be used.
func (b *Balancer) EarliestFree(view *qhmember.View, service *qhconfig.Service, priority int, accepts func(*qhmember.Endpoint) bool, now time.Time) (*qhmember.Endpoint, time.Duration) {
	pool := b.pools.forService(view, service.Name)
	for _, group := range []*endpointGroup{&pool.local, &pool.remote} {
		s := selection{balancer: b, group: group, service: service, tried: &TriedEndpoints{}, accepts: accepts, now: now}
		if endpoint, wait := s.shortestWait(priority); endpoint != nil {
			return endpoint, wait
		}
	}
	return nil, 0
}

// shortestWait returns the usable endpoint of the group with the shortest known wait,
// or nil. The scan begins at a random endpoint to break ties.
func (s *selection) shortestWait(priority int) (*qhmember.Endpoint, time.Duration) {
	var best *qhmember.Endpoint
	var shortest time.Duration
	count := len(s.group.endpoints)
	if count == 0 {
		return nil, 0
	}
	start := s.balancer.randomIntN(count)
	for i := range count {
		endpoint := s.group.endpoints[(start+i)%count]
		if !s.isUsable(endpoint) {
			continue
		}
		if wait := knownWait(endpoint, priority, s.now); best == nil || wait < shortest {
			best, shortest = endpoint, wait
		}
	}
	return best, shortest
}
