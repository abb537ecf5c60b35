package qhmemory

import (
	"time"

	"quetzalhaven.dev/qhid"
)

// maxReleaseWait bounds the wait for the memory of disconnected clients.
const maxReleaseWait = time.Second

// Charge is what is held for a client for one purpose. Its methods do nothing on nil. It is
// safe for concurrent use.
type Charge struct {
	client *Client
	kind   Kind

	// The following fields are guarded by the account's lock.
	size qhid.Bytes
	// pending is set while the client has to go on before the memory can be released.
	pending bool
	// isCall is set while the charge counts as a running call of its client.
	isCall bool
	// released is set once the charge can no longer change.
	released bool
}

// Set changes what is held. If there is no room, clients are disconnected, this one too if it
// holds the most. It returns false if this one was.
func (ch *Charge) Set(size qhid.Bytes) bool {
	if ch == nil {
		return true
	}
	a := ch.client.account
	a.mu.Lock()
	var victims []*Client
	if !ch.released && size != ch.size {
		grows := size > ch.size
		ch.add(size - ch.size)
		if grows {
			victims = a.makeRoom(func(*Client) bool { return true })
		}
	}
	kept := !ch.client.evicted
	a.mu.Unlock()
	a.disconnect(NoMemory, victims)
	return kept
}

// SetSlowly is like Set, but returns only once clients that were disconnected have released
// most of their memory, so that a crowd takes none faster than it is released. It must not be
// called with a lock that they need for that.
func (ch *Charge) SetSlowly(size qhid.Bytes) bool {
	kept := ch.Set(size)
	if !kept || ch == nil {
		return kept
	}
	var timeout <-chan time.Time
	for {
		released, kept := ch.awaited()
		if released == nil {
			return kept
		}
		if timeout == nil {
			timer := time.NewTimer(maxReleaseWait)
			defer timer.Stop() //nolint:gocritic // at most one timer a call
			timeout = timer.C
		}
		select {
		case <-released:
		case <-timeout:
			return kept
		}
	}
}

// awaited returns a channel that is closed when disconnected clients release memory, nil if
// there is nothing to wait for, and whether the client is connected.
func (ch *Charge) awaited() (<-chan struct{}, bool) {
	a := ch.client.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if ch.client.evicted || !a.isOverfull() {
		return nil, !ch.client.evicted
	}
	if a.released == nil {
		a.released = make(chan struct{})
	}
	return a.released, true
}

// Settle makes pending memory a part of a running call. It returns false if running calls
// have too much, and leaves the charge pending.
func (ch *Charge) Settle() bool {
	if ch == nil {
		return true
	}
	a := ch.client.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ch.pending || ch.released {
		return true
	}
	if a.running+ch.size > qhid.Bytes(settledShare*float64(a.limits.Memory)) {
		return false
	}
	ch.pending = false
	ch.client.pending -= ch.size
	a.running += ch.size
	return true
}

// Release releases what is held. It may be called more than once.
func (ch *Charge) Release() {
	if ch == nil {
		return
	}
	a := ch.client.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if ch.released {
		return
	}
	ch.add(-ch.size)
	ch.released = true
	if ch.isCall {
		ch.client.calls--
	}
}

// add changes the size of the charge and the sums it is part of. The account's lock must be
// held.
func (ch *Charge) add(delta qhid.Bytes) {
	c := ch.client
	a := c.account
	ch.size += delta
	c.held += delta
	a.held[ch.kind] += delta
	a.total += delta
	if !c.evicted {
		a.active += delta
	}
	if delta < 0 {
		a.wakeWaiting()
	}
	if ch.pending {
		c.pending += delta
	} else {
		a.running += delta
	}
}
