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

var startTime = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func newEndpoint(id int, zone qhid.Zone) *qhmember.Endpoint {
	return &qhmember.Endpoint{
		AnnouncedTarget: qhmember.AnnouncedTarget{ID: qhid.Target(fmt.Sprintf("t%03d", id)), Service: "booking", State: qhmember.Up, Slots: 10},
		Zone:            zone, Stats: &qhmember.EndpointStats{},
	}
}

func newView(endpoints ...*qhmember.Endpoint) *qhmember.View {
	return &qhmember.View{Services: map[qhid.Service][]*qhmember.Endpoint{"booking": endpoints}}
}

func newSeededBalancer() *Balancer {
	return New(Options{Zone: "a", Random: rand.New(rand.NewPCG(1, 2)).IntN})
}

// countChoices returns how often each endpoint is chosen for the given number of
// calls.
func countChoices(b *Balancer, view *qhmember.View, calls int, now time.Time) map[qhid.Target]int {
	counts := make(map[qhid.Target]int)
	for range calls {
		if choice, ok := b.Choose(view, &qhconfig.Service{Name: "booking"}, &TriedEndpoints{}, now); ok {
			counts[choice.Endpoint.ID]++
		}
	}
	return counts
}

// TestPanicModeSkipsEndpointsThatRefuseAsLeaving has the only endpoint of the own
// zone refuse calls as leaving, as a target does that is gone, while those of
// another zone are busy. In panic mode it used to get every call.
func TestPanicModeSkipsEndpointsThatRefuseAsLeaving(t *testing.T) {
	g := NewWithT(t)
	gone, busy := newEndpoint(0, "a"), newEndpoint(1, "b")
	busy.Stats.InFlight.Store(9)
	RecordLeaving(gone, startTime)
	counts := countChoices(newSeededBalancer(), newView(gone, busy), 50, startTime.Add(leavingDuration/2))
	g.Expect(counts).To(Equal(map[qhid.Target]int{busy.ID: 50}))
	counts = countChoices(newSeededBalancer(), newView(gone, busy), 50, startTime.Add(2*leavingDuration))
	g.Expect(counts[gone.ID]).To(BeNumerically(">", 0))
}

// TestChooseReturnsOnlyUsableEndpoints draws endpoints in all states and checks
// that a choice accepts calls, was neither tried nor retired, and outside of
// panic mode is neither ejected nor on a down node.
func TestChooseReturnsOnlyUsableEndpoints(t *testing.T) {
	states := []qhmember.State{qhmember.Up, qhmember.Cold, qhmember.Leaving, qhmember.Down}
	rapid.Check(t, func(r *rapid.T) {
		var endpoints []*qhmember.Endpoint
		service := &qhconfig.Service{Name: "booking"}
		tried := &TriedEndpoints{}
		usable := 0
		for i := range rapid.IntRange(0, 12).Draw(r, "endpoints") {
			e := newEndpoint(i, rapid.SampledFrom([]qhid.Zone{"a", "b"}).Draw(r, "zone"))
			e.State = rapid.SampledFrom(states).Draw(r, "state")
			e.NodeDown = rapid.Bool().Draw(r, "node down")
			e.Stats.InFlight.Store(rapid.Int64Range(0, 20).Draw(r, "in flight"))
			e.Stats.EjectedUntil.Store(startTime.Add(time.Duration(rapid.IntRange(-5, 5).Draw(r, "ejected")) * time.Second).UnixNano())
			e.Stats.FirstSeen.Store(startTime.Add(-time.Duration(rapid.IntRange(0, 20).Draw(r, "age")) * time.Second).UnixNano())
			accepting := e.State == qhmember.Up || e.State == qhmember.Cold
			switch rapid.IntRange(0, 5).Draw(r, "kind") {
			case 0:
				service.Retired = append(service.Retired, e.ID)
				accepting = false
			case 1:
				if tried.size < maxTried {
					tried.Add(e)
					accepting = false
				}
			}
			if accepting && !e.NodeDown && !isEjected(e, startTime) {
				usable++
			}
			endpoints = append(endpoints, e)
		}
		choice, ok := New(Options{Zone: "a", Random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1)).IntN}).Choose(newView(endpoints...), service, tried, startTime)
		if !ok {
			if usable > 0 {
				r.Fatalf("no endpoint chosen although %d are usable", usable)
			}
			return
		}
		e := choice.Endpoint
		_, retired := slices.BinarySearch(service.Retired, e.ID)
		if retired || tried.contains(e) || !acceptsCalls(e, startTime) || choice.Reason != qhdecision.PanicMode && (e.NodeDown || isEjected(e, startTime)) {
			r.Fatalf("chose %+v for %s", e.AnnouncedTarget, choice.Reason)
		}
	})
}

