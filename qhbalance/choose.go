// Package qhbalance chooses the endpoint of a call: the better of two random
// endpoints, preferring the node's own availability zone. It compares endpoints
// by the latency and errors that this node has measured and by their load: the
// in-flight calls of this node or the load that the target's node reported,
// whichever is higher.
package qhbalance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	// maxSamples bounds the random draws before all endpoints are scanned. Groups
	// of at most this size are always compared completely.
	maxSamples = 8
	// defaultSpillPercent is the load of the better endpoint of the own
	// availability zone, as a percentage of its slots, from which on other zones
	// are considered.
	defaultSpillPercent = 80
	// maxRemoteLoadPercent is the load, as a percentage of its slots, from which
	// on an endpoint of another availability zone gets no spill-over. Between zones
	// that are all full it would only add traffic.
	maxRemoteLoadPercent = 120
	// spillMarginShare is the fraction of the latency objective by which an endpoint of
	// another availability zone has to be expected to respond earlier.
	spillMarginShare = 0.05
	// coldPercent is the percentage of its regular share of calls that an
	// endpoint in the announced state cold gets, and a new one at first.
	coldPercent = 10
	// slowStartDuration is how long after it was first seen a new endpoint gets
	// less than its regular share of calls.
	slowStartDuration = 4 * time.Second
	// defaultSlots applies to targets that announce no slots. Package qhguard
	// assumes the same number.
	defaultSlots = 8
)

// Balancer chooses endpoints for calls and ejects failing ones. It is safe for
// concurrent use.
type Balancer struct {
	pools        servicePools
	spillPercent int64
	// randomIntN returns a random number in [0, n).
	randomIntN func(n int) int
}

// Options configures a Balancer.
type Options struct {
	// Zone is the availability zone of the node.
	Zone qhid.Zone
	// SpillPercent is the load of the better endpoint of the own availability
	// zone, as a percentage of its slots, from which on other zones are
	// considered. 0 means 80.
	SpillPercent int64
	// Random returns a random number in [0, n). nil means math/rand/v2.
	Random func(n int) int
}

// New returns a balancer without any observations.
func New(options Options) *Balancer {
	randomIntN := options.Random
	if randomIntN == nil {
		randomIntN = rand.IntN
	}
	return &Balancer{pools: servicePools{zone: options.Zone}, spillPercent: cmp.Or(options.SpillPercent, defaultSpillPercent), randomIntN: randomIntN}
}

// TriedEndpoints lists the endpoints to which a call was already sent. The zero
// value is empty.
type TriedEndpoints struct {
	endpoints [maxTried]*qhmember.Endpoint
	size      int
}

// maxTried is the capacity of TriedEndpoints, more than the attempts of a call
// (maxAttempts of package qhproxy).
const maxTried = 8

// Add appends an endpoint. Endpoints beyond maxTried are ignored.
func (t *TriedEndpoints) Add(endpoint *qhmember.Endpoint) {
	if t.size < maxTried {
		t.endpoints[t.size] = endpoint
		t.size++
	}
}

func (t *TriedEndpoints) contains(endpoint *qhmember.Endpoint) bool {
	return slices.Contains(t.endpoints[:t.size], endpoint)
}

// Choice is a chosen endpoint and the reason for the choice.
type Choice struct {
	Endpoint *qhmember.Endpoint
	// RunnerUp is the endpoint that lost the comparison, or nil.
	RunnerUp *qhmember.Endpoint
	Reason   qhdecision.Reason
	// HasCapacity is set when a remote endpoint was chosen because it is expected to
	// respond earlier than those of the own availability zone.
	HasCapacity bool
	// LocalFull is set when a remote endpoint was chosen because those of the own
	// availability zone are known to have no room in time.
	LocalFull bool
}

// selection is the input of one choice within an endpoint group.
type selection struct {
	balancer *Balancer
	group    *endpointGroup
	service  *qhconfig.Service
	tried    *TriedEndpoints
	now      time.Time
	// priority and patience are those of the call, see Need.
	priority int
	patience time.Duration
	// accepts is that of Need.
	accepts func(*qhmember.Endpoint) bool
	// skippedFull is set once a usable endpoint was skipped because it is known to
	// have no room in time.
	skippedFull bool
	// panicMode makes endpoints usable that are ejected or on a down node.
	panicMode bool
}

// Choose returns the endpoint for a call of the service, or false if every
// endpoint that accepts calls was tried before. It prefers usable endpoints
// whose load is below the limits, first in the own availability zone, then in
// others if those are expected to respond earlier. If there are none, it may choose a
// full endpoint, and a group of which most endpoints are unusable is in panic mode: its
// endpoints that are ejected or on a down node are considered too.
func (b *Balancer) Choose(view *qhmember.View, service *qhconfig.Service, tried *TriedEndpoints, now time.Time) (Choice, bool) {
	return b.ChooseFor(view, service, tried, now, Need{})
}

// localLatencyShare is the part of the latency objective below which the expected
// latency of a local endpoint keeps the call in the own availability zone.
const localLatencyShare = 0.7

