package qhbalance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhmember"
)

// TestKnownFullEndpointsGetNoCalls has endpoints that have named waits longer than
// the call may wait. Each used to be tried again by every call.
func TestKnownFullEndpointsGetNoCalls(t *testing.T) {
	g := NewWithT(t)
	b, service := newSeededBalancer(), &qhconfig.Service{Name: "booking"}
	full, free, remote := newEndpoint(0, "a"), newEndpoint(1, "a"), newEndpoint(2, "b")
	view := newView(full, free, remote)
	need := Need{Objective: 100 * time.Millisecond, Priority: 1, Patience: 40 * time.Millisecond}
	choose := func(need Need, after time.Duration) (Choice, bool) {
		return b.ChooseFor(view, service, &TriedEndpoints{}, startTime.Add(after), need)
	}

	RecordRefusal(full, 1, 300*time.Millisecond, startTime)
	for range 50 {
		choice, ok := choose(need, 0)
		g.Expect(ok).To(BeTrue())
		g.Expect(choice.Endpoint).To(Equal(free))
	}
	RecordRefusal(free, 1, 200*time.Millisecond, startTime)
	choice, ok := choose(need, 0)
	g.Expect(ok).To(BeTrue())
	g.Expect(choice.Endpoint).To(Equal(remote))
	g.Expect(choice.LocalFull).To(BeTrue())
	RecordRefusal(remote, 1, 500*time.Millisecond, startTime)
	_, ok = choose(need, 0)
	g.Expect(ok).To(BeFalse())
	earliest, wait := b.EarliestFree(view, service, 1, nil, startTime)
	g.Expect(earliest).To(Equal(free))
	g.Expect(wait).To(Equal(200 * time.Millisecond))

	urgent := need
	urgent.Priority = 0
	_, ok = choose(urgent, 0)
	g.Expect(ok).To(BeTrue(), "more urgent calls wait less")
	lessUrgent := need
	lessUrgent.Priority = 3
	_, ok = choose(lessUrgent, 0)
	g.Expect(ok).To(BeFalse(), "less urgent calls wait at least as long")
	choice, ok = choose(need, 170*time.Millisecond)
	g.Expect(ok).To(BeTrue(), "a known wait passes")
	g.Expect(choice.Endpoint).To(Equal(free))
}

// TestPrioritiesOfTenantsAreToldApart checks that refused calls of one tenant do not
// stand for more urgent ones of another: priorities of tenants and routes are combined.
func TestPrioritiesOfTenantsAreToldApart(t *testing.T) {
	g := NewWithT(t)
	endpoint := newEndpoint(0, "a")
	const lessUrgent, moreUrgent = 1*4 + 2, 1 * 4 // two routes of a tenant of priority 1
	RecordRefusal(endpoint, lessUrgent, 500*time.Millisecond, startTime)
	g.Expect(knownWait(endpoint, moreUrgent, startTime)).To(BeZero())
	g.Expect(knownWait(endpoint, lessUrgent, startTime)).To(Equal(500 * time.Millisecond))
}

// TestKnownWaitIsForgotten checks the bound on known waits, also when the clock is set
// back.
func TestKnownWaitIsForgotten(t *testing.T) {
	g := NewWithT(t)
	endpoint := newEndpoint(0, "a")
	RecordRefusal(endpoint, 0, time.Hour, startTime)
	g.Expect(knownWait(endpoint, 0, startTime)).To(Equal(maxRoomMemory))
	g.Expect(knownWait(endpoint, 0, startTime.Add(maxRoomMemory))).To(BeZero())
	g.Expect(knownWait(endpoint, 0, startTime.Add(-time.Minute))).To(BeZero())
}

// TestUnreachableEndpointsGetNoCallsInPanicMode has most endpoints behind a cut link.
// In panic mode each call used to wait for a connection to them.
func TestUnreachableEndpointsGetNoCallsInPanicMode(t *testing.T) {
	g := NewWithT(t)
	b := newSeededBalancer()
	var endpoints []*qhmember.Endpoint
	for i := range 6 {
		endpoints = append(endpoints, newEndpoint(i, "a"))
	}
	view := newView(endpoints...)
	for _, endpoint := range endpoints[1:] {
		b.RecordUnreachable(view, "booking", endpoint, startTime)
	}
	g.Expect(countChoices(b, view, 50, startTime.Add(unreachableMemory/2))).To(HaveLen(1))
	RecordNotConnected(endpoints[0], startTime)
	g.Expect(countChoices(b, view, 50, startTime.Add(connectingMemory/2))).To(BeEmpty())
	g.Expect(countChoices(b, view, 50, startTime.Add(2*unreachableMemory))).NotTo(BeEmpty())
}
