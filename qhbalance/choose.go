// Package qhbalance chooses the endpoint of a call: the better of two random
// endpoints, preferring the node's own availability zone. It compares endpoints
// by the latency, errors and in-flight calls that this node has measured. The
// load that targets report is only a hint.
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
	// on an endpoint of another availability zone gets no spill-over.
	maxRemoteLoadPercent = 80
	// coldPercent is the percentage of its regular share of calls that a cold
	// target gets.
	coldPercent = 10
	// slowStartDuration is the time in which a new target ramps up to its regular
	// share of calls.
	slowStartDuration = 4 * time.Second
	// defaultSlots applies to targets that announce no slots.
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

// Options configure a Balancer.
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

// TriedEndpoints is the list of endpoints that a call was already sent to. The
// zero value is empty.
type TriedEndpoints struct {
	endpoints [maxTried]*qhmember.Endpoint
	size      int
}

// maxTried is the maximum number of attempts of one call.
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
	// HasCapacity is set when a remote endpoint was chosen because it is expected
	// to have free slots.
	HasCapacity bool
}

// selection is the input of one choice within an endpoint group.
type selection struct {
	balancer *Balancer
	group    *endpointGroup
	service  *qhconfig.Service
	tried    *TriedEndpoints
	now      time.Time
	// panicMode ignores ejections and nodes that are considered down.
	panicMode bool
}

// Choose returns the endpoint for a call of the service, or false if every
// endpoint that accepts calls was tried before. Usable endpoints below the load
// limits come first, and the own availability zone comes before others. If these
// are full and most endpoints of a group look unusable, the group is in panic
// mode: ejections and down nodes are ignored.
func (b *Balancer) Choose(view *qhmember.View, service *qhconfig.Service, tried *TriedEndpoints, now time.Time) (Choice, bool) {
	return b.ChooseWithObjective(view, service, tried, now, 0)
}

// localLatencyShare is the part of the latency objective below which the expected
// latency of a local endpoint keeps the call in the own availability zone.
const localLatencyShare = 0.7

// ChooseWithObjective is like Choose, but the call also stays in the own
// availability zone while the expected latency is well below the objective. An
// objective of 0 means none.
func (b *Balancer) ChooseWithObjective(view *qhmember.View, service *qhconfig.Service, tried *TriedEndpoints, now time.Time, objective time.Duration) (Choice, bool) {
	pool := b.pools.forService(view, service.Name)
	pool.local.refresh(now)
	pool.remote.refresh(now)
	local := selection{balancer: b, group: &pool.local, service: service, tried: tried, now: now}
	localChoice := local.chooseBetter(qhdecision.OwnZone)
	if localChoice.isBelow(b.spillPercent, now) || localChoice.expectedWithin(localLatencyShare*float64(objective), now) {
		return localChoice, true
	}
	remote := local
	remote.group = &pool.remote
	remoteChoice := remote.chooseBetter(qhdecision.OtherZone)
	if remoteChoice.isBelow(maxRemoteLoadPercent, now) {
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

// expectedWithin reports whether the expected latency of the endpoint is below
// limit, in nanoseconds.
func (c *Choice) expectedWithin(limit float64, now time.Time) bool {
	return c.Endpoint != nil && expectedLatency(c.Endpoint, c.Endpoint.Stats.Latency.Load(), now) < limit
}

// isBelow reports whether an endpoint was chosen and its load is below
// maxLoadPercent.
func (c *Choice) isBelow(maxLoadPercent int64, now time.Time) bool {
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

// chooseBest compares all usable endpoints. Endpoints in slow start take part
// with a probability of their warm-up percentage.
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
		if warmup := s.group.warmupPercent(endpoint, s.now); warmup < 100 && s.balancer.randomIntN(100) >= warmup {
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
		choice.Endpoint = s.warmestUsable()
	}
	return choice
}

// chooseInPanicMode chooses among all endpoints of a group that has too few
// usable ones. It returns an empty choice if the group is not in panic mode.
func (s *selection) chooseInPanicMode() Choice {
	if !s.group.panicMode.Load() {
		return Choice{}
	}
	panicking := *s
	panicking.panicMode = true
	return panicking.chooseBetter(qhdecision.PanicMode)
}

// sampleUsable returns a random usable endpoint other than excluded, or nil.
// Endpoints in slow start are accepted with a probability of their warm-up
// percentage.
func (s *selection) sampleUsable(excluded *qhmember.Endpoint) *qhmember.Endpoint {
	if len(s.group.endpoints) == 0 {
		return nil
	}
	for range maxSamples {
		endpoint := s.group.endpoints[s.balancer.randomIntN(len(s.group.endpoints))]
		if endpoint == excluded || !s.isUsable(endpoint) {
			continue
		}
		if warmup := s.group.warmupPercent(endpoint, s.now); warmup >= 100 || s.balancer.randomIntN(100) < warmup {
			return endpoint
		}
	}
	if excluded != nil {
		return nil
	}
	return s.warmestUsable()
}

// warmestUsable returns the usable endpoint with the highest warm-up percentage,
// or nil. The scan begins at a random endpoint to break ties.
func (s *selection) warmestUsable() *qhmember.Endpoint {
	start := s.balancer.randomIntN(len(s.group.endpoints))
	var best *qhmember.Endpoint
	for i := range s.group.endpoints {
		endpoint := s.group.endpoints[(start+i)%len(s.group.endpoints)]
		if !s.isUsable(endpoint) {
			continue
		}
		if best == nil || s.group.warmupPercent(endpoint, s.now) > s.group.warmupPercent(best, s.now) {
			best = endpoint
		}
	}
	return best
}

// isUsable reports whether the endpoint may get this call.
func (s *selection) isUsable(endpoint *qhmember.Endpoint) bool {
	if !acceptsCalls(endpoint) || s.tried.contains(endpoint) {
		return false
	}
	if _, retired := slices.BinarySearch(s.service.Retired, endpoint.ID); retired {
		return false
	}
	return s.panicMode || (!endpoint.NodeDown && !isEjected(endpoint, s.now))
}

// slotsOf returns the announced slots of the endpoint or the default.
func slotsOf(endpoint *qhmember.Endpoint) int64 {
	if endpoint.Slots > 0 {
		return int64(endpoint.Slots)
	}
	return defaultSlots
}

// isFaster reports whether a has a lower expected latency than b. If either has
// no measured latency yet, only their loads are compared, so that an endpoint
// that never responds does not count as fast.
func isFaster(a, b *qhmember.Endpoint, now time.Time) bool {
	latencyA, latencyB := a.Stats.Latency.Load(), b.Stats.Latency.Load()
	if latencyA == 0 || latencyB == 0 {
		latencyA, latencyB = 1, 1
	}
	return expectedLatency(a, latencyA, now) < expectedLatency(b, latencyB, now)
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
	if endpoint.Stats.FullUntil.Load() > now.UnixNano() {
		return 100
	}
	return currentLoad(endpoint, now) * 100 / slotsOf(endpoint)
}