func TestChoosePrefersLocalZoneUntilFull(t *testing.T) {
	g := NewWithT(t)
	local, remote := newEndpoint(1, "a"), newEndpoint(2, "b")
	view, b := newView(local, remote), newSeededBalancer()
	g.Expect(countChoices(b, view, 100, startTime)).To(Equal(map[qhid.Target]int{"t001": 100}))
	local.Stats.InFlight.Store(9)
	g.Expect(countChoices(b, view, 100, startTime)).To(Equal(map[qhid.Target]int{"t002": 100}))
	remote.Stats.InFlight.Store(9)
	g.Expect(countChoices(b, view, 100, startTime)).To(Equal(map[qhid.Target]int{"t001": 100}))
	remote.Stats.InFlight.Store(0)
	remote.NodeDown = true // endpoints on down nodes get no spill-over, even when idle
	g.Expect(countChoices(newSeededBalancer(), view, 100, startTime)).To(Equal(map[qhid.Target]int{"t001": 100}))
	local.State = qhmember.Leaving
	g.Expect(countChoices(newSeededBalancer(), view, 100, startTime)).To(Equal(map[qhid.Target]int{"t002": 100}))
}

func TestReportedLoadDecays(t *testing.T) {
	g := NewWithT(t)
	local, remote := newEndpoint(1, "a"), newEndpoint(2, "b")
	view, b := newView(local, remote), newSeededBalancer()
	RecordReportedLoad(local, 10, startTime)
	g.Expect(countChoices(b, view, 10, startTime)).To(HaveKey(qhid.Target("t002")))
	g.Expect(countChoices(b, view, 10, startTime.Add(reportedLoadTTL))).To(HaveKey(qhid.Target("t001")))
}

func TestSlowTargetsGetFewerCalls(t *testing.T) {
	g := NewWithT(t)
	slow, fast := newEndpoint(1, "a"), newEndpoint(2, "a")
	RecordResponse(slow, 100*time.Millisecond)
	RecordResponse(fast, 10*time.Millisecond)
	counts := countChoices(newSeededBalancer(), newView(slow, fast, newEndpoint(3, "a")), 3000, startTime)
	g.Expect(counts["t001"]).To(BeNumerically("<", counts["t002"]/3))
}

func TestSlowStartIsSkippedWhenAllTargetsAreNew(t *testing.T) {
	g := NewWithT(t)
	older, newer := newEndpoint(1, "a"), newEndpoint(2, "a")
	older.Stats.FirstSeen.Store(startTime.Add(-time.Second).UnixNano())
	newer.Stats.FirstSeen.Store(startTime.Add(-900 * time.Millisecond).UnixNano())
	older.Stats.InFlight.Store(3) // both are new, and the less loaded one is still found
	g.Expect(countChoices(newSeededBalancer(), newView(older, newer), 100, startTime)["t002"]).To(BeNumerically(">", 95))
}

func TestEndpointsWithoutResponsesAreNotPreferred(t *testing.T) {
	g := NewWithT(t)
	unanswered, fast := newEndpoint(1, "a"), newEndpoint(2, "a")
	RecordResponse(fast, 10*time.Millisecond)
	unanswered.Stats.InFlight.Store(1)
	g.Expect(countChoices(newSeededBalancer(), newView(unanswered, fast), 100, startTime)["t001"]).To(BeZero())
}

func TestColdAndNewTargetsGetFewerCalls(t *testing.T) {
	g := NewWithT(t)
	cold, newTarget, regular := newEndpoint(1, "a"), newEndpoint(2, "a"), newEndpoint(3, "a")
	cold.State = qhmember.Cold
	newTarget.Stats.FirstSeen.Store(startTime.Add(-slowStartDuration / 2).UnixNano())
	counts := countChoices(newSeededBalancer(), newView(cold, newTarget, regular, newEndpoint(4, "a")), 10000, startTime)
	g.Expect(counts["t001"]).To(And(BeNumerically(">", 50), BeNumerically("<", 1000)))
	g.Expect(counts["t002"]).To(And(BeNumerically(">", counts["t001"]), BeNumerically("<", counts["t003"])))
}

