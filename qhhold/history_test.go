package qhhold_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsample"
)

// operation is an operation on a holder: applying a version, in full or as a diff
// to base, or reading the current version if version is 0.
type operation struct {
	version, base qhid.Version
	full          bool
}

// outcome is the result of an operation: whether the version was applied, or the
// version read.
type outcome struct {
	applied bool
	read    qhid.Version
}

// holderModel is the sequential specification: a version is applied if and only if
// it is newer than the current one and, for a diff, its base is the current one.
func holderModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return qhid.Version(0) },
		Step: func(state, input, output any) (bool, any) {
			current, in, out := state.(qhid.Version), input.(operation), output.(outcome)
			if in.version == 0 {
				return out.read == current, current
			}
			applies := in.version > current && (in.full || in.base == current)
			if applies {
				current = in.version
			}
			return out.applied == applies, current
		},
	}
}

func TestVersionsHeldAreLinearizable(t *testing.T) {
	const runs, versions, clients, steps = 30, 12, 5, 12
	configs := make([]qhconfig.Config, versions+1)
	for i := 1; i <= versions; i++ {
		configs[i] = qhsample.ConfigOfSize(2)
		configs[i].Services[0].Slots = i
	}
	for seed := range uint64(runs) {
		holder := qhhold.New(qhhold.Options{})
		history := &recorder{}
		group, wait := qhgroup.New(context.Background())
		done := make(chan struct{}, clients)
		for client := range clients {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			group.Go(func(context.Context) {
				for range steps {
					history.record(client, drawOperation(random, versions), func(in operation) outcome { return runOperation(holder, configs, in) })
				}
				done <- struct{}{}
			})
		}
		for range clients {
			<-done
		}
		wait()
		if !porcupine.CheckOperations(holderModel(), history.ops) {
			t.Fatalf("seed %d: the versions in force are not linearizable: %+v", seed, history.ops)
		}
	}
}

func drawOperation(random *rand.Rand, versions int) operation {
	if random.IntN(3) == 0 {
		return operation{}
	}
	version := qhid.Version(1 + random.IntN(versions))
	return operation{version: version, base: version - min(version, qhid.Version(1+random.IntN(2))), full: random.IntN(2) == 0}
}

func runOperation(holder *qhhold.Holder, configs []qhconfig.Config, in operation) outcome {
	if in.version == 0 {
		return outcome{read: holder.Version()}
	}
	next := configs[in.version]
	if in.full {
		applied, _ := holder.Apply(in.version, next, next.Digest())
		return outcome{applied: applied}
	}
	diff := qhconfig.Compare(configs[in.base], next)
	diff.Base, diff.Next = in.base, in.version
	applied, _ := holder.ApplyDiff(diff)
	return outcome{applied: applied}
}

// recorder records operations with the logical times at which they began and ended.
type recorder struct {
	mu    sync.Mutex
	clock int64
	ops   []porcupine.Operation
}

func (r *recorder) tick() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	return r.clock
}

func (r *recorder) record(client int, in operation, execute func(operation) outcome) {
	called := r.tick()
	out := execute(in)
	returned := r.tick()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: called, Output: out, Return: returned})
}
