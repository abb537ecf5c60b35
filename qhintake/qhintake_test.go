package qhintake

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
)

// linkSpeed and bodySize are those of the uploads of a fleet whose smallest VMs have
// 7 Mbit/s.
const (
	linkSpeed qhid.MegabitsPerSecond = 7
	bodySize  qhid.Bytes             = 60_000
)

// link delivers bodies one after the other at its speed and records how long its
// queue gets.
type link struct {
	mu     sync.Mutex
	freeAt time.Time
	// longest is the longest time that a byte waited for the bytes before it.
	longest time.Duration
}

// send delivers a body and returns when its last byte has arrived.
func (l *link) send(size qhid.Bytes) {
	l.mu.Lock()
	now := time.Now()
	start := now
	if l.freeAt.After(now) {
		start = l.freeAt
	}
	l.longest = max(l.longest, start.Sub(now))
	l.freeAt = start.Add(time.Duration(float64(size) * bitsPerByte / (float64(linkSpeed) * 1e6) * float64(time.Second)))
	end := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(end))
}

// TestUploadsBeyondTheLinkLeaveRoomForOtherCalls plays twice the uploads that a link
// can carry. Without the gate the queue on the link grows to seconds. With it other
// calls wait a little, bodies arrive at the link's speed, and the rest is refused at
// once with the time to come back.
func TestUploadsBeyondTheLinkLeaveRoomForOtherCalls(t *testing.T) {
	const (
		uploads  = 300
		interval = 35 * time.Millisecond // the link needs 69 ms for a body
		timeout  = 2 * time.Second
	)
	play := func(gate *Gate) (delivered, late int, l *link) {
		l = &link{}
		var mu sync.Mutex
		var group sync.WaitGroup
		for range uploads {
			time.Sleep(interval)
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				release, wait, ok := gate.Acquire(ctx, bodySize, 0)
				if !ok {
					NewWithT(t).Expect(wait).To(BeNumerically(">", 0))
					return
				}
				defer release()
				l.send(bodySize)
				mu.Lock()
				defer mu.Unlock()
				delivered++
				if ctx.Err() != nil {
					late++
				}
			})
		}
		group.Wait()
		return delivered, late, l
	}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, late, l := play(nil)
		g.Expect(late).To(BeNumerically(">", uploads/3))
		g.Expect(l.longest).To(BeNumerically(">", timeout))
		delivered, late, l := play(New(linkSpeed))
		g.Expect(late).To(BeZero())
		g.Expect(l.longest).To(BeNumerically("<=", maxLinkDelay))
		// 300 uploads come in 10.5 s, in which the link carries 153 of them.
		g.Expect(delivered).To(BeNumerically(">", 110))
	})
}

func TestGate(t *testing.T) {
	acquire := func(gate *Gate, size qhid.Bytes, maxWait time.Duration) (func(), time.Duration, bool) {
		return gate.Acquire(context.Background(), size, maxWait)
	}
	t.Run("admits a body that is larger than the window alone", func(t *testing.T) {
		g := NewWithT(t)
		gate := New(linkSpeed)
		release, _, ok := acquire(gate, 100*gate.window, time.Millisecond)
		g.Expect(ok).To(BeTrue())
		_, wait, ok := acquire(gate, 1, time.Second)
		g.Expect(ok).To(BeFalse())
		g.Expect(wait).To(BeNumerically(">", time.Second))
		release()
		release()
		_, _, ok = acquire(gate, 1, time.Millisecond)
		g.Expect(ok).To(BeTrue())
	})
	t.Run("does not wait for a body whose caller is slow", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			gate := New(linkSpeed)
			_, _, ok := acquire(gate, gate.window, time.Second)
			g.Expect(ok).To(BeTrue())
			start := time.Now()
			_, _, ok = acquire(gate, gate.window, time.Second)
			g.Expect(ok).To(BeTrue())
			g.Expect(time.Since(start)).To(BeNumerically("<=", holdFactor*maxLinkDelay))
		})
	})
	t.Run("drops a body that no longer waits", func(t *testing.T) {
		g := NewWithT(t)
		gate := New(linkSpeed)
		release, _, _ := acquire(gate, gate.window, time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, _, ok := gate.Acquire(ctx, gate.window, time.Second)
		g.Expect(ok).To(BeFalse())
		g.Expect(gate.queued).To(BeZero())
		release()
		g.Expect(gate.inFlight).To(BeZero())
	})
	t.Run("admits all if the speed of the link is unknown", func(t *testing.T) {
		g := NewWithT(t)
		for range 100 {
			_, _, ok := acquire(New(0), 1<<30, time.Millisecond)
			g.Expect(ok).To(BeTrue())
		}
	})
}
