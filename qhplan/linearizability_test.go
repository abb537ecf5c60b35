package qhplan_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhintent"
	"quetzalhaven.dev/qhplatform"
)

// confirmInput is the input of one operation in the history: the confirmation of
// a plan that sets the slots of a service.
type confirmInput struct {
	plan    qhid.Plan
	base    qhid.Version
	service qhid.Service
}

// confirmOutput is the result that the operator received.
type confirmOutput struct {
	version          qhid.Version
	alreadyCommitted bool
	kind             qherr.Kind // empty for success
}

// committedPlan is one version in the model.
type committedPlan struct {
	plan    qhid.Plan
	service qhid.Service
}

// committedPlans lists the plan of each version after the first. The plan of
// version v has index v-2.
type committedPlans []committedPlan

// confirmModel is the sequential specification: a plan is committed at most once,
// on its base or after versions that do not conflict with it. A returned version
// is the one that the plan created. Conflict is returned only for a plan that is
// not committed and conflicts, and Unavailable only if nothing was changed.
func confirmModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{committedPlans(nil)} },
		Step: func(state, input, output any) []any {
			return step(state.(committedPlans), input.(confirmInput), output.(confirmOutput))
		},
		Equal: func(a, b any) bool { return slices.Equal(a.(committedPlans), b.(committedPlans)) },
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%+v -> %+v", input, output)
		},
	}
	return model.ToModel()
}

func step(state committedPlans, in confirmInput, out confirmOutput) []any {
	index := slices.IndexFunc(state, func(m committedPlan) bool { return m.plan == in.plan })
	next := append(slices.Clone(state), committedPlan{in.plan, in.service})
	if int(in.base)-1 > len(state) {
		return nil // the plan's base does not exist yet
	}
	allowed := index < 0 && !slices.ContainsFunc(state[in.base-1:], func(m committedPlan) bool { return m.service == in.service })
	switch out.kind {
	case "":
		if index >= 0 && out.version == qhid.Version(index+2) {
			return []any{state}
		}
		if allowed && !out.alreadyCommitted && out.version == qhid.Version(len(next)+1) {
			return []any{next}
		}
		return nil
	case qherr.Conflict:
		if index < 0 && !allowed {
			return []any{state}
		}
		return nil
	case qherr.Unknown:
		if allowed {
			return []any{state, next}
		}
		return []any{state}
	case qherr.Unavailable: // nothing was changed
		return []any{state}
	default: // no other error is possible for these plans
		return nil
	}
}

const (
	operatorCount     = 4
	roundsPerOperator = 6
	serviceCount      = 3
)

// confirmRace is one run in which operators concurrently confirm their own and
// each other's plans.
type confirmRace struct {
	platform *qhplatform.Fake

	mu    sync.Mutex
	clock int64
	plans []confirmInput
	ops   []porcupine.Operation
}

// tick returns the next value of the logical clock that orders the operations.
func (r *confirmRace) tick() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	return r.clock
}

// operator makes and confirms plans, sometimes those of another operator.
// Confirms have a timeout that may expire before the response arrives.
func (r *confirmRace) operator(ctx context.Context, id int, random *rand.Rand) {
	f := newFixtureOn(r.platform, nil)
	for round := range roundsPerOperator {
		r.plan(ctx, f, id, round, random)
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		for range 2 {
			r.confirm(ctx, f, id, random)
		}
	}
}

func (r *confirmRace) plan(ctx context.Context, f fixture, id, round int, random *rand.Rand) {
	service := qhid.Service(fmt.Sprintf("service-%05d", random.IntN(serviceCount)))
	value := 100 + 100*id + round
	ctx, cancel := context.WithTimeout(ctx, time.Second) // the platform may hang
	defer cancel()
	plan, err := f.Plan(ctx, "operator", qhintent.File{Reason: "race", Intents: []qhintent.Intent{{Verb: qhintent.Limit, Service: service, Slots: &value}}})
	if err != nil {
		return // the platform was down
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plans = append(r.plans, confirmInput{plan: plan.ID, base: plan.Base, service: service})
}

func (r *confirmRace) confirm(ctx context.Context, f fixture, id int, random *rand.Rand) {
	r.mu.Lock()
	if len(r.plans) == 0 {
		r.mu.Unlock()
		return
	}
	in := r.plans[len(r.plans)-1-random.IntN(min(len(r.plans), 4))]
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(5+random.IntN(200))*time.Millisecond)
	defer cancel()
	call := r.tick()
	confirmed, err := f.Confirm(ctx, in.plan, "operator")
	out := confirmOutput{version: confirmed.Version, alreadyCommitted: confirmed.AlreadyCommitted}
	if err != nil {
		out.kind = qherr.KindOf(err)
	}
	end := r.tick()
	if out.kind == qherr.Unknown {
		end = math.MaxInt64 // it may take effect at any later time
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: id, Input: in, Call: call, Output: out, Return: end})
}

