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

func newManager(self qhid.Node, store qhplatform.Store) *Manager {
	manager, cleanup := New(Options{Self: self, Store: store, Log: zap.NewNop(), Metrics: metrics.NewSet()})
	DeferCleanup(cleanup)
	return manager
}

// outcome is the result of a call with a key, as seen by the caller.
type outcome string

const (
	executed        outcome = "executed"
	executedUnknown outcome = "executed, reported as unknown"
	refused         outcome = "refused as not executed"
	claimedUnknown  outcome = "already claimed, unknown"
	claimedDone     outcome = "already claimed, done"
)

// atMostOnce is the porcupine model of one key: its call is executed at most
// once, and is reported done only after it was executed.
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
			wasExecuted := state.(bool)
			switch output.(outcome) {
			case executed, executedUnknown:
				return !wasExecuted, true
			case claimedDone:
				return wasExecuted, wasExecuted
			default:
				return true, wasExecuted
			}
		},
	}
}

var _ = Describe("Manager", func() {
	ctx := context.Background()
	call := KeyedCall{Route: "deposits", Key: "k", Request: "r1", Fingerprint: "p"}

	It("executes a key at most once under races, lost responses, outages and retries", func() {
		platform := qhplatform.NewFake(qhplatform.FakeOptions{})
		nodes := []*Manager{newManager("a", platform.Store()), newManager("b", platform.Store()), newManager("c", platform.Store())}
		random := rand.New(rand.NewPCG(11, 12))
		var mu sync.Mutex
		var history []porcupine.Operation
		draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return random.IntN(n) }
		var callers sync.WaitGroup
		var tick atomic.Int64
		for caller := range 12 {
			callers.Go(func() {
				for round := range 40 {
					platform.SetFaults(qhplatform.Faults{LostResponses: draw(4), Down: draw(12) == 0, StaleBy: draw(3)})
					key := fmt.Sprint("key-", round)
					invoked := tick.Add(1)
					result := runKeyedCall(ctx, nodes[draw(len(nodes))], key, draw(4))
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: caller, Input: key, Call: invoked, Output: result, Return: tick.Add(1)})
					mu.Unlock()
				}
			})
		}
		callers.Wait()
		Expect(porcupine.CheckOperations(atMostOnce(), history)).To(BeTrue())
		counts := make(map[outcome]int)
		for _, op := range history {
			counts[op.Output.(outcome)]++
		}
		AddReportEntry("outcomes", counts)
		Expect(counts).To(HaveKey(executed))
		Expect(counts).To(HaveKey(claimedDone))
		Expect(counts).To(HaveKey(refused))
	})

	It("frees a key whose call is proved not to have been executed", func() {
		platform := qhplatform.NewFake(qhplatform.FakeOptions{})
		manager := newManager("a", platform.Store())
		held, err := manager.Acquire(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		held.MarkNotExecuted()
		Eventually(func() error { held, err = manager.Acquire(ctx, call); return err }).WithTimeout(20 * time.Second).Should(Succeed())
		held.MarkDone(201)
		manager.Wait(ctx)
		_, err = newManager("b", platform.Store()).Acquire(ctx, call)
		var other *AlreadyClaimedError
		Expect(errors.As(err, &other)).To(BeTrue())
		Expect(other.Claim.Status).To(Equal(201))
	})

	It("refuses calls and writes nothing while the platform is unavailable", func() {
		platform := qhplatform.NewFake(qhplatform.FakeOptions{})
		platform.SetFaults(qhplatform.Faults{Down: true})
		manager := newManager("a", platform.Store())
		_, err := manager.Acquire(ctx, call)
		Expect(qherr.Is(err, qherr.Unavailable)).To(BeTrue())
		platform.SetFaults(qhplatform.Faults{})
		_, err = manager.Acquire(ctx, call)
		Expect(err).NotTo(HaveOccurred())
	})

	It("reads the claim when the response to its write was lost", func() {
		platform := qhplatform.NewFake(qhplatform.FakeOptions{})
		platform.SetFaults(qhplatform.Faults{LostResponses: 1})
		_, err := newManager("a", platform.Store()).Acquire(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		_, err = newManager("b", platform.Store()).Acquire(ctx, call)
		Expect(err).To(MatchError(ContainSubstring("unknown")))
	})
})

// runKeyedCall acquires a claim and simulates a call with one of four endings.
// Retries carry the same request ID, as client libraries send them.
func runKeyedCall(ctx context.Context, manager *Manager, key string, ending int) outcome {
	held, err := manager.Acquire(ctx, KeyedCall{Route: "deposits", Key: key, Request: qhid.Request("request of " + key), Fingerprint: "p"})
	var other *AlreadyClaimedError
	switch {
	case errors.As(err, &other) && other.Claim.State == StateDone:
		return claimedDone
	case errors.As(err, &other):
		return claimedUnknown
	case err != nil:
		return refused
	}
	switch ending {
	case 0:
		held.MarkNotExecuted()
		return refused
	case 1:
		held.MarkUnknown() // like a node that failed after it sent the call
		return executedUnknown
	default:
		held.MarkDone(200)
		return executed
	}
}
