package qhguard

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhconn"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhmember"
	_ "quetzalhaven.dev/qhsuite" // fixes rapid's seed
)

func testGuard(slots int) *Guard {
	guard := newGuard(Announcement{ID: "t1", Slots: slots, Connections: 120, State: qhmember.Up}, qhconn.NewPool("127.0.0.1:1", 1))
	guard.update(guard.announcement)
	return guard
}

// TestGuardKeepsItsBounds sends random calls through a guard whose target
// changes its slots, and checks it after each step.
func TestGuardKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		slots := rapid.IntRange(1, 5).Draw(r, "slots")
		calls := rapid.SliceOfN(rapid.IntRange(1, 300), 1, 60).Draw(r, "deadlines in ms")
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			guard := testGuard(slots)
			var all sync.WaitGroup
			for _, deadline := range calls {
				took := time.Duration(1+random.IntN(40)) * time.Millisecond
				all.Go(func() { pass(t, guard, time.Duration(deadline)*time.Millisecond, took, slots) })
				time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
			}
			all.Wait()
			if load := guard.Load(); load.Running != 0 || load.Queued != 0 {
				t.Fatalf("left over: %+v", load)
			}
		})
	})
}

// pass takes one call through the guard and checks what is promised to it.
func pass(t *testing.T, guard *Guard, timeout, took time.Duration, slots int) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	start := time.Now()
	ticket, err := guard.Enter(ctx, Limits{})
	if err != nil {
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.RetryAfter < minAfter || time.Since(start) > timeout {
			t.Errorf("refused after %s of %s: %v", time.Since(start), timeout, err)
		}
		return
	}
	defer ticket.Release()
	guard.mu.Lock()
	if guard.running > slots || !slices.IsSortedFunc(guard.queue, func(a, b *waiter) int { return a.deadline.Compare(b.deadline) }) {
		t.Errorf("running %d of %d, or the queue is out of order", guard.running, slots)
	}
	guard.mu.Unlock()
	time.Sleep(took)
}

func TestGuardRefusesLateCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := testGuard(1)
		guard.mean = 100 * time.Millisecond
		running, err := guard.Enter(t.Context(), Limits{})
		g.Expect(err).NotTo(HaveOccurred())
		defer running.Release()
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err = guard.Enter(ctx, Limits{})
		g.Expect(err).To(HaveField("Reason", qhdecision.Late))
		g.Expect(time.Since(start)).To(BeZero())
	})
}

func TestGuardOrdersByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := testGuard(1)
		first, _ := guard.Enter(t.Context(), Limits{})
		var mu sync.Mutex
		var order []int
		var all sync.WaitGroup
		for i, seconds := range []int{30, 10, 20} {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(seconds)*time.Second)
				defer cancel()
				ticket, err := guard.Enter(ctx, Limits{})
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				order = append(order, i)
				mu.Unlock()
				ticket.Release()
			})
			synctest.Wait()
		}
		first.Release()
		all.Wait()
		NewWithT(t).Expect(order).To(Equal([]int{1, 2, 0}))
	})
}

func TestSetReplacesATargetThatMoved(t *testing.T) {
	g := NewWithT(t)
	set, clean := NewSet()
	defer clean()
	a := Announcement{ID: "t1", Service: "booking", Address: "127.0.0.1:1", Slots: 3, State: qhmember.Up}
	set.Put(a)
	first := set.Get("t1")
	a.Slots = 5
	set.Put(a)
	g.Expect(set.Get("t1")).To(BeIdenticalTo(first))
	g.Expect(first.Load().Slots).To(Equal(5))
	a.State = qhmember.Cold
	set.Put(a)
	g.Expect(first.Load().Slots).To(Equal(1))
	a.Address = "127.0.0.1:2"
	set.Put(a)
	g.Expect(set.Get("t1")).NotTo(BeIdenticalTo(first))
	_, err := first.Enter(t.Context(), Limits{})
	g.Expect(err).To(HaveField("Reason", qhdecision.Leaving))
	set.Remove("t1")
	g.Expect(set.List()).To(BeEmpty())
}
