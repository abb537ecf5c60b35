package qhshed

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// servedHalfLife is the half-life of the count of answered calls.
	servedHalfLife = 2 * time.Second
	// minServedRate is the least rate, in calls per second, at which callers are told
	// to return.
	minServedRate = 2
	// bookingsMemory is how long the bookings of a key are kept that is not used.
	bookingsMemory = time.Minute
)

// ReturnKey names what callers return to, such as a service.
type ReturnKey string

// Returns books the times at which refused callers return to a service, or to the
// allowance of a tenant: one after the other at the rate at which calls were lately
// served there, so that those who return find room. Bookings are forgotten as their time
// passes, whether the caller came or not. It is safe for concurrent use.
type Returns struct {
	mu       sync.Mutex
	bookings map[ReturnKey]*bookings
}

// bookings are those of one key.
type bookings struct {
	// served is the decayed number of answered calls at servedAt.
	served   float64
	servedAt time.Time
	// bookedUntil is the last time at which a caller was told to return.
	bookedUntil time.Time
}

// NewReturns returns an empty Returns.
func NewReturns() *Returns { return &Returns{bookings: make(map[ReturnKey]*bookings)} }

// forKey returns the bookings of a key. The lock is held.
func (r *Returns) forKey(key ReturnKey, now time.Time) *bookings {
	b := r.bookings[key]
	if b == nil {
		maps.DeleteFunc(r.bookings, func(_ ReturnKey, old *bookings) bool { return now.Sub(old.servedAt) > bookingsMemory })
		b = &bookings{}
		r.bookings[key] = b
	}
	return b
}

// decay brings the count of answered calls up to now.
func (b *bookings) decay(now time.Time) {
	if elapsed := now.Sub(b.servedAt); elapsed > 0 {
		b.served *= math.Exp2(-float64(elapsed) / float64(servedHalfLife))
		b.servedAt = now
	}
}

// Served counts a served call.
func (r *Returns) Served(key ReturnKey, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.forKey(key, now)
	b.decay(now)
	b.served++
}

// Book returns after which time a refused caller should return, given
// the time until there is room. patience bounds the result; 0 means no bound.
func (r *Returns) Book(key ReturnKey, now time.Time, roomIn, patience time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.forKey(key, now)
	b.decay(now)
	rate := max(b.served*math.Ln2/servedHalfLife.Seconds(), minServedRate)
	at := now.Add(roomIn)
	if b.bookedUntil.After(at) {
		at = b.bookedUntil
	}
	if patience > 0 && at.Sub(now) > patience {
		return max(patience, roomIn)
	}
	b.bookedUntil = at.Add(time.Duration(float64(time.Second) / rate))
	return at.Sub(now)
}
