package qhguard

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// load is one kind of calls that come at a steady rate.
type load struct {
	route     qhid.Route
	priority  int
	perSecond int
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
}

// tally is what became of the calls of one kind.
type tally struct{ asked, onTime, late, refused int }

// play sends the loads to one guard for a time and returns what became of each.
func play(t *testing.T, slots int, span time.Duration, loads ...load) []tally {
	tallies := make([]tally, len(loads))
	synctest.Test(t, func(t *testing.T) {
		guard := testGuard(slots)
		var mu sync.Mutex
		var all sync.WaitGroup
		for i, l := range loads {
			all.Go(func() {
				for range int(span.Seconds() * float64(l.perSecond)) {
					time.Sleep(time.Second / time.Duration(l.perSecond))
					all.Go(func() {
						start := time.Now()
						ctx, cancel := context.WithTimeout(t.Context(), l.deadline)
						defer cancel()
						pass, err := guard.Admit(ctx, AdmissionRequest{Route: l.route, Priority: l.priority, ObjectiveDeadline: start.Add(l.objective)})
						if err == nil {
							time.Sleep(l.work)
							pass.Release()
						}
						mu.Lock()
						defer mu.Unlock()
						tally := &tallies[i]
						tally.asked++
						switch {
						case err != nil:
							tally.refused++
						case time.Since(start) <= l.objective:
							tally.onTime++
						default:
							tally.late++
						}
					})
				}
			})
		}
		all.Wait()
	})
	return tallies
}

// TestNobodyIsStarved answers a load of twice what a target can run, of three
// priorities: more urgent ones are served more often, and none is starved.
func TestNobodyIsStarved(t *testing.T) {
	g := NewWithT(t)
	work := 100 * time.Millisecond
	tallies := play(t, 6, 20*time.Second,
		load{"orders", 0, 40, work, 250 * time.Millisecond, 1500 * time.Millisecond},
		load{"stock", 1, 40, work, 250 * time.Millisecond, 1500 * time.Millisecond},
		load{"fees", 2, 40, work, 250 * time.Millisecond, 1500 * time.Millisecond},
	)
	served := func(i int) float64 { return float64(tallies[i].onTime+tallies[i].late) / float64(tallies[i].asked) }
	t.Logf("%+v", tallies)
	g.Expect(served(0)).To(BeNumerically(">", served(1)))
	g.Expect(served(1)).To(BeNumerically(">", served(2)))
	whole := (served(0) + served(1) + served(2)) / 3
	for i := range tallies {
		g.Expect(served(i)).To(BeNumerically(">", whole/4))
	}
	g.Expect(served(0)*40 + served(1)*40 + served(2)*40).To(BeNumerically(">", 0.9*6/work.Seconds()))
}

// TestAnswersStayInTimeUnderOverload answers a load of twice what a target can
// run, all alike: what is admitted is answered within the objective.
func TestAnswersStayInTimeUnderOverload(t *testing.T) {
	g := NewWithT(t)
	tally := play(t, 6, 20*time.Second, load{"orders", 0, 120, 100 * time.Millisecond, 250 * time.Millisecond, 1500 * time.Millisecond})[0]
	t.Logf("%+v", tally)
	g.Expect(tally.onTime).To(BeNumerically(">", 9*tally.late))
	g.Expect(tally.onTime + tally.late).To(BeNumerically(">", tally.asked*45/100))
}

// TestUrgentCallsAreNotRefused answers a load where the urgent calls alone fit.
func TestUrgentCallsAreNotRefused(t *testing.T) {
	g := NewWithT(t)
	tallies := play(t, 6, 20*time.Second,
		load{"orders", 0, 20, 100 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond},
		load{"fees", 2, 200, 100 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond},
	)
	t.Logf("%+v", tallies)
	g.Expect(tallies[0].onTime).To(BeNumerically(">=", tallies[0].asked*97/100))
}

func TestSlotsOfLostAnswersAreUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := testGuard(1)
		guard.mean = 100 * time.Millisecond
		lost, err := guard.Admit(t.Context(), AdmissionRequest{Route: "orders"})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		start := time.Now()
		next, err := guard.Admit(ctx, AdmissionRequest{Route: "orders"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(Equal(overdueTimes * 100 * time.Millisecond))
		lost.Release()
		g.Expect(guard.Load().Running).To(Equal(1))
		next.Release()
		g.Expect(guard.Load().Running).To(BeZero())
	})
}

func TestPatienceSendsACallOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := testGuard(1)
		guard.mean = 100 * time.Millisecond
		pass, err := guard.Admit(t.Context(), AdmissionRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		defer pass.Release()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err = guard.Admit(ctx, AdmissionRequest{MaxQueueWait: 50 * time.Millisecond})
		g.Expect(err).To(HaveField("Reason", qhdecision.Busy))
	})
}

func TestWhatWaitsAtALeavingTargetIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := testGuard(1)
		guard.drain = time.Second
		pass, err := guard.Admit(t.Context(), AdmissionRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		defer pass.Release()
		var all sync.WaitGroup
		start := time.Now()
		all.Go(func() {
			_, err := guard.Admit(t.Context(), AdmissionRequest{})
			g.Expect(err).To(HaveField("Reason", qhdecision.Leaving))
			g.Expect(time.Since(start)).To(Equal(time.Second))
		})
		synctest.Wait()
		announcement := guard.Announcement()
		announcement.State = qhmember.Leaving
		guard.update(announcement)
		all.Wait()
	})
}

func TestATargetOutOfReachIsLeftAloneForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := testGuard(2)
		guard.MarkUnreachable()
		_, err := guard.Admit(t.Context(), AdmissionRequest{})
		g.Expect(err).To(HaveField("Reason", qhdecision.ConnectFailed))
		time.Sleep(brokenSpan)
		pass, err := guard.Admit(t.Context(), AdmissionRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		pass.Release()
	})
}
