package qhguard

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// The simulated target of the goodput test, modelled on Ingoma's: its slots and
// the service time while at most that many calls run. More concurrent calls slow
// all of them down.
const (
	goodputSlots       = 9
	goodputServiceTime = 20 * time.Millisecond
	goodputTimeout     = 400 * time.Millisecond
	goodputDuration    = 10 * time.Second
)

// policy admits and runs one call, and reports whether the call was run.
type policy func(ctx context.Context, target *sharedTarget) bool

// sharedTarget is a target whose calls slow each other down above goodputSlots.
type sharedTarget struct{ running atomic.Int64 }

// serve simulates a call in ten steps, each of which is slower by the factor of
// the current overload.
func (s *sharedTarget) serve(random *rand.Rand) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for range 10 {
		slowdown := max(1, float64(running)/goodputSlots)
		time.Sleep(time.Duration(float64(goodputServiceTime) / 10 * slowdown * (0.5 + random.Float64())))
		running = s.running.Load()
	}
}

// goodput returns the calls that were answered before their deadline, as a
// fraction of the capacity.
func goodput(t *testing.T, load float64, run policy) float64 {
	var answered atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(5, 6))
		target := &sharedTarget{}
		capacity := goodputSlots * float64(time.Second) / float64(goodputServiceTime)
		var calls sync.WaitGroup
		for start := time.Now(); time.Since(start) < goodputDuration; {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / (capacity * load)))
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), goodputTimeout)
				defer cancel()
				if run(ctx, target) && ctx.Err() == nil {
					answered.Add(1)
				}
			})
		}
		calls.Wait()
	})
	capacity := goodputSlots * float64(goodputDuration) / float64(goodputServiceTime)
	return float64(answered.Load()) / capacity
}

// guardedPolicy admits calls through a guard. Without withDeadline the guard does
// not see the deadlines of the calls.
func guardedPolicy(limits Limits, withDeadline bool) policy {
	guard := testGuard(goodputSlots)
	return func(ctx context.Context, target *sharedTarget) bool {
		if !withDeadline {
			ctx = context.WithoutCancel(ctx)
		}
		permit, err := guard.AdmitWithLimits(ctx, limits)
		if err != nil {
			return false
		}
		defer permit.Release()
		target.serve(rand.New(rand.NewPCG(7, uint64(time.Now().UnixNano()))))
		return true
	}
}

func unlimitedPolicy(_ context.Context, target *sharedTarget) bool {
	target.serve(rand.New(rand.NewPCG(7, uint64(time.Now().UnixNano()))))
	return true
}

// TestGoodputUnderOverload compares the guard with no limit and with a fixed
// queue that ignores deadlines, in simulated time.
func TestGoodputUnderOverload(t *testing.T) {
	g := NewWithT(t)
	for _, load := range []float64{0.5, 1, 2, 5} {
		guard := goodput(t, load, guardedPolicy(Limits{}, true))
		fixed := goodput(t, load, guardedPolicy(Limits{MaxQueue: 1000}, false))
		unlimited := goodput(t, load, unlimitedPolicy)
		t.Logf("load %.1f of capacity: goodput guarded %.2f, fixed queue %.2f, no limit %.2f", load, guard, fixed, unlimited)
		g.Expect(guard).To(BeNumerically(">=", 0.9*min(load, 1)))
		g.Expect(guard).To(BeNumerically(">=", 0.95*max(fixed, unlimited)))
	}
}