// ChooseFor is like Choose, but the call also stays in the own availability zone while
// the expected latency is well below its objective, and an endpoint is not chosen that
// is known to have no room in time. It returns false if that holds for all endpoints
// that were not tried before; EarliestFree then tells where there is room first.
func (b *Balancer) ChooseFor(view *qhmember.View, service *qhconfig.Service, tried *TriedEndpoints, now time.Time, need Need) (Choice, bool) {
	pool := b.pools.forService(view, service.Name)
	pool.local.refresh(now)
	pool.remote.refresh(now)
	local := selection{balancer: b, group: &pool.local, service: service, tried: tried, now: now, priority: need.Priority, patience: need.Patience, accepts: need.Accepts}
	localChoice := local.chooseBetter(qhdecision.OwnZone)
	if localChoice.hasLoadBelow(b.spillPercent, now) || localChoice.hasLatencyBelow(localLatencyShare*float64(need.Objective), now) {
		return localChoice, true
	}
	remote := local
	remote.group, remote.skippedFull = &pool.remote, false
	remoteChoice := remote.chooseBetter(qhdecision.OtherZone)
	remoteChoice.LocalFull = localChoice.Endpoint == nil && local.skippedFull
	if remoteChoice.hasLoadBelow(maxRemoteLoadPercent, now) && (localChoice.Endpoint == nil || isWorthSpill(remoteChoice.Endpoint, localChoice.Endpoint, need.Objective, now)) {
		remoteChoice.HasCapacity = true
		if localChoice.Endpoint != nil {
			remoteChoice.Reason, remoteChoice.RunnerUp = qhdecision.SpillOver, localChoice.Endpoint
		}
		return remoteChoice, true
	}
	if choice := local.chooseInPanicMode(); choice.Endpoint != nil {
		return choice, true
	}
	if localChoice.Endpoint != nil {
		return localChoice, true
	}
	if choice := remote.chooseInPanicMode(); choice.Endpoint != nil {
		return choice, true
	}
	return remoteChoice, remoteChoice.Endpoint != nil
}

// hasLatencyBelow reports whether an endpoint was chosen that is not full and whose
// expected latency is below limit, in nanoseconds.
func (c *Choice) hasLatencyBelow(limit float64, now time.Time) bool {
	return c.Endpoint != nil && !isFull(c.Endpoint, now) && expectedLatency(c.Endpoint, c.Endpoint.Stats.Latency.Load(), now) < limit
}

// hasLoadBelow reports whether an endpoint was chosen and its load is below
// maxLoadPercent.
func (c *Choice) hasLoadBelow(maxLoadPercent int64, now time.Time) bool {
	return c.Endpoint != nil && loadPercent(c.Endpoint, now) < maxLoadPercent
}

// chooseBetter returns the better of two random usable endpoints, or the best of
// all in a small group.
func (s *selection) chooseBetter(reason qhdecision.Reason) Choice {
	if len(s.group.endpoints) <= maxSamples {
		return s.chooseBest(reason)
	}
	first := s.sampleUsable(nil)
	if first == nil {
		return Choice{}
	}
	choice := Choice{Endpoint: first, RunnerUp: s.sampleUsable(first), Reason: reason}
	if choice.RunnerUp != nil && isFaster(choice.RunnerUp, first, s.now) {
		choice.Endpoint, choice.RunnerUp = choice.RunnerUp, first
	}
	return choice
}

// chooseBest compares all usable endpoints. A cold or new endpoint is
// considered with the probability of its share of calls.
func (s *selection) chooseBest(reason qhdecision.Reason) Choice {
	choice := Choice{Reason: reason}
	if len(s.group.endpoints) == 0 {
		return choice
	}
	start := s.balancer.randomIntN(len(s.group.endpoints))
	for i := range s.group.endpoints {
		endpoint := s.group.endpoints[(start+i)%len(s.group.endpoints)]
		if !s.isUsable(endpoint) {
			continue
		}
		if share := s.group.shareOfCalls(endpoint, s.now); share < 100 && s.balancer.randomIntN(100) >= share {
			continue
		}
		switch {
		case choice.Endpoint == nil:
			choice.Endpoint = endpoint
		case isFaster(endpoint, choice.Endpoint, s.now):
			choice.Endpoint, choice.RunnerUp = endpoint, choice.Endpoint
		default:
			choice.RunnerUp = endpoint
		}
	}
	if choice.Endpoint == nil {
		choice.Endpoint = s.usableWithLargestShare()
	}
	return choice
}

// chooseInPanicMode chooses among the usable endpoints and those that are
// ejected or on a down node. It returns an empty choice if the group is not in
// panic mode.
func (s *selection) chooseInPanicMode() Choice {
	if !s.group.panicMode.Load() {
		return Choice{}
	}
	s.panicMode = true
	defer func() { s.panicMode = false }()
	return s.chooseBetter(qhdecision.PanicMode)
}

