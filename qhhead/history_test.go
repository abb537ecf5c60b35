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
	operators = 4
	// rounds is how many plans each operator commits.
	rounds = 6
	// seeds is how many histories are checked.
	seeds = 60
)

// committer commits a change, as Chain.Commit does.
type committer func(context.Context, *qhhead.Chain, qhplatform.Store, qhhead.Change) (qhhead.Head, error)

func commitByChain(ctx context.Context, chain *qhhead.Chain, _ qhplatform.Store, change qhhead.Change) (qhhead.Head, error) {
	return chain.Commit(ctx, change)
}

// commitBlindly writes the head again on whatever is there after a lost answer.
func commitBlindly(ctx context.Context, chain *qhhead.Chain, store qhplatform.Store, change qhhead.Change) (qhhead.Head, error) {
	lost := false
	store.Update = func(update func(context.Context, qhplatform.Key, []byte, qhplatform.Revision) (qhplatform.Revision, error)) func(context.Context, qhplatform.Key, []byte, qhplatform.Revision) (qhplatform.Revision, error) {
		return func(ctx context.Context, key qhplatform.Key, value []byte, at qhplatform.Revision) (qhplatform.Revision, error) {
			revision, err := update(ctx, key, value, at)
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
		if base, err := chain.Read(ctx); err == nil {
			change.Base = base
			change.Plan += "'" // as a writer that knows no plan ids would
		}
	}
}

// input is an operation of an operator: a commit, or a read of all plans.
type input struct {
	plan qhid.Plan
	base qhid.Version
}

// output is what an operator saw.
type output struct {
	version qhid.Version
	kind    qherr.Kind
	// plans are those of all versions, oldest first, of a read.
	plans string
}

// model is a list of plans to which each commit adds its own at most once, at
// the place after its base.
func model() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, in, out any) []any { return step(state.(string), in.(input), out.(output)) },
	}
	return nondeterministic.ToModel()
}

func step(state string, in input, out output) []any {
	plans := strings.Fields(state)
	if in.plan == "" {
		return only(state, out.plans == state)
	}
	at := slices.Index(plans, string(in.plan))
	fits := at < 0 && len(plans) == int(in.base)
	committed := strings.TrimSpace(state + " " + string(in.plan))
	switch out.kind {
	case "":
		if fits {
			return only(committed, int(out.version) == len(plans)+1)
		}
		return only(state, at >= 0 && int(out.version) == at+1)
	case qherr.Conflict:
		return only(state, at < 0 && len(plans) > int(in.base))
	case qherr.Unavailable:
		return only(state, true)
	case qherr.Unknown:
		if fits {
			return []any{state, committed}
		}
		return only(state, true)
	default:
		return nil
	}
}

func only(state string, holds bool) []any {
	if !holds {
		return nil
	}
	return []any{state}
}

// history collects operations with a logical clock.
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
		end = 1 << 40 // it may take effect at any time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: start, Output: out, Return: end})
	return out
}

func (h *history) read(ctx context.Context, client int, store qhplatform.Store) {
	h.run(client, input{}, func() output {
		chain := qhhead.New(qhhead.Options{Store: store})
		head, err := chain.Read(ctx)
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

// operate commits plans, each again until its outcome is known.
func (h *history) operate(ctx context.Context, client int, store qhplatform.Store, commit committer) {
	for round := range rounds {
		chain := qhhead.New(qhhead.Options{Store: store})
		base, err := chain.Read(ctx)
		if err != nil {
			continue
		}
		next := change(base, qhid.Plan(fmt.Sprintf("p%d.%d", client, round)), withSlots(sized(2), 0, client*100+round+1))
		for range 3 {
			out := h.run(client, input{plan: next.Plan, base: base.Version}, func() output {
				short, cancel := context.WithTimeout(ctx, 2*time.Second)
				defer cancel()
				head, err := commit(short, chain, store, next)
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

// record returns the history of racing operators under the faults of a seed.
func record(t *testing.T, seed uint64, commit committer) []porcupine.Operation {
	h := new(history)
	synctest.Test(t, func(t *testing.T) {
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		group, stop := qhgroup.New(t.Context())
		var done sync.WaitGroup
		for client := range operators {
			done.Add(1)
			group.Go(func(ctx context.Context) {
				defer done.Done()
				h.operate(ctx, client, faulty(memory.Store(), newFaults(seed*operators+uint64(client))), commit)
			})
		}
		done.Wait()
		time.Sleep(time.Minute) // late writes take effect
		h.read(t.Context(), operators, memory.Store())
		stop()
	})
	return h.ops
}

// check tells whether the history of the seed is legal.
func check(t *testing.T, seed uint64, commit committer) bool {
	result, _ := porcupine.CheckOperationsVerbose(model(), record(t, seed, commit), time.Minute)
	if result == porcupine.Unknown {
		t.Fatalf("seed %d: the history could not be checked in time", seed)
	}
	return result == porcupine.Ok
}

func TestCommitsOfRacingOperators(t *testing.T) {
	for seed := range uint64(seeds) {
		if !check(t, seed, commitByChain) {
			t.Fatalf("seed %d: no order of the commits explains what the operators saw", seed)
		}
	}
}

// TestBlindCommitsAreFound shows that the check finds a writer that writes
// again after a lost answer.
func TestBlindCommitsAreFound(t *testing.T) {
	for seed := range uint64(seeds) {
		if !check(t, seed, commitBlindly) {
			return
		}
	}
	t.Fatal("no history of blind writers was found illegal")
}