// injectFaults switches random platform faults on and off until ctx ends.
func (r *confirmRace) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		faults := []qhplatform.Faults{
			{},
			{LostResponses: 1 + random.IntN(3), Prefix: "head"},
			{Delay: qhconfig.Duration(time.Duration(random.IntN(40)) * time.Millisecond)},
			{Down: true},
			{LostResponses: qhplatform.AllCalls},
			{StaleBy: 1 + random.IntN(2)},
			{Hang: true},
		}
		r.platform.SetFaults(faults[random.IntN(len(faults))])
		time.Sleep(time.Duration(5+random.IntN(40)) * time.Millisecond)
	}
}

func TestConcurrentConfirmsAreLinearizable(t *testing.T) {
	kinds := make(map[qherr.Kind]int)
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := runRace(t, seed)
			for _, op := range r.ops {
				kinds[op.Output.(confirmOutput).kind]++
			}
			ops := r.withoutIneffective(t)
			if !porcupine.CheckOperations(confirmModel(), ops) {
				t.Errorf("seed %d: the confirms are not linearizable: %+v", seed, ops)
			}
		})
	}
	t.Logf("confirms by outcome: %v", kinds)
	for _, kind := range []qherr.Kind{"", qherr.Conflict, qherr.Unknown, qherr.Unavailable} {
		if kinds[kind] == 0 {
			t.Errorf("no confirm ended with %q: %v", kind, kinds)
		}
	}
}

// withoutIneffective returns the operations without those of unknown outcome
// whose plans created no version: they had no effect and thus no position in a
// linearization.
func (r *confirmRace) withoutIneffective(t *testing.T) []porcupine.Operation {
	time.Sleep(time.Second) // writes whose caller timed out may still take effect
	r.platform.SetFaults(qhplatform.Faults{})
	records, err := newFixtureOn(r.platform, nil).History(t.Context(), math.MaxInt)
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(slices.Clone(r.ops), func(op porcupine.Operation) bool {
		createdVersion := slices.ContainsFunc(records, func(record qhhead.Record) bool { return record.Plan == op.Input.(confirmInput).plan })
		return op.Output.(confirmOutput).kind == qherr.Unknown && !createdVersion
	})
}

func runRace(t *testing.T, seed uint64) *confirmRace {
	r := &confirmRace{platform: qhplatform.NewFake(qhplatform.FakeOptions{})}
	f := newFixtureOn(r.platform, nil)
	var initial qhintent.File
	for i := range serviceCount {
		initial.Intents = append(initial.Intents, qhintent.Intent{Verb: qhintent.Add, Service: qhid.Service(fmt.Sprintf("service-%05d", i))})
	}
	plan, err := f.Plan(t.Context(), "operator", initial)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Confirm(t.Context(), plan.ID, "operator"); err != nil {
		t.Fatal(err)
	}
	operators, wait := qhgroup.New(t.Context())
	done := make(chan struct{}, operatorCount)
	for id := range operatorCount {
		operators.Go(func(ctx context.Context) {
			r.operator(ctx, id, rand.New(rand.NewPCG(seed, uint64(id))))
			done <- struct{}{}
		})
	}
	faults, stop := qhgroup.New(t.Context())
	faults.Go(func(ctx context.Context) { r.injectFaults(ctx, rand.New(rand.NewPCG(seed, operatorCount))) })
	for range operatorCount {
		<-done
	}
	stop()
	wait()
	return r
}
