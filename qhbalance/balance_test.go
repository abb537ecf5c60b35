package qhbalance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func endpoint(id int, zone qhid.Zone) *qhmember.Endpoint {
	return &qhmember.Endpoint{
		Target: qhmember.Target{ID: qhid.Target(fmt.Sprintf("t%03d", id)), Service: "booking", State: qhmember.Up, Slots: 10},
		Zone:   zone, Stats: &qhmember.EndpointStats{},
	}
}

func viewOf(endpoints ...*qhmember.Endpoint) *qhmember.View {
	return &qhmember.View{Services: map[qhid.Service][]*qhmember.Endpoint{"booking": endpoints}}
}

func seeded() *Balancer {
	return New(Options{Zone: "a", Random: rand.New(rand.NewPCG(1, 2)).IntN})
}

// spread counts which endpoints get so many calls.
func spread(b *Balancer, view *qhmember.View, calls int, now time.Time) map[qhid.Target]int {
	counts := make(map[qhid.Target]int)
	for range calls {
		if choice, ok := b.Choose(view, &qhconfig.Service{Name: "booking"}, &TriedEndpoints{}, now); ok {
			counts[choice.Endpoint.ID]++
		}
	}
	return counts
}

// TestChooseNeverBreaksItsRules draws endpoints in all states.
func TestChooseNeverBreaksItsRules(t *testing.T) {
	states := []qhmember.State{qhmember.Up, qhmember.Cold, qhmember.Leaving, qhmember.Down}
	rapid.Check(t, func(r *rapid.T) {
		var endpoints []*qhmember.Endpoint
		service := &qhconfig.Service{Name: "booking"}
		tried := &TriedEndpoints{}
		allowed := 0
		for i := range rapid.IntRange(0, 12).Draw(r, "endpoints") {
			e := endpoint(i, rapid.SampledFrom([]qhid.Zone{"a", "b"}).Draw(r, "zone"))
			e.State = rapid.SampledFrom(states).Draw(r, "state")
			e.NodeDown = rapid.Bool().Draw(r, "lost")
			e.Stats.InFlight.Store(rapid.Int64Range(0, 20).Draw(r, "in flight"))
			e.Stats.EjectedUntil.Store(epoch.Add(time.Duration(rapid.IntRange(-5, 5).Draw(r, "ejected")) * time.Second).UnixNano())
			e.Stats.FirstSeen.Store(epoch.Add(-time.Duration(rapid.IntRange(0, 20).Draw(r, "age")) * time.Second).UnixNano())
			fits := e.State == qhmember.Up || e.State == qhmember.Cold
			switch rapid.IntRange(0, 5).Draw(r, "kind") {
			case 0:
				service.Retired = append(service.Retired, e.ID)
				fits = false
			case 1:
				if tried.size < maxTried {
					tried.Add(e)
					fits = false
				}
			}
			if fits && !e.NodeDown && !ejected(e, epoch) {
				allowed++
			}
			endpoints = append(endpoints, e)
		}
		choice, ok := New(Options{Zone: "a", Random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1)).IntN}).Choose(viewOf(endpoints...), service, tried, epoch)
		if !ok {
			if allowed > 0 {
				r.Fatalf("none chosen of %d", allowed)
			}
			return
		}
		e := choice.Endpoint
		_, retired := slices.BinarySearch(service.Retired, e.ID)
		if retired || tried.has(e) || !takesWork(e) || choice.Reason != qhdecision.PanicMode && (e.NodeDown || ejected(e, epoch)) {
			r.Fatalf("chose %+v for %s", e.Target, choice.Reason)
		}
	})
}

func TestChoosePrefersTheOwnZoneUntilItIsFull(t *testing.T) {
	g := NewWithT(t)
	near, far := endpoint(1, "a"), endpoint(2, "b")
	view, b := viewOf(near, far), seeded()
	g.Expect(spread(b, view, 100, epoch)).To(Equal(map[qhid.Target]int{"t001": 100}))
	near.Stats.InFlight.Store(9)
	g.Expect(spread(b, view, 100, epoch)).To(Equal(map[qhid.Target]int{"t002": 100}))
	far.Stats.InFlight.Store(9)
	g.Expect(spread(b, view, 100, epoch)).To(Equal(map[qhid.Target]int{"t001": 100}))
	far.Stats.InFlight.Store(0)
	far.NodeDown = true // cut off: an empty zone out of sight takes no spill-over
	g.Expect(spread(seeded(), view, 100, epoch)).To(Equal(map[qhid.Target]int{"t001": 100}))
	near.State = qhmember.Leaving
	g.Expect(spread(seeded(), view, 100, epoch)).To(Equal(map[qhid.Target]int{"t002": 100}))
}

