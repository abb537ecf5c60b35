// Package qhbalance chooses the target of a call: the better of two random
// endpoints by what the node has itself seen of them, in its own availability
// zone first. What targets report of themselves is a hint only.
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
	// samples bounds the random endpoints that are looked at before all are.
	samples = 8
	// defaultSpill is how full, in hundredths of its slots, the better endpoint
	// of the own availability zone is when others are considered.
	defaultSpill = 80
	// roomPercent is how full an endpoint of another availability zone may be to
	// take what spills over.
	roomPercent = 80
	// coldPercent is the part of its share that a cold target gets.
	coldPercent = 10
	// slowStart is how long a new target takes to get its whole share.
	slowStart = 4 * time.Second
	// defaultSlots is for a target that announces none.
	defaultSlots = 8
)

// Balancer chooses endpoints and keeps the evidence about them.
type Balancer struct {
	pools pools
	spill int64
	// random returns a number in [0, n).
	random func(n int) int
}

// Options are the options of a balancer.
type Options struct {
	// Zone is the node's own availability zone.
	Zone qhid.Zone
	// SpillPercent is how full, in hundredths of its slots, the better endpoint of the
	// own zone is when others are considered; 80 where it is 0.
	SpillPercent int64
	// Random returns a number in [0, n); nil is math/rand.
	Random func(n int) int
}

// New returns a balancer.
func New(options Options) *Balancer {
	random := options.Random
	if random == nil {
		random = rand.IntN
	}
	return &Balancer{pools: pools{zone: options.Zone}, spill: cmp.Or(options.SpillPercent, defaultSpill), random: random}
}

// TriedEndpoints lists the endpoints that a call was already sent to. The zero value is
// empty.
type TriedEndpoints struct {
	list [maxTried]*qhmember.Endpoint
	size int
}

// maxTried is the largest number of attempts of one call.
const maxTried = 8

// Add notes an endpoint.
func (t *TriedEndpoints) Add(endpoint *qhmember.Endpoint) {
	if t.size < maxTried {
		t.list[t.size] = endpoint
		t.size++
	}
}

func (t *TriedEndpoints) has(endpoint *qhmember.Endpoint) bool {
	return slices.Contains(t.list[:t.size], endpoint)
}

// Choice is the endpoint that was chosen and why.
type Choice struct {
	Endpoint *qhmember.Endpoint
	// RunnerUp is the one that it was preferred to, or nil.
	RunnerUp *qhmember.Endpoint
	Reason   qhdecision.Reason
	// HasCapacity is set where the endpoint is believed to have free slots.
	HasCapacity bool
}

// pick is what one choice on one side needs to know.
type pick struct {
	balancer *Balancer
	side     *side
	service  *qhconfig.Service
	tried    *TriedEndpoints
	now      time.Time
	// doubting ignores ejections and lost nodes.
	doubting bool
}

// Choose returns the endpoint for a call of the service, or false where no
// endpoint takes work that was not tried before. Endpoints that look usable and
// have room go first, those of the own availability zone before others. Where
// they are full and most of a side looks unusable, the evidence is doubted.
func (b *Balancer) Choose(view *qhmember.View, service *qhconfig.Service, tried *TriedEndpoints, now time.Time) (Choice, bool) {
	return b.ChooseWithObjective(view, service, tried, now, 0)
}

// stayShare is the part of a call's objective within which an answer of the own
// availability zone is expected for the call to stay there.
const stayShare = 0.7

// ChooseWithObjective is Choose for a call that stays in the own availability zone while
// an answer is expected well within its objective; 0 is none.
func (b *Balancer) ChooseWithObjective(view *qhmember.View, service *qhconfig.Service, tried *TriedEndpoints, now time.Time, objective time.Duration) (Choice, bool) {
	pool := b.pools.of(view, service.Name)
	pool.near.refresh(now)
	pool.far.refresh(now)
	near := pick{balancer: b, side: &pool.near, service: service, tried: tried, now: now}
	own := near.better(qhdecision.OwnZone)
	if own.hasRoom(b.spill, now) || own.within(stayShare*float64(objective), now) {
		return own, true
	}
	far := near
	far.side = &pool.far
	other := far.better(qhdecision.OtherZone)
	if other.hasRoom(roomPercent, now) {
		other.HasCapacity = true
		if own.Endpoint != nil {
			other.Reason, other.RunnerUp = qhdecision.SpillOver, own.Endpoint
		}
		return other, true
	}
	if choice := near.doubt(); choice.Endpoint != nil {
		return choice, true
	}
	if own.Endpoint != nil {
		return own, true
	}
	if choice := far.doubt(); choice.Endpoint != nil {
		return choice, true
	}
	return other, other.Endpoint != nil
}

// within tells whether an answer is expected within the time, in nanoseconds.
func (c *Choice) within(time float64, now time.Time) bool {
	return c.Endpoint != nil && cost(c.Endpoint, c.Endpoint.Stats.Latency.Load(), now) < time
}

// hasRoom tells whether there is an endpoint that is less full than the bound.
func (c *Choice) hasRoom(bound int64, now time.Time) bool {
	return c.Endpoint != nil && fullness(c.Endpoint, now) < bound
}

