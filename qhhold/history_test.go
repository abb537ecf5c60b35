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

// offered is one operation on a holder: an offer of a version, whole or as a
// difference to base, or a look where version is 0.
type offered struct {
	version, base qhid.Version
	whole         bool
}

// told is what came of it: whether the version was applied, or what a look saw.
type told struct {
	applied bool
	seen    qhid.Version
}

// holderModel says that a version is applied if and only if it is newer than
// the one that is held and its base, if it has one, is the one that is held.
func holderModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return qhid.Version(0) },
		Step: func(state, input, output any) (bool, any) {
			held, in, out := state.(qhid.Version), input.(offered), output.(told)
			if in.version == 0 {
				return out.seen == held, held
			}
			applies := in.version > held && (in.whole || in.base == held)
			if applies {
				held = in.version
			}
			return out.applied == applies, held
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
					history.do(client, draw(random, versions), func(in offered) told { return offerTo(holder, configs, in) })
				}
				done <- struct{}{}
			})
		}
		for range clients {
			<-done
		}
		wait()
		if !porcupine.CheckOperations(holderModel(), history.ops) {
			t.Fatalf("seed %d: the versions held are not linearizable: %+v", seed, history.ops)
		}
	}
}

func draw(random *rand.Rand, versions int) offered {
	if random.IntN(3) == 0 {
		return offered{}
	}
	version := qhid.Version(1 + random.IntN(versions))
	return offered{version: version, base: version - min(version, qhid.Version(1+random.IntN(2))), whole: random.IntN(2) == 0}
}

func offerTo(holder *qhhold.Holder, configs []qhconfig.Config, in offered) told {
	if in.version == 0 {
		return told{seen: holder.Version()}
	}
	next := configs[in.version]
	if in.whole {
		applied, _ := holder.Apply(in.version, next, next.Digest())
		return told{applied: applied}
	}
	diff := qhconfig.Compare(configs[in.base], next)
	diff.Base, diff.Next = in.base, in.version
	applied, _ := holder.ApplyDiff(diff)
	return told{applied: applied}
}

// recorder notes operations with the order in which they began and ended.
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

func (r *recorder) do(client int, in offered, run func(offered) told) {
	call := r.tick()
	out := run(in)
	end := r.tick()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}