func TestReportedLoadFades(t *testing.T) {
	g := NewWithT(t)
	near, far := endpoint(1, "a"), endpoint(2, "b")
	view, b := viewOf(near, far), seeded()
	RecordReportedLoad(near, 10, epoch)
	g.Expect(spread(b, view, 10, epoch)).To(HaveKey(qhid.Target("t002")))
	g.Expect(spread(b, view, 10, epoch.Add(hintAge))).To(HaveKey(qhid.Target("t001")))
}

func TestSlowTargetsGetLess(t *testing.T) {
	g := NewWithT(t)
	slow, fast := endpoint(1, "a"), endpoint(2, "a")
	RecordResponse(slow, 100*time.Millisecond)
	RecordResponse(fast, 10*time.Millisecond)
	counts := spread(seeded(), viewOf(slow, fast, endpoint(3, "a")), 3000, epoch)
	g.Expect(counts["t001"]).To(BeNumerically("<", counts["t002"]/3))
}

func TestTargetsThatAreAllNewShare(t *testing.T) {
	g := NewWithT(t)
	old, fresh := endpoint(1, "a"), endpoint(2, "a")
	old.Stats.FirstSeen.Store(epoch.Add(-time.Second).UnixNano())
	fresh.Stats.FirstSeen.Store(epoch.Add(-900 * time.Millisecond).UnixNano())
	old.Stats.InFlight.Store(3) // the better of two is found although both are new
	g.Expect(spread(seeded(), viewOf(old, fresh), 100, epoch)["t002"]).To(BeNumerically(">", 95))
}

func TestEndpointsWithoutAnswersAreNotQuick(t *testing.T) {
	g := NewWithT(t)
	mute, quick := endpoint(1, "a"), endpoint(2, "a")
	RecordResponse(quick, 10*time.Millisecond)
	mute.Stats.InFlight.Store(1)
	g.Expect(spread(seeded(), viewOf(mute, quick), 100, epoch)["t001"]).To(BeZero())
}

func TestColdAndNewTargetsGetLittle(t *testing.T) {
	g := NewWithT(t)
	cold, fresh, warm := endpoint(1, "a"), endpoint(2, "a"), endpoint(3, "a")
	cold.State = qhmember.Cold
	fresh.Stats.FirstSeen.Store(epoch.Add(-slowStart / 2).UnixNano())
	counts := spread(seeded(), viewOf(cold, fresh, warm, endpoint(4, "a")), 10000, epoch)
	g.Expect(counts["t001"]).To(And(BeNumerically(">", 50), BeNumerically("<", 1000)))
	g.Expect(counts["t002"]).To(And(BeNumerically(">", counts["t001"]), BeNumerically("<", counts["t003"])))
}

// TestEjections fails endpoints at random and checks the cap and the spans.
func TestEjections(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b, now := seeded(), epoch
		var endpoints []*qhmember.Endpoint
		for i := range rapid.IntRange(1, 10).Draw(r, "endpoints") {
			endpoints = append(endpoints, endpoint(i, "a"))
		}
		view := viewOf(endpoints...)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			e := endpoints[rapid.IntRange(0, len(endpoints)-1).Draw(r, "which")]
			switch rapid.IntRange(0, 9).Draw(r, "event") {
			case 0:
				RecordResponse(e, time.Millisecond)
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "ms")) * time.Millisecond)
			default:
				if span, out := b.RecordFailure(view, "booking", e, now); out && (span < ejectBase || span > ejectMax || !ejected(e, now)) {
					r.Fatalf("ejected for %s", span)
				}
			}
			out := 0
			for _, other := range endpoints {
				if ejected(other, now) {
					out++
				}
			}
			if most := max(1, len(endpoints)*ejectCap/100); out > most || len(endpoints) == 1 && out > 0 {
				r.Fatalf("%d of %d ejected", out, len(endpoints))
			}
		}
	})
}

