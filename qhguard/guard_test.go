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
	_ "quetzalhaven.dev/qhsuite" // sets a fixed seed for rapid
)

func testGuard(slots int) *Guard {
	guard := newGuard(TargetInfo{ID: "t1", Slots: slots, MaxConnections: 120, State: qhmember.Up}, qhconn.NewPool("127.0.0.1:1", 1))
	guard.update(guard.info)
	return guard
}

// TestGuardBoundsConcurrencyAndOrdersQueue sends random calls through a guard and
// checks after each admission that the running calls stay within the slots and
// that the queue is ordered by deadline.
func TestGuardBoundsConcurrencyAndOrdersQueue(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		slots := rapid.IntRange(1, 5).Draw(r, "slots")
		calls := rapid.SliceOfN(rapid.IntRange(1, 300), 1, 60).Draw(r, "deadlines in ms")
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			guard := testGuard(slots)
			var wg sync.WaitGroup
			for _, deadline := range calls {
				serviceTime := time.Duration(1+random.IntN(40)) * time.Millisecond
				wg.Go(func() { runCall(t, guard, time.Duration(deadline)*time.Millisecond, serviceTime, slots) })
				time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
			}
			wg.Wait()
			if load := guard.Load(); load.Running != 0 || load.Queued != 0 {
				t.Fatalf("calls left after all finished: %+v", load)
			}
		})
	})
}

// runCall sends one call through the guard and checks that a refusal comes before
// the deadline and suggests a retry delay.
func runCall(t *testing.T, guard *Guard, timeout, serviceTime time.Duration, slots int) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	start := time.Now()
	permit, err := guard.AdmitWithLimits(ctx, Limits{})
	if err != nil {
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.RetryAfter < minRetryAfter || time.Since(start) > timeout {
			t.Errorf("refused after %s of %s: %v", time.Since(start), timeout, err)
		}
		return
	}
	defer permit.Release()
	guard.mu.Lock()
	if guard.running > slots || !slices.IsSortedFunc(guard.queue, func(a, b *waiter) int { return a.deadline.Compare(b.deadline) }) {
		t.Errorf("%d calls run on %d slots, or the queue is not ordered by deadline", guard.running, slots)
	}
	guard.mu.Unlock()
	time.Sleep(serviceTime)
}

func TestGuardRefusesUnmeetableDeadlinesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := testGuard(1)
		guard.meanServiceTime = 100 * time.Millisecond
		running, err := guard.AdmitWithLimits(t.Context(), Limits{})
		g.Expect(err).NotTo(HaveOccurred())
		defer running.Release()
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err = guard.AdmitWithLimits(ctx, Limits{})
		g.Expect(err).To(HaveField("Reason", qhdecision.Late))
		g.Expect(time.Since(start)).To(BeZero())
	})
}

func TestGuardAdmitsEarliestDeadlineFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := testGuard(1)
		first, _ := guard.AdmitWithLimits(t.Context(), Limits{})
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		for i, seconds := range []int{30, 10, 20} {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(seconds)*time.Second)
				defer cancel()
				permit, err := guard.AdmitWithLimits(ctx, Limits{})
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				order = append(order, i)
				mu.Unlock()
				permit.Release()
			})
			synctest.Wait()
		}
		first.Release()
		wg.Wait()
		NewWithT(t).Expect(order).To(Equal([]int{1, 2, 0}))
	})
}

func TestSetReplacesGuardWhenAddressChanges(t *testing.T) {
	g := NewWithT(t)
	set, cleanup := NewSet()
	defer cleanup()
	info := TargetInfo{ID: "t1", Service: "booking", Address: "127.0.0.1:1", Slots: 3, State: qhmember.Up}
	set.Put(info)
	first := set.Get("t1")
	info.Slots = 5
	set.Put(info)
	g.Expect(set.Get("t1")).To(BeIdenticalTo(first))
	g.Expect(first.Load().Slots).To(Equal(5))
	info.State = qhmember.Cold
	set.Put(info)
	g.Expect(first.Load().Slots).To(Equal(1))
	info.Address = "127.0.0.1:2"
	set.Put(info)
	g.Expect(set.Get("t1")).NotTo(BeIdenticalTo(first))
	_, err := first.AdmitWithLimits(t.Context(), Limits{})
	g.Expect(err).To(HaveField("Reason", qhdecision.Leaving))
	set.Remove("t1")
	g.Expect(set.List()).To(BeEmpty())
}