// better returns the better of two random usable endpoints, or the best of all
// where there are few.
func (p *pick) better(why qhdecision.Reason) Choice {
	if len(p.side.list) <= samples {
		return p.best(why)
	}
	first := p.sample(nil)
	if first == nil {
		return Choice{}
	}
	choice := Choice{Endpoint: first, RunnerUp: p.sample(first), Reason: why}
	if choice.RunnerUp != nil && quicker(choice.RunnerUp, first, p.now) {
		choice.Endpoint, choice.RunnerUp = choice.RunnerUp, first
	}
	return choice
}

// best returns the best usable endpoint, those that start as often as their
// share says.
func (p *pick) best(why qhdecision.Reason) Choice {
	choice := Choice{Reason: why}
	if len(p.side.list) == 0 {
		return choice
	}
	start := p.balancer.random(len(p.side.list))
	for i := range p.side.list {
		endpoint := p.side.list[(start+i)%len(p.side.list)]
		if !p.usable(endpoint) {
			continue
		}
		if warm := p.side.warmth(endpoint, p.now); warm < 100 && p.balancer.random(100) >= warm {
			continue
		}
		switch {
		case choice.Endpoint == nil:
			choice.Endpoint = endpoint
		case quicker(endpoint, choice.Endpoint, p.now):
			choice.Endpoint, choice.RunnerUp = endpoint, choice.Endpoint
		default:
			choice.RunnerUp = endpoint
		}
	}
	if choice.Endpoint == nil {
		choice.Endpoint = p.scan()
	}
	return choice
}

// doubt chooses among all endpoints of a side where too few look usable to trust
// the evidence.
func (p *pick) doubt() Choice {
	if !p.side.doubted.Load() {
		return Choice{}
	}
	doubting := *p
	doubting.doubting = true
	return doubting.better(qhdecision.PanicMode)
}

// sample returns a random usable endpoint other than not, or nil. Endpoints
// that start are passed over as often as their share says.
func (p *pick) sample(not *qhmember.Endpoint) *qhmember.Endpoint {
	if len(p.side.list) == 0 {
		return nil
	}
	for range samples {
		endpoint := p.side.list[p.balancer.random(len(p.side.list))]
		if endpoint == not || !p.usable(endpoint) {
			continue
		}
		if warm := p.side.warmth(endpoint, p.now); warm >= 100 || p.balancer.random(100) < warm {
			return endpoint
		}
	}
	if not != nil {
		return nil
	}
	return p.scan()
}

// scan returns the warmest usable endpoint from a random place on, or nil.
func (p *pick) scan() *qhmember.Endpoint {
	start := p.balancer.random(len(p.side.list))
	var best *qhmember.Endpoint
	for i := range p.side.list {
		endpoint := p.side.list[(start+i)%len(p.side.list)]
		if !p.usable(endpoint) {
			continue
		}
		if best == nil || p.side.warmth(endpoint, p.now) > p.side.warmth(best, p.now) {
			best = endpoint
		}
	}
	return best
}

// usable tells whether the endpoint may get this call.
func (p *pick) usable(endpoint *qhmember.Endpoint) bool {
	if !takesWork(endpoint) || p.tried.has(endpoint) {
		return false
	}
	if _, retired := slices.BinarySearch(p.service.Retired, endpoint.ID); retired {
		return false
	}
	return p.doubting || (!endpoint.NodeDown && !ejected(endpoint, p.now))
}

// slots returns the slots of an endpoint.
func slots(endpoint *qhmember.Endpoint) int64 {
	if endpoint.Slots > 0 {
		return int64(endpoint.Slots)
	}
	return defaultSlots
}

// quicker tells whether a is expected to answer before b. Endpoints without an
// answer yet are compared by their load alone, so that one that never answers
// does not count as quick.
func quicker(a, b *qhmember.Endpoint, now time.Time) bool {
	latencyA, latencyB := a.Stats.Latency.Load(), b.Stats.Latency.Load()
	if latencyA == 0 || latencyB == 0 {
		latencyA, latencyB = 1, 1
	}
	return cost(a, latencyA, now) < cost(b, latencyB, now)
}

const (
	// crowding is how much longer a call takes at a target whose slots are all in
	// use but one, in parts of its time.
	crowding = 0.3
	// queueing is the wait behind as many calls as there are slots, in parts of
	// the time of a call.
	queueing = 1.5
	// faulty is how many times its time a call costs at a target that fails all.
	faulty = 5
)

// cost returns the time until an answer is expected, by the time of a call, the
// load and the share of calls that failed.
func cost(endpoint *qhmember.Endpoint, latency int64, now time.Time) float64 {
	use := float64(load(endpoint, now)+1) / float64(slots(endpoint))
	factor := 1 + crowding*use + queueing*max(0, use-1)
	factor *= 1 + faulty*float64(endpoint.Stats.ErrorRate.Load())/faultScale
	return float64(latency) * factor
}

// load returns the calls that the endpoint is believed to have.
func load(endpoint *qhmember.Endpoint, now time.Time) int64 {
	return max(endpoint.Stats.InFlight.Load(), hintedLoad(endpoint, now))
}

// fullness returns the load in hundredths of the slots.
func fullness(endpoint *qhmember.Endpoint, now time.Time) int64 {
	if endpoint.Stats.FullUntil.Load() > now.UnixNano() {
		return 100
	}
	return load(endpoint, now) * 100 / slots(endpoint)
}
