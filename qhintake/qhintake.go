// Package qhintake decides when other nodes may send large request bodies to this
// node. It answers the load of uploads to a VM with a slow link: sent as they come,
// their bytes queue on the link, and every other call to the VM waits behind them
// and misses its deadline, as do new versions of the configuration.
package qhintake

import (
	"context"
	"slices"
	"sync"
	"time"

	"quetzalhaven.dev/qhid"
)

const (
	// maxLinkDelay is how long the bodies that are being sent may occupy the link
	// together. It bounds what they add to the latency of other calls.
	maxLinkDelay = 80 * time.Millisecond
	// linkShare is the part of the link's speed that bodies get.
	linkShare = 0.8
	// A body that has not arrived after holdFactor times the time that the link
	// needs for it, and at least minHold, no longer delays others: its caller is
	// slow, not the link.
	holdFactor = 4
	minHold    = 100 * time.Millisecond
	// maxWaitShare is the part of the time to its deadline that a body may wait if
	// its call sets no maximum wait.
	maxWaitShare = 0.3
	// bitsPerByte converts the link's speed.
	bitsPerByte = 8
)

// Gate admits request bodies at the speed of a link, in the order of their calls. It
// is safe for concurrent use. A nil Gate admits all at once.
type Gate struct {
	// bytesPerSecond is the speed that bodies get.
	bytesPerSecond float64
	// window is how many bytes may be admitted at a time. A larger body is
	// admitted alone.
	window qhid.Bytes

	mu sync.Mutex
	// inFlight is the size of the admitted bodies.
	inFlight qhid.Bytes
	// queue has the bodies that wait, first come first; queued is their size.
	queue  []*waiter
	queued qhid.Bytes
}

// waiter is a body that waits to be admitted.
type waiter struct {
	size qhid.Bytes
	// admitted is closed once the body is admitted.
	admitted chan struct{}
}

// New returns a gate for a link, or nil if its speed is unknown.
func New(speed qhid.MegabitsPerSecond) *Gate {
	if speed <= 0 {
		return nil
	}
	bytesPerSecond := linkShare * float64(speed) * 1e6 / bitsPerByte
	return &Gate{bytesPerSecond: bytesPerSecond, window: qhid.Bytes(bytesPerSecond * maxLinkDelay.Seconds())}
}

// Acquire waits until a body of the given size may be sent, and returns a function
// that must be called once the body has arrived or is given up. If the expected
// wait is longer than maxWait, it refuses at once and returns that wait with false.
// A maxWait of 0 means a part of the time to the deadline of ctx.
func (g *Gate) Acquire(ctx context.Context, size qhid.Bytes, maxWait time.Duration) (func(), time.Duration, bool) {
	if g == nil {
		return func() {}, 0, true
	}
	g.mu.Lock()
	wait := g.expectedWait(size)
	if wait > usefulWait(ctx, maxWait) {
		g.mu.Unlock()
		return nil, wait, false
	}
	w := &waiter{size: size, admitted: make(chan struct{})}
	g.queue = append(g.queue, w)
	g.queued += size
	g.admitQueued()
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return g.releaseOnce(size), 0, true
	case <-ctx.Done():
		if g.abandon(w) {
			return nil, wait, false
		}
		return g.releaseOnce(size), 0, true
	}
}

// usefulWait returns how long a body may wait.
func usefulWait(ctx context.Context, maxWait time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if maxWait > 0 || !ok {
		return maxWait
	}
	return time.Duration(maxWaitShare * float64(time.Until(deadline)))
}

// expectedWait estimates how long a new body waits. The lock is held.
func (g *Gate) expectedWait(size qhid.Bytes) time.Duration {
	ahead := g.inFlight + g.queued
	if ahead == 0 || ahead+size <= g.window {
		return 0
	}
	return g.timeFor(ahead + size - g.window)
}

// timeFor returns the time that the link needs for a number of bytes.
func (g *Gate) timeFor(size qhid.Bytes) time.Duration {
	return time.Duration(float64(size) / g.bytesPerSecond * float64(time.Second))
}

// admitQueued admits the bodies for which there is room. The lock is held.
func (g *Gate) admitQueued() {
	for len(g.queue) > 0 && (g.inFlight == 0 || g.inFlight+g.queue[0].size <= g.window) {
		w := g.queue[0]
		g.queue = slices.Delete(g.queue, 0, 1)
		g.queued -= w.size
		g.inFlight += w.size
		close(w.admitted)
	}
}

// abandon removes a body that no longer waits. It returns false if the body was
// already admitted.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.queue, w)
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	g.queued -= w.size
	g.admitQueued()
	return true
}

// releaseOnce returns the function that ends the transfer of an admitted body. It
// ends by itself if the body takes too long.
func (g *Gate) releaseOnce(size qhid.Bytes) func() {
	release := sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.inFlight -= size
		g.admitQueued()
	})
	timer := time.AfterFunc(max(minHold, holdFactor*g.timeFor(size)), release)
	return func() {
		timer.Stop()
		release()
	}
}
