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

// The target of the goodput test, after Ingoma's: its slots and the time that a
// call takes while no more than those run. Above that all slow down.
const (
	goodputSlots   = 9
	goodputService = 20 * time.Millisecond
	goodputTimeout = 400 * time.Millisecond
	goodputSpan    = 10 * time.Second
)

// policy runs one call and tells whether it was answered.
type policy func(ctx context.Context, target *sharedTarget) bool

// sharedTarget is a target whose calls share its slots.
type sharedTarget struct{ running atomic.Int64 }

// serve takes a call's time, in ten steps that slow down under overload.
func (s *sharedTarget) serve(random *rand.Rand) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for range 10 {
		slow := max(1, float64(running)/goodputSlots)
		time.Sleep(time.Duration(float64(goodputService) / 10 * slow * (0.5 + random.Float64())))
		running = s.running.Load()
	}
}

// goodput returns the calls answered in time, as a part of the capacity.
func goodput(t *testing.T, load float64, run policy) float64 {
	var good atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(5, 6))
		target := &sharedTarget{}
		capacity := goodputSlots * float64(time.Second) / float64(goodputService)
		var all sync.WaitGroup
		for start := time.Now(); time.Since(start) < goodputSpan; {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / (capacity * load)))
			all.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), goodputTimeout)
				defer cancel()
				if run(ctx, target) && ctx.Err() == nil {
					good.Add(1)
				}
			})
		}
		all.Wait()
	})
	capacity := goodputSlots * float64(goodputSpan) / float64(goodputService)
	return float64(good.Load()) / capacity
}

// guarded admits calls by a guard; withDeadline tells it when callers give up.
func guarded(limits Limits, withDeadline bool) policy {
	guard := testGuard(goodputSlots)
	return func(ctx context.Context, target *sharedTarget) bool {
		if !withDeadline {
			ctx = context.WithoutCancel(ctx)
		}
		ticket, err := guard.Enter(ctx, limits)
		if err != nil {
			return false
		}
		defer ticket.Release()
		target.serve(rand.New(rand.NewPCG(7, uint64(time.Now().UnixNano()))))
		return true
	}
}

func unlimited(_ context.Context, target *sharedTarget) bool {
	target.serve(rand.New(rand.NewPCG(7, uint64(time.Now().UnixNano()))))
	return true
}

// TestGoodputUnderOverload compares the guard with no limit and with a fixed
// queue that knows no deadlines, in simulated time.
func TestGoodputUnderOverload(t *testing.T) {
	g := NewWithT(t)
	for _, load := range []float64{0.5, 1, 2, 5} {
		guard := goodput(t, load, guarded(Limits{}, true))
		fixed := goodput(t, load, guarded(Limits{Queue: 1000}, false))
		none := goodput(t, load, unlimited)
		t.Logf("load %.1f of capacity: goodput guarded %.2f, fixed queue %.2f, no limit %.2f", load, guard, fixed, none)
		g.Expect(guard).To(BeNumerically(">=", 0.9*min(load, 1)))
		g.Expect(guard).To(BeNumerically(">=", 0.95*max(fixed, none)))
	}
}