// TestEjectionsRespectCapAndDuration fails random endpoints and checks the cap
// and the durations of ejections.
func TestEjectionsRespectCapAndDuration(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b, now := newSeededBalancer(), startTime
		var endpoints []*qhmember.Endpoint
		for i := range rapid.IntRange(1, 10).Draw(r, "endpoints") {
			endpoints = append(endpoints, newEndpoint(i, "a"))
		}
		view := newView(endpoints...)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			e := endpoints[rapid.IntRange(0, len(endpoints)-1).Draw(r, "which")]
			switch rapid.IntRange(0, 9).Draw(r, "event") {
			case 0:
				RecordResponse(e, time.Millisecond)
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "ms")) * time.Millisecond)
			default:
				if duration, ejected := b.RecordFailure(view, "booking", e, now); ejected && (duration < minEjection || duration > maxEjection || !isEjected(e, now)) {
					r.Fatalf("ejected for %s", duration)
				}
			}
			ejectedCount := 0
			for _, other := range endpoints {
				if isEjected(other, now) {
					ejectedCount++
				}
			}
			if maxEjected := max(1, len(endpoints)*maxEjectedPercent/100); ejectedCount > maxEjected || len(endpoints) == 1 && ejectedCount > 0 {
				r.Fatalf("%d of %d endpoints are ejected", ejectedCount, len(endpoints))
			}
		}
	})
}

func TestEjectionExpiresAndDoubles(t *testing.T) {
	g := NewWithT(t)
	bad, good := newEndpoint(1, "a"), newEndpoint(2, "a")
	view, b, now := newView(bad, good, newEndpoint(3, "a")), newSeededBalancer(), startTime
	for want := minEjection; want <= 4*minEjection; want *= 2 {
		var duration time.Duration
		for ejected := false; !ejected; {
			duration, ejected = b.RecordFailure(view, "booking", bad, now)
		}
		g.Expect(duration).To(Equal(want))
		g.Expect(countChoices(b, view, 100, now)).NotTo(HaveKey(bad.ID))
		now = now.Add(duration)
		g.Expect(countChoices(b, view, 100, now)).To(HaveKey(bad.ID))
	}
	RecordResponse(bad, time.Millisecond)
	g.Expect(bad.Stats.ConsecutiveFailures.Load()).To(BeZero())
}

func TestUnreachableEndpointsAreEjectedImmediatelyAndBriefly(t *testing.T) {
	g := NewWithT(t)
	unreachable := newEndpoint(1, "a")
	view, b, now := newView(unreachable, newEndpoint(2, "a"), newEndpoint(3, "a")), newSeededBalancer(), startTime
	for _, want := range []time.Duration{minEjection, 2 * minEjection, 4 * minEjection, 4 * minEjection} {
		duration, ejected := b.RecordUnreachable(view, "booking", unreachable, now)
		g.Expect(ejected).To(BeTrue())
		g.Expect(duration).To(Equal(want))
		g.Expect(countChoices(b, view, 100, now)).NotTo(HaveKey(unreachable.ID))
		now = now.Add(duration)
	}
	b.RecordUnreachable(view, "booking", unreachable, now)
	_, ejected := b.RecordUnreachable(view, "booking", newEndpoint(2, "a"), now)
	g.Expect(ejected).To(BeFalse()) // at most half of the endpoints may be ejected
}

func TestShortDeadlinesDoNotCountAsFailures(t *testing.T) {
	g := NewWithT(t)
	e := newEndpoint(1, "a")
	g.Expect(IsOverdue(e, time.Millisecond)).To(BeFalse())
	g.Expect(IsOverdue(e, minOverdue)).To(BeTrue())
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
					view.Services[names[i].Name] = append(view.Services[names[i].Name], newEndpoint(j, qhid.Zone("abc"[j%3:j%3+1])))
				}
			}
			b.Run(fmt.Sprintf("services=%d/endpoints=%d", services, endpoints), func(b *testing.B) {
				balancer := New(Options{Zone: "a"})
				for _, service := range names {
					balancer.Choose(view, service, &TriedEndpoints{}, startTime)
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					i++
					if _, ok := balancer.Choose(view, names[i*7919%services], &TriedEndpoints{}, startTime); !ok {
						b.Fatal("no endpoint chosen")
					}
				}
			})
		}
	}
}

func TestPanicModeWhenMostEndpointsAreUnusable(t *testing.T) {
	g := NewWithT(t)
	up, down1, remote := newEndpoint(1, "a"), newEndpoint(2, "a"), newEndpoint(4, "b")
	down2 := newEndpoint(3, "a")
	down1.NodeDown, down2.NodeDown = true, true
	view := newView(up, down1, down2, remote)
	g.Expect(countChoices(newSeededBalancer(), view, 100, startTime)).To(Equal(map[qhid.Target]int{"t001": 100}))
	up.Stats.InFlight.Store(10)
	g.Expect(countChoices(newSeededBalancer(), view, 100, startTime)).To(Equal(map[qhid.Target]int{"t004": 100}))
	remote.Stats.InFlight.Store(10)
	g.Expect(countChoices(newSeededBalancer(), view, 100, startTime)).To(And(HaveKey(down1.ID), HaveKey(down2.ID)))
}
