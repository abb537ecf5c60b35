// Package qhquota bounds the use of something by all nodes together, such as the calls
// of a tenant. Tokens are minted by each node in proportion and moved between nodes,
// never copied: in any window no more can be used than was minted in and shortly before
// it, whoever is cut off, paused, restarted or replaced. docs/design/tenants.md tells
// more.
package qhquota

import (
	"math"
	"time"

	"quetzalhaven.dev/qhclock"
)

// Key names what is bounded.
type Key string

// Limit is the bound on the use of a key by all nodes together.
type Limit struct {
	// Rate is the number of tokens per second.
	Rate float64
	// Burst is the number of tokens that may be used beyond that.
	Burst float64
	// Excess is the number of tokens that may be used in a window in excess of Rate
	// and Burst.
	Excess float64
}

// purses returns how many tokens all purses together may hold.
func (l Limit) purses() float64 {
	return min(l.Rate*purseTime.Seconds(), purseShare*max(l.Burst+l.Excess-l.loans(), 0))
}

// pools returns how many tokens a pool may hold: what Burst and Excess leave beside
// purses and loans, so that all tokens that exist are never more.
func (l Limit) pools() float64 { return max(l.Burst+l.Excess-l.loans()-l.purses(), 0) }

// loans returns how many tokens of loans may exist beside those in purses and pools.
func (l Limit) loans() float64 { return l.Rate * loanTime.Seconds() }

const (
	// purseShare is the part of the tokens that may exist that purses hold at most, and
	// purseTime the time of whose rate they hold as many: a little more than between
	// two messages to the pools.
	purseShare = 0.4
	purseTime  = 600 * time.Millisecond
	// loanTime is how long tokens from a pool are valid, from when they were asked
	// for.
	loanTime = 300 * time.Millisecond
	// demandHalfLife is the half-life of the measured demand.
	demandHalfLife = time.Second
	// keepTime is the time of whose demand as many tokens stay in a purse.
	keepTime = 250 * time.Millisecond
)

// purse has the tokens of one key on one node.
type purse struct {
	// tokens are those that this node minted, as of mintedAt.
	tokens   float64
	mintedAt qhclock.Instant
	// loans are tokens from a pool, ordered by when they expire.
	loans []loan
	// demand is the decayed number of tokens wanted, as of demandAt.
	demand   float64
	demandAt qhclock.Instant
	// refused counts the wanted tokens that there were none for.
	refused uint64
}

// loan is a number of tokens that expire.
type loan struct {
	tokens  float64
	expires qhclock.Instant
}

// newPurse returns an empty purse.
func newPurse(now qhclock.Instant) *purse { return &purse{mintedAt: now, demandAt: now} }

// mint adds this node's part of the tokens since the last time. nodes is the number of
// nodes; 0 mints nothing.
func (p *purse) mint(now qhclock.Instant, limit Limit, nodes int) {
	elapsed := max(now.Since(p.mintedAt), 0).Seconds()
	p.mintedAt = max(now, p.mintedAt)
	if nodes <= 0 {
		return
	}
	p.tokens = min(p.tokens+elapsed*limit.Rate/float64(nodes), limit.purses()/float64(nodes))
}

// take uses one token, if there is one.
func (p *purse) take(now qhclock.Instant) bool {
	p.expire(now)
	if p.tokens >= 1 {
		p.tokens--
		return true
	}
	missing := 1.0
	if p.total() < missing {
		return false
	}
	for i := range p.loans {
		used := min(p.loans[i].tokens, missing)
		p.loans[i].tokens -= used
		missing -= used
	}
	p.tokens = max(p.tokens-missing, 0)
	return true
}

// total returns all tokens.
func (p *purse) total() float64 {
	total := p.tokens
	for _, l := range p.loans {
		total += l.tokens
	}
	return total
}

// expire drops the loans that have expired or are used up.
func (p *purse) expire(now qhclock.Instant) {
	kept := p.loans[:0]
	for _, l := range p.loans {
		if l.expires > now && l.tokens > 0 {
			kept = append(kept, l)
		}
	}
	p.loans = kept
}

// add adds tokens from a pool that were asked for at the given moment.
func (p *purse) add(tokens float64, askedAt qhclock.Instant) {
	if tokens > 0 {
		p.loans = append(p.loans, loan{tokens: tokens, expires: askedAt.Add(loanTime)})
	}
}

// want counts a wanted token.
func (p *purse) want(now qhclock.Instant) {
	p.demand = p.decayedDemand(now) + 1
	p.demandAt = now
}

func (p *purse) decayedDemand(now qhclock.Instant) float64 {
	return p.demand * math.Exp2(-float64(max(now.Since(p.demandAt), 0))/float64(demandHalfLife))
}

// demandRate returns the tokens wanted per second.
func (p *purse) demandRate(now qhclock.Instant) float64 {
	return p.decayedDemand(now) * math.Ln2 / demandHalfLife.Seconds()
}

// withdrawSurplus takes the minted tokens out that this node does not need itself.
func (p *purse) withdrawSurplus(now qhclock.Instant) float64 {
	keep := p.demandRate(now) * keepTime.Seconds()
	surplus := p.tokens - keep
	if surplus <= 0 {
		return 0
	}
	p.tokens = keep
	return surplus
}

// pool has the tokens of one key that other nodes do not need.
type pool struct {
	tokens float64
	// inflow is the decayed number of tokens received, as of inflowAt.
	inflow   float64
	inflowAt qhclock.Instant
}

// add adds tokens up to the capacity, and reports whether the pool is full.
func (p *pool) add(now qhclock.Instant, tokens float64, limit Limit) bool {
	p.inflow = p.decayedInflow(now) + tokens
	p.inflowAt = now
	p.tokens = min(p.tokens+tokens, limit.pools())
	return p.tokens >= limit.pools()
}

func (p *pool) decayedInflow(now qhclock.Instant) float64 {
	return p.inflow * math.Exp2(-float64(max(now.Since(p.inflowAt), 0))/float64(demandHalfLife))
}

// lend takes tokens out of the pool: as many as wanted, or what there is. If that is
// less than one, it returns 0 and the time after which there should be one.
func (p *pool) lend(now qhclock.Instant, wanted float64, limit Limit) (float64, time.Duration) {
	p.tokens = min(p.tokens, limit.pools()) // the limit may have been lowered
	lent := min(max(wanted, 0), p.tokens)
	if lent < 1 {
		rate := max(p.decayedInflow(now)*math.Ln2/demandHalfLife.Seconds(), 1/maxRetryAfter.Seconds())
		return 0, min(time.Duration((1-p.tokens)/rate*float64(time.Second)), maxRetryAfter)
	}
	p.tokens -= lent
	return lent, 0
}
