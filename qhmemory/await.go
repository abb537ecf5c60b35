package qhmemory

import "time"

// maxReleaseWait bounds the wait for the memory of disconnected clients.
const maxReleaseWait = time.Second

// Await waits until clients that were disconnected have released what they held in excess of
// the limit, at most maxReleaseWait. It does nothing on nil.
func (a *Account) Await() {
	if a != nil {
		a.await(nil)
	}
}

// await is Await, but returns once the client is disconnected; nil for none.
func (a *Account) await(c *Client) {
	var timeout <-chan time.Time
	for {
		released := a.nextRelease(c)
		if released == nil {
			return
		}
		if timeout == nil {
			timer := time.NewTimer(maxReleaseWait)
			defer timer.Stop() //nolint:gocritic // at most one timer a call
			timeout = timer.C
		}
		select {
		case <-released:
		case <-timeout:
			return
		}
	}
}

// nextRelease returns a channel that is closed when memory is released or a client is
// disconnected, nil if there is nothing to wait for.
func (a *Account) nextRelease(c *Client) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c != nil && c.evicted || a.total <= a.limits.Memory {
		return nil
	}
	if a.released == nil {
		a.released = make(chan struct{})
	}
	return a.released
}

// isEvicted reports whether the client was disconnected to make room.
func (c *Client) isEvicted() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.evicted
}

// wakeWaiting wakes what waits for memory to be released. a.mu must be held.
func (a *Account) wakeWaiting() {
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}
