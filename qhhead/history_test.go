package qhhead_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

const (
	operatorCount = 4
	// plansPerOperator is the number of plans that each operator commits.
	plansPerOperator = 6
	// historySeeds is the number of histories that are checked.
	historySeeds = 60
)

// commitFunc commits a change like Chain.Commit.
type commitFunc func(context.Context, *qhhead.Chain, qhplatform.Store, qhhead.Change) (qhhead.Head, error)

func commitByChain(ctx context.Context, chain *qhhead.Chain, _ qhplatform.Store, change qhhead.Change) (qhhead.Head, error) {
	return chain.Commit(ctx, change)
}

// commitWithoutPlanID is a faulty writer: after a lost response, it commits again
// on the newest head without checking whether the first commit took effect.
func commitWithoutPlanID(ctx context.Context, chain *qhhead.Chain, store qhplatform.Store, change qhhead.Change) (qhhead.Head, error) {
	lost := false
	store.Update = func(update func(context.Context, qhplatform.Key, []byte, qhplatform.Revision) (qhplatform.Revision, error)) func(context.Context, qhplatform.Key, []byte, qhplatform.Revision) (qhplatform.Revision, error) {
		return func(ctx context.Context, key qhplatform.Key, value []byte, expected qhplatform.Revision) (qhplatform.Revision, error) {
			revision, err := update(ctx, key, value, expected)
			if key == "head" && qherr.Is(err, qherr.Unknown) {
				lost = true
				err = qherr.New(qherr.Unavailable, nil, "", "lost")
			}
			return revision, err
		}
	}(store.Update)
	for {
		lost = false
		head, err := qhhead.New(qhhead.Options{Store: store}).Commit(ctx, change)
		if !lost {
			return head, err
		}
		if base, err := chain.ReadHead(ctx); err == nil {
			change.Base = base
			change.Plan += "'" // simulates a writer that has no plan IDs
		}
	}
}

// input is an operation of an operator: a commit, or a read of all plans if plan is
// empty.
type input struct {
	plan qhid.Plan
	base qhid.Version
}

// output is the result that an operator saw.
type output struct {
	version qhid.Version
	kind    qherr.Kind
	// plans lists the plans of all versions, oldest first, as read.
	plans string
}

// commitModel is the sequential specification: a list of plans to which each
// commit appends its plan at most once, directly after its base.
func commitModel() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, in, out any) []any { return applyOperation(state.(string), in.(input), out.(output)) },
	}
	return nondeterministic.ToModel()
}

func applyOperation(state string, in input, out output) []any {
	plans := strings.Fields(state)
	if in.plan == "" {
		return statesIf(state, out.plans == state)
	}
	index := slices.Index(plans, string(in.plan))
	baseIsNewest := index < 0 && len(plans) == int(in.base)
	committed := strings.TrimSpace(state + " " + string(in.plan))
	switch out.kind {
	case "":
		if baseIsNewest {
			return statesIf(committed, int(out.version) == len(plans)+1)
		}
		return statesIf(state, index >= 0 && int(out.version) == index+1)
	case qherr.Conflict:
		return statesIf(state, index < 0 && len(plans) > int(in.base))
	case qherr.Unavailable:
		return statesIf(state, true)
	case qherr.Unknown:
		if baseIsNewest {
			return []any{state, committed}
		}
		return statesIf(state, true)
	default:
		return nil
	}
}

func statesIf(state string, holds bool) []any {
	if !holds {
		return nil
	}
	return []any{state}
}

// history records operations with a logical clock.
type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) run(client int, in input, call func() output) output {
	start := h.clock.Add(1)
	out := call()
	end := h.clock.Add(1)
	if out.kind == qherr.Unknown {
		end = 1 << 40 // a write with an unknown outcome may take effect at any time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: start, Output: out, Return: end})
	return out
}

func (h *history) read(ctx context.Context, client int, store qhplatform.Store) {
	h.run(client, input{}, func() output {
		chain := qhhead.New(qhhead.Options{Store: store})
		head, err := chain.ReadHead(ctx)
		if err != nil {
			panic(err)
		}
		records, err := chain.History(ctx, head, 1000)
		if err != nil {
			panic(err)
		}
		var plans []string
		for _, record := range slices.Backward(records) {
			plans = append(plans, string(record.Plan))
		}
		return output{plans: strings.Join(plans, " ")}
	})
}

// commitPlans commits plans and retries each until its outcome is known or
// three attempts are used up.
func (h *history) commitPlans(ctx context.Context, client int, store qhplatform.Store, commit commitFunc) {
	for round := range plansPerOperator {
		chain := qhhead.New(qhhead.Options{Store: store})
		base, err := chain.ReadHead(ctx)
		if err != nil {
			continue
		}
		next := change(base, qhid.Plan(fmt.Sprintf("p%d.%d", client, round)), withSlots(configOfSize(2), 0, client*100+round+1))
		for range 3 {
			out := h.run(client, input{plan: next.Plan, base: base.Version}, func() output {
				shortCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
				defer cancel()
				head, err := commit(shortCtx, chain, store, next)
				if err != nil {
					return output{kind: qherr.KindOf(err)}
				}
				return output{version: head.Version}
			})
			if out.kind != qherr.Unknown && out.kind != qherr.Unavailable {
				break
			}
		}
	}
}

// recordHistory returns the history of concurrent operators under the faults of
// a seed.
func recordHistory(t *testing.T, seed uint64, commit commitFunc) []porcupine.Operation {
	h := new(history)
	synctest.Test(t, func(t *testing.T) {
		platform := qhplatform.NewFake(qhplatform.FakeOptions{})
		group, stop := qhgroup.New(t.Context())
		var done sync.WaitGroup
		for client := range operatorCount {
			done.Add(1)
			group.Go(func(ctx context.Context) {
				defer done.Done()
				h.commitPlans(ctx, client, withFaults(platform.Store(), newFaults(seed*operatorCount+uint64(client))), commit)
			})
		}
		done.Wait()
		time.Sleep(time.Minute) // lets late writes take effect
		h.read(t.Context(), operatorCount, platform.Store())
		stop()
	})
	return h.ops
}

// isLinearizable reports whether the history of the seed is linearizable.
func isLinearizable(t *testing.T, seed uint64, commit commitFunc) bool {
	result, _ := porcupine.CheckOperationsVerbose(commitModel(), recordHistory(t, seed, commit), time.Minute)
	if result == porcupine.Unknown {
		t.Fatalf("seed %d: the check of the history timed out", seed)
	}
	return result == porcupine.Ok
}

func TestConcurrentCommitsAreLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		if !isLinearizable(t, seed, commitByChain) {
			t.Fatalf("seed %d: the history is not linearizable", seed)
		}
	}
}

// TestCheckDetectsRepeatedCommits verifies the check itself: it must reject a
// writer that commits again after a lost response.
func TestCheckDetectsRepeatedCommits(t *testing.T) {
	for seed := range uint64(historySeeds) {
		if !isLinearizable(t, seed, commitWithoutPlanID) {
			return
		}
	}
	t.Fatal("no history of writers without plan IDs was rejected")
}