func TestEjectionEndsAndDoubles(t *testing.T) {
	g := NewWithT(t)
	bad, good := endpoint(1, "a"), endpoint(2, "a")
	view, b, now := viewOf(bad, good, endpoint(3, "a")), seeded(), epoch
	for want := ejectBase; want <= 4*ejectBase; want *= 2 {
		var span time.Duration
		for out := false; !out; {
			span, out = b.RecordFailure(view, "booking", bad, now)
		}
		g.Expect(span).To(Equal(want))
		g.Expect(spread(b, view, 100, now)).NotTo(HaveKey(bad.ID))
		now = now.Add(span)
		g.Expect(spread(b, view, 100, now)).To(HaveKey(bad.ID))
	}
	RecordResponse(bad, time.Millisecond)
	g.Expect(bad.Stats.ConsecutiveFailures.Load()).To(BeZero())
}

func TestUnreachableEndpointsAreEjectedAtOnceAndNotForLong(t *testing.T) {
	g := NewWithT(t)
	gone := endpoint(1, "a")
	view, b, now := viewOf(gone, endpoint(2, "a"), endpoint(3, "a")), seeded(), epoch
	for _, want := range []time.Duration{ejectBase, 2 * ejectBase, 4 * ejectBase, 4 * ejectBase} {
		span, out := b.RecordUnreachable(view, "booking", gone, now)
		g.Expect(out).To(BeTrue())
		g.Expect(span).To(Equal(want))
		g.Expect(spread(b, view, 100, now)).NotTo(HaveKey(gone.ID))
		now = now.Add(span)
	}
	b.RecordUnreachable(view, "booking", gone, now)
	_, out := b.RecordUnreachable(view, "booking", endpoint(2, "a"), now)
	g.Expect(out).To(BeFalse()) // no more than half of them
}

func TestShortDeadlinesBlameNobody(t *testing.T) {
	g := NewWithT(t)
	e := endpoint(1, "a")
	g.Expect(IsOverdue(e, time.Millisecond)).To(BeFalse())
	g.Expect(IsOverdue(e, overdueMin)).To(BeTrue())
	RecordResponse(e, time.Second)
	g.Expect(IsOverdue(e, 4*time.Second)).To(BeFalse())
	g.Expect(IsOverdue(e, 5*time.Second)).To(BeTrue())
}

func BenchmarkChoose(b *testing.B) {
	for _, services := range []int{33, 330, 3300} {
		for _, endpoints := range []int{3, 30, 300} {
			view := &qhmember.View{Services: make(map[qhid.Service][]*qhmember.Endpoint)}
			names := make([]*qhconfig.Service, services)
			for i := range names {
				names[i] = &qhconfig.Service{Name: qhid.Service(fmt.Sprint("service-", i))}
				for j := range endpoints {
					view.Services[names[i].Name] = append(view.Services[names[i].Name], endpoint(j, qhid.Zone("abc"[j%3:j%3+1])))
				}
			}
			b.Run(fmt.Sprintf("services=%d/endpoints=%d", services, endpoints), func(b *testing.B) {
				balancer := New(Options{Zone: "a"})
				for _, service := range names {
					balancer.Choose(view, service, &TriedEndpoints{}, epoch)
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					i++
					if _, ok := balancer.Choose(view, names[i*7919%services], &TriedEndpoints{}, epoch); !ok {
						b.Fatal("none")
					}
				}
			})
		}
	}
}

func TestEvidenceIsDoubtedWhenMostOfAServiceLooksDead(t *testing.T) {
	g := NewWithT(t)
	up, lost, far := endpoint(1, "a"), endpoint(2, "a"), endpoint(4, "b")
	dead := endpoint(3, "a")
	lost.NodeDown, dead.NodeDown = true, true
	view := viewOf(up, lost, dead, far)
	g.Expect(spread(seeded(), view, 100, epoch)).To(Equal(map[qhid.Target]int{"t001": 100}))
	up.Stats.InFlight.Store(10)
	g.Expect(spread(seeded(), view, 100, epoch)).To(Equal(map[qhid.Target]int{"t004": 100}))
	far.Stats.InFlight.Store(10)
	g.Expect(spread(seeded(), view, 100, epoch)).To(And(HaveKey(lost.ID), HaveKey(dead.ID)))
}
