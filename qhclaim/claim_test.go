package qhclaim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

func newClaims(self qhid.Node, store qhplatform.Store) *Manager {
	claims, clean := New(Options{Self: self, Store: store, Log: zap.NewNop(), Metrics: metrics.NewSet()})
	DeferCleanup(clean)
	return claims
}

// outcome is what a caller learned of a call with a key.
type outcome string

const (
	ran     outcome = "ran"
	lost    outcome = "ran, the caller was told unknown"
	refused outcome = "refused as not run"
	taken   outcome = "taken, unknown"
	done    outcome = "taken, done"
)

// atMostOnce is the model of one key: it runs at most once, and is called done
// only after it ran.
func atMostOnce() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			keys := make(map[string][]porcupine.Operation)
			for _, op := range history {
				key := op.Input.(string)
				keys[key] = append(keys[key], op)
			}
			parts := make([][]porcupine.Operation, 0, len(keys))
			for _, part := range keys {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return false },
		Step: func(state, _, output any) (bool, any) {
			hasRun := state.(bool)
			switch output.(outcome) {
			case ran, lost:
				return !hasRun, true
			case done:
				return hasRun, hasRun
			default:
				return true, hasRun
			}
		},
	}
}

var _ = Describe("claims", func() {
	ctx := context.Background()
	call := KeyedCall{Route: "deposits", Key: "k", Request: "r1", Fingerprint: "p"}

	It("run a key at most once under races, lost answers, outages and repeats", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		nodes := []*Manager{newClaims("a", memory.Store()), newClaims("b", memory.Store()), newClaims("c", memory.Store())}
		random := rand.New(rand.NewPCG(11, 12))
		var mu sync.Mutex
		var history []porcupine.Operation
		draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return random.IntN(n) }
		var callers sync.WaitGroup
		var tick atomic.Int64
		for caller := range 12 {
			callers.Go(func() {
				for round := range 40 {
					memory.SetFaults(qhplatform.Faults{LostResponses: draw(4), Down: draw(12) == 0, StaleBy: draw(3)})
					key := fmt.Sprint("key-", round)
					begin := tick.Add(1)
					out := attempt(ctx, nodes[draw(len(nodes))], key, draw(4))
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: caller, Input: key, Call: begin, Output: out, Return: tick.Add(1)})
					mu.Unlock()
				}
			})
		}
		callers.Wait()
		Expect(porcupine.CheckOperations(atMostOnce(), history)).To(BeTrue())
		seen := make(map[outcome]int)
		for _, op := range history {
			seen[op.Output.(outcome)]++
		}
		AddReportEntry("outcomes", seen)
		Expect(seen).To(HaveKey(ran))
		Expect(seen).To(HaveKey(done))
		Expect(seen).To(HaveKey(refused))
	})

	It("give a key free again that is proved not to have run", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		claims := newClaims("a", memory.Store())
		held, err := claims.Acquire(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		held.MarkNotExecuted()
		Eventually(func() error { held, err = claims.Acquire(ctx, call); return err }).WithTimeout(20 * time.Second).Should(Succeed())
		held.MarkDone(201)
		claims.Wait(ctx)
		_, err = newClaims("b", memory.Store()).Acquire(ctx, call)
		var other *AlreadyClaimedError
		Expect(errors.As(err, &other)).To(BeTrue())
		Expect(other.Claim.Status).To(Equal(201))
	})

	It("are refused while the platform is out, and touch nothing", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		memory.SetFaults(qhplatform.Faults{Down: true})
		claims := newClaims("a", memory.Store())
		_, err := claims.Acquire(ctx, call)
		Expect(qherr.Is(err, qherr.Unavailable)).To(BeTrue())
		memory.SetFaults(qhplatform.Faults{})
		_, err = claims.Acquire(ctx, call)
		Expect(err).NotTo(HaveOccurred())
	})

	It("settle a claim whose answer was lost by reading", func() {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		memory.SetFaults(qhplatform.Faults{LostResponses: 1})
		_, err := newClaims("a", memory.Store()).Acquire(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		_, err = newClaims("b", memory.Store()).Acquire(ctx, call)
		Expect(err).To(MatchError(ContainSubstring("unknown")))
	})
})

// attempt claims a key and behaves as a call that ends in one of four ways.
// Repeats carry the same request id, as callers' libraries do.
func attempt(ctx context.Context, node *Manager, key string, end int) outcome {
	held, err := node.Acquire(ctx, KeyedCall{Route: "deposits", Key: key, Request: qhid.Request("request of " + key), Fingerprint: "p"})
	var other *AlreadyClaimedError
	switch {
	case errors.As(err, &other) && other.Claim.State == StateDone:
		return done
	case errors.As(err, &other):
		return taken
	case err != nil:
		return refused
	}
	switch end {
	case 0:
		held.MarkNotExecuted()
		return refused
	case 1:
		held.MarkUnknown() // as a node that died after it sent the call
		return lost
	default:
		held.MarkDone(200)
		return ran
	}
}
