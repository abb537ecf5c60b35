package qhdecision

import (
	"sync/atomic"

	"quetzalhaven.dev/qhid"
)

// Ring is a ring buffer of the latest decisions. It is safe for concurrent use,
// and Add takes no lock.
type Ring struct {
	slots []atomic.Pointer[Decision]
	// next is the total number of decisions added so far.
	next atomic.Uint64
}

// NewRing returns a ring for size decisions, at least one.
func NewRing(size int) *Ring {
	return &Ring{slots: make([]atomic.Pointer[Decision], max(size, 1))}
}

// Add stores d, overwriting the oldest decision if the ring is full. It keeps only the start
// of long texts, which callers choose.
func (r *Ring) Add(d Decision) {
	d = d.Bounded()
	slot := (r.next.Add(1) - 1) % uint64(len(r.slots))
	r.slots[slot].Store(&d)
}

// Find returns the stored decisions about a request, oldest first.
func (r *Ring) Find(request qhid.Request) []Decision {
	var found []Decision
	request = clip(request, maxRequestBytes)
	r.each(func(d *Decision) {
		if d.Request == request {
			found = append(found, *d)
		}
	})
	return found
}

// Recent returns the latest n stored decisions, oldest first.
func (r *Ring) Recent(n int) []Decision {
	var all []Decision
	r.each(func(d *Decision) { all = append(all, *d) })
	return all[max(0, len(all)-max(n, 0)):]
}

// each calls f for every stored decision, oldest first.
func (r *Ring) each(f func(*Decision)) {
	size := uint64(len(r.slots))
	first := r.next.Load() // the slot that is written next holds the oldest decision
	for i := range size {
		if d := r.slots[(first+i)%size].Load(); d != nil {
			f(d)
		}
	}
}
