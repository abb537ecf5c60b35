package qhquota

import (
	"slices"
	"time"

	"quetzalhaven.dev/qhclock"
)

// batchesPerLifetime is the number of batches by which the age of tokens is told apart.
const batchesPerLifetime = 32

// batch is a number of tokens of which none was minted before mintedAt.
type batch struct {
	tokens   float64
	mintedAt qhclock.Instant
}

// batches are tokens by age, the oldest first.
type batches []batch

// add adds tokens that were minted from a moment on. Tokens whose ages differ by less than
// a batch of the lifetime count as the older ones.
func (b *batches) add(tokens float64, mintedAt qhclock.Instant, lifetime time.Duration) {
	if tokens <= 0 {
		return
	}
	next, _ := slices.BinarySearchFunc(*b, mintedAt, func(other batch, at qhclock.Instant) int { return int(other.mintedAt.Since(at)) })
	width := lifetime / batchesPerLifetime
	if next > 0 && mintedAt.Since((*b)[next-1].mintedAt) < width {
		(*b)[next-1].tokens += tokens
		return
	}
	if next < len(*b) && (*b)[next].mintedAt.Since(mintedAt) < width {
		(*b)[next].tokens += tokens
		(*b)[next].mintedAt = mintedAt
		return
	}
	*b = slices.Insert(*b, next, batch{tokens: tokens, mintedAt: mintedAt})
}

// expire drops the tokens that are older than the lifetime.
func (b *batches) expire(now qhclock.Instant, lifetime time.Duration) {
	*b = slices.DeleteFunc(*b, func(old batch) bool { return old.tokens <= 0 || now.Since(old.mintedAt) > lifetime })
}

func (b *batches) total() float64 {
	total := 0.0
	for _, each := range *b {
		total += each.tokens
	}
	return total
}

// takeOldest takes tokens out, and returns how many were there.
func (b *batches) takeOldest(tokens float64) float64 {
	taken := 0.0
	for i := range *b {
		part := min((*b)[i].tokens, tokens-taken)
		(*b)[i].tokens -= part
		taken += part
	}
	return taken
}

// takeNewest takes all tokens out but the oldest keep, and returns them with the moment
// from which on they were minted.
func (b *batches) takeNewest(keep float64) (float64, qhclock.Instant) {
	taken, from := 0.0, qhclock.Instant(0)
	for i := range *b {
		kept := min((*b)[i].tokens, keep)
		keep -= kept
		if rest := (*b)[i].tokens - kept; rest > 0 {
			if taken == 0 {
				from = (*b)[i].mintedAt
			}
			taken += rest
			(*b)[i].tokens = kept
		}
	}
	return taken, from
}
