package qhguard

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhid"
)

// maxInWindow returns the most times that lie within a window.
func maxInWindow(times []time.Time, window time.Duration) int {
	most := 0
	for i, start := range times {
		end, _ := slices.BinarySearchFunc(times, start.Add(window), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// TestPacerExceedsNoWindow takes calls as soon as the pacer allows them, after
// pauses of any length.
func TestPacerExceedsNoWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := qhid.CallsPerSecond(rapid.Float64Range(0, 50).Draw(t, "rate"))
		var p pacer
		now := time.Unix(0, 0)
		p.limit(rate, now)
		var sent []time.Time
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause_ms")) * time.Millisecond)
			now = now.Add(p.wait(now, 0))
			if wait := p.wait(now, 0); wait != 0 {
				t.Fatalf("another %s after the wait", wait)
			}
			p.take(now)
			sent = append(sent, now)
		}
		window := 4 * time.Second
		allowed := float64(max(rate, minPace))*(window+paceBurst).Seconds() + 2
		if most := maxInWindow(sent, window); float64(most) > allowed {
			t.Fatalf("%d calls in %s, allowed %.1f", most, window, allowed)
		}
	})
}

// pacedLoad sends calls to a guard whose target names rate limits, one for each
// second, and returns the times of the admitted ones.
func pacedLoad(t *testing.T, callsPerSecond int, limits []qhid.CallsPerSecond) []time.Time {
	var sent []time.Time
	synctest.Test(t, func(t *testing.T) {
		guard := testGuard(9)
		var mu sync.Mutex
		var calls sync.WaitGroup
		for _, limit := range limits {
			guard.SetRateLimit(limit, limit > 0)
			for range callsPerSecond {
				time.Sleep(time.Second / time.Duration(callsPerSecond))
				calls.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					permit, err := guard.Admit(ctx, AdmissionRequest{ObjectiveDeadline: time.Now().Add(400 * time.Millisecond), MaxQueueWait: 160 * time.Millisecond})
					if err != nil {
						return
					}
					mu.Lock()
					sent = append(sent, time.Now())
					mu.Unlock()
					time.Sleep(30 * time.Millisecond)
					permit.Release()
				})
			}
		}
		calls.Wait()
	})
	return sent
}

// TestRateLimitIsKeptAndUsed sends more calls than the target's rate limit allows.
func TestRateLimitIsKeptAndUsed(t *testing.T) {
	for name, limit := range map[string]qhid.CallsPerSecond{"high": 40, "medium": 13.7, "low": 1.6, "below 1": 0.5} {
		t.Run(name, func(t *testing.T) {
			const seconds = 20
			sent := pacedLoad(t, 100, slices.Repeat([]qhid.CallsPerSecond{limit}, seconds))
			g := NewWithT(t)
			g.Expect(float64(maxInWindow(sent, 4*time.Second))).To(BeNumerically("<=", 1.5*4*float64(limit)+5))
			g.Expect(float64(len(sent))).To(BeNumerically(">=", 0.9*seconds*float64(limit)))
		})
	}
}

// TestRateLimitThatEndsFreesTheSlots lets a limit fall, rise and end.
func TestRateLimitThatEndsFreesTheSlots(t *testing.T) {
	g := NewWithT(t)
	const callsPerSecond = 100
	sent := pacedLoad(t, callsPerSecond, []qhid.CallsPerSecond{20, 20, 2, 2, 40, 40, 0, 0})
	start := sent[0].Add(-time.Second / callsPerSecond)
	perSecond := make([]int, 9)
	for _, at := range sent {
		perSecond[int(at.Sub(start).Seconds())]++
	}
	g.Expect(perSecond[1]).To(BeNumerically("~", 20, 3))
	g.Expect(perSecond[3]).To(BeNumerically("~", 2, 1))
	g.Expect(perSecond[5]).To(BeNumerically("~", 40, 5))
	g.Expect(perSecond[7]).To(BeNumerically(">=", 95))
}

// TestRateLimitOfAnotherNodeHoldsUntilTheFirstResponse covers a node that restarted
// and has forgotten the limit of its target.
func TestRateLimitOfAnotherNodeHoldsUntilTheFirstResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := testGuard(9)
		request := AdmissionRequest{MaxQueueWait: time.Millisecond}
		guard.AssumeRateLimit(2)
		permit, err := guard.Admit(t.Context(), request)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = guard.Admit(t.Context(), request)
		g.Expect(err).To(HaveField("Reason", qhdecision.RateLimited))
		guard.SetRateLimit(0, false)
		permit.Release()
		guard.AssumeRateLimit(2)
		for range 2 {
			_, err = guard.Admit(t.Context(), request)
			g.Expect(err).NotTo(HaveOccurred())
		}
	})
}
