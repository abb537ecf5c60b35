// Package qhquota bounds the use of something by all nodes together, such as the calls
// of a tenant. Tokens are minted by each node in proportion and moved between nodes,
// never copied, and each is valid for a bounded time after it was minted: in any window no
// more can be used than was minted in it and shortly before, whoever is cut off, paused,
// restarted or replaced. docs/design/tenants.md tells more.
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

// lifetime is how long after it was minted a token may be used: as many are minted in it
// as Burst and Excess allow beyond Rate.
func (l Limit) lifetime() time.Duration {
	return time.Duration(max(l.Burst+l.Excess, 0) / l.Rate * float64(time.Second))
}

// purseLifetime is the lifetime of a token in the purse of the node that minted it.
func (l Limit) purseLifetime() time.Duration { return min(purseTime, l.lifetime()) }

// poolLifetime is how old a token may be when it is lent out of a pool.
func (l Limit) poolLifetime() time.Duration { return max(l.lifetime()-loanTime, 0) }

const (
	// purseTime is how long a token stays in the purse of the node that minted it: a
	// little longer than between two messages to the pools.
	purseTime = 600 * time.Millisecond
	// fullShare is the part of the tokens of a pool's lifetime from which it is full.
	fullShare = 0.8
	// loanTime is how long tokens from a pool are valid, from when they were asked
	// for.
	loanTime = 300 * time.Millisecond
	// demandHalfLife is the half-life of the measured demand.
	demandHalfLife = time.Second
	// keepTime is the time of whose demand as many tokens stay in a purse.
	keepTime = 200 * time.Millisecond
)

// purse has the tokens of one key on one node.
type purse struct {
	// minted are the tokens that this node minted, as of mintedAt.
	minted   batches
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
	lifetime := limit.purseLifetime()
	from := max(p.mintedAt, now.Add(-lifetime))
	p.mintedAt = max(now, p.mintedAt)
	p.minted.expire(now, lifetime)
	if nodes > 0 && from < now {
		p.minted.add(now.Since(from).Seconds()*limit.Rate/float64(nodes), from, lifetime)
	}
}

// take uses one token, if there is one.
func (p *purse) take(now qhclock.Instant) bool {
	p.expire(now)
	if p.total() < 1 {
		return false
	}
	missing := 1.0
	for i := range p.loans {
		used := min(p.loans[i].tokens, missing)
		p.loans[i].tokens -= used
		missing -= used
	}
	p.minted.takeOldest(missing)
	return true
}

// total returns all tokens.
func (p *purse) total() float64 {
	total := p.minted.total()
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
func (p *purse) withdrawSurplus(now qhclock.Instant) Surplus {
	tokens, from := p.minted.takeNewest(p.demandRate(now) * keepTime.Seconds())
	return Surplus{Tokens: tokens, Age: now.Since(from)}
}

// pool has the tokens of one key that other nodes do not need.
type pool struct {
	tokens batches
	// inflow is the decayed number of tokens received, as of inflowAt.
	inflow   float64
	inflowAt qhclock.Instant
}

// add adds tokens that were minted from a moment on, and reports whether the pool is full.
func (p *pool) add(now qhclock.Instant, tokens float64, mintedAt qhclock.Instant, limit Limit) bool {
	lifetime := limit.poolLifetime()
	p.inflow = p.decayedInflow(now) + tokens
	p.inflowAt = now
	p.tokens.add(tokens, mintedAt, lifetime)
	p.tokens.expire(now, lifetime)
	return p.tokens.total() >= fullShare*limit.Rate*lifetime.Seconds()
}

func (p *pool) decayedInflow(now qhclock.Instant) float64 {
	return p.inflow * math.Exp2(-float64(max(now.Since(p.inflowAt), 0))/float64(demandHalfLife))
}

// lend takes tokens out of the pool: as many as wanted, or what there is. If that is
// less than one, it returns 0 and the time after which there should be one.
func (p *pool) lend(now qhclock.Instant, wanted float64, limit Limit) (float64, time.Duration) {
	p.tokens.expire(now, limit.poolLifetime())
	available := p.tokens.total()
	if lent := min(max(wanted, 0), available); lent >= 1 {
		return p.tokens.takeOldest(lent), 0
	}
	rate := max(p.decayedInflow(now)*math.Ln2/demandHalfLife.Seconds(), 1/maxRetryAfter.Seconds())
	return 0, min(time.Duration((1-available)/rate*float64(time.Second)), maxRetryAfter)
}