// sampleUsable returns a random usable endpoint other than excluded, or nil. A
// cold or new endpoint is accepted with the probability of its share of calls.
func (s *selection) sampleUsable(excluded *qhmember.Endpoint) *qhmember.Endpoint {
	if len(s.group.endpoints) == 0 {
		return nil
	}
	for range maxSamples {
		endpoint := s.group.endpoints[s.balancer.randomIntN(len(s.group.endpoints))]
		if endpoint == excluded || !s.isUsable(endpoint) {
			continue
		}
		if share := s.group.shareOfCalls(endpoint, s.now); share >= 100 || s.balancer.randomIntN(100) < share {
			return endpoint
		}
	}
	if excluded != nil {
		return nil
	}
	return s.usableWithLargestShare()
}

// usableWithLargestShare returns the usable endpoint with the largest share of
// calls, or nil. The scan begins at a random endpoint to break ties.
func (s *selection) usableWithLargestShare() *qhmember.Endpoint {
	start := s.balancer.randomIntN(len(s.group.endpoints))
	var best *qhmember.Endpoint
	for i := range s.group.endpoints {
		endpoint := s.group.endpoints[(start+i)%len(s.group.endpoints)]
		if !s.isUsable(endpoint) {
			continue
		}
		if best == nil || s.group.shareOfCalls(endpoint, s.now) > s.group.shareOfCalls(best, s.now) {
			best = endpoint
		}
	}
	return best
}

// isUsable reports whether the endpoint may get this call: it accepts calls, can be
// reached, was not tried or retired, is accepted by the call, is not known to have no
// room and, outside of panic mode, is neither ejected nor on a down node.
func (s *selection) isUsable(endpoint *qhmember.Endpoint) bool {
	if !acceptsCalls(endpoint, s.now) || isUnreachable(endpoint, s.now) || s.tried.contains(endpoint) {
		return false
	}
	if s.accepts != nil && !s.accepts(endpoint) {
		return false
	}
	if _, retired := slices.BinarySearch(s.service.Retired, endpoint.ID); retired {
		return false
	}
	if !s.panicMode && (endpoint.NodeDown || isEjected(endpoint, s.now)) {
		return false
	}
	if !hasRoom(endpoint, s.priority, s.patience, s.now) {
		s.skippedFull = true
		return false
	}
	return true
}

// slotsOf returns the announced slots of the endpoint or the default.
func slotsOf(endpoint *qhmember.Endpoint) int64 {
	if endpoint.Slots > 0 {
		return int64(endpoint.Slots)
	}
	return defaultSlots
}

// isFaster reports whether a has a lower expected latency than b, or is not full
// while b is. If either has no measured latency yet, only their loads are compared,
// so that an endpoint that never responds does not count as fast.
func isFaster(a, b *qhmember.Endpoint, now time.Time) bool {
	if fullA, fullB := isFull(a, now), isFull(b, now); fullA != fullB {
		return fullB
	}
	latencyA, latencyB := a.Stats.Latency.Load(), b.Stats.Latency.Load()
	if latencyA == 0 || latencyB == 0 {
		latencyA, latencyB = 1, 1
	}
	return expectedLatency(a, latencyA, now) < expectedLatency(b, latencyB, now)
}

// isWorthSpill reports whether remote is expected to respond earlier than local by so
// much that the call leaves the own availability zone. An endpoint without a measured
// latency counts as fast as the other one.
func isWorthSpill(remote, local *qhmember.Endpoint, objective time.Duration, now time.Time) bool {
	remoteLatency, localLatency := remote.Stats.Latency.Load(), local.Stats.Latency.Load()
	remoteLatency, localLatency = cmp.Or(remoteLatency, localLatency, 1), cmp.Or(localLatency, remoteLatency, 1)
	return expectedLatency(remote, remoteLatency, now)+spillMarginShare*float64(objective) < expectedLatency(local, localLatency, now)
}

const (
	// utilizationPenalty is the relative latency increase at a target whose slots
	// are all in use, including the new call.
	utilizationPenalty = 0.3
	// queueingPenalty is the queue wait behind as many calls as the target has
	// slots, relative to the latency of one call.
	queueingPenalty = 1.5
	// errorPenalty is the relative latency increase at a target all of whose
	// responses are errors.
	errorPenalty = 5
)

// expectedLatency scales the measured latency by the load and the error rate of
// the endpoint.
func expectedLatency(endpoint *qhmember.Endpoint, latency int64, now time.Time) float64 {
	utilization := float64(currentLoad(endpoint, now)+1) / float64(slotsOf(endpoint))
	factor := 1 + utilizationPenalty*utilization + queueingPenalty*max(0, utilization-1)
	factor *= 1 + errorPenalty*float64(endpoint.Stats.ErrorRate.Load())/errorRateScale
	return float64(latency) * factor
}

// currentLoad returns the in-flight calls of this node or the load reported by
// the target's node, whichever is higher.
func currentLoad(endpoint *qhmember.Endpoint, now time.Time) int64 {
	return max(endpoint.Stats.InFlight.Load(), reportedLoad(endpoint, now))
}

// loadPercent returns the load as a percentage of the slots.
func loadPercent(endpoint *qhmember.Endpoint, now time.Time) int64 {
	if isFull(endpoint, now) {
		return 100
	}
	return currentLoad(endpoint, now) * 100 / slotsOf(endpoint)
}
