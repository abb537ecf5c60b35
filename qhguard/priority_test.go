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

// workload is one kind of call, sent at a steady rate.
type workload struct {
	route       qhid.Route
	priority    int
	perSecond   int
	serviceTime time.Duration
	objective   time.Duration
	deadline    time.Duration
}

// outcomes counts the results of the calls of one workload.
type outcomes struct{ sent, onTime, late, refused int }

// runWorkloads sends all workloads to one guard for the duration and returns the
// outcomes of each.
func runWorkloads(t *testing.T, slots int, duration time.Duration, workloads ...workload) []outcomes {
	results := make([]outcomes, len(workloads))
	synctest.Test(t, func(t *testing.T) {
		guard := testGuard(slots)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i, w := range workloads {
			wg.Go(func() {
				for range int(duration.Seconds() * float64(w.perSecond)) {
					time.Sleep(time.Second / time.Duration(w.perSecond))
					wg.Go(func() {
						start := time.Now()
						ctx, cancel := context.WithTimeout(t.Context(), w.deadline)
						defer cancel()
						permit, err := guard.Admit(ctx, AdmissionRequest{Route: w.route, Priority: w.priority, ObjectiveDeadline: start.Add(w.objective)})
						if err == nil {
							time.Sleep(w.serviceTime)
							permit.Release()
						}
						mu.Lock()
						defer mu.Unlock()
						result := &results[i]
						result.sent++
						switch {
						case err != nil:
							result.refused++
						case time.Since(start) <= w.objective:
							result.onTime++
						default:
							result.late++
						}
					})
				}
			})
		}
		wg.Wait()
	})
	return results
}

// TestNoPriorityIsStarved sends twice the load that a target can run, in three
// priorities. More urgent calls are admitted more often, but none is starved.
func TestNoPriorityIsStarved(t *testing.T) {
	g := NewWithT(t)
	serviceTime := 100 * time.Millisecond
	results := runWorkloads(t, 6, 20*time.Second,
		workload{"orders", 0, 40, serviceTime, 250 * time.Millisecond, 1500 * time.Millisecond},
		workload{"stock", 1, 40, serviceTime, 250 * time.Millisecond, 1500 * time.Millisecond},
		workload{"fees", 2, 40, serviceTime, 250 * time.Millisecond, 1500 * time.Millisecond},
	)
	served := func(i int) float64 { return float64(results[i].onTime+results[i].late) / float64(results[i].sent) }
	t.Logf("%+v", results)
	g.Expect(served(0)).To(BeNumerically(">", served(1)))
	g.Expect(served(1)).To(BeNumerically(">", served(2)))
	average := (served(0) + served(1) + served(2)) / 3
	for i := range results {
		g.Expect(served(i)).To(BeNumerically(">", average/4))
	}
	g.Expect(served(0)*40 + served(1)*40 + served(2)*40).To(BeNumerically(">", 0.9*6/serviceTime.Seconds()))
}

// TestAdmittedCallsMeetObjectiveUnderOverload sends twice the load that a target
// can run, all of one kind. Admitted calls are answered within the objective.
func TestAdmittedCallsMeetObjectiveUnderOverload(t *testing.T) {
	g := NewWithT(t)
	result := runWorkloads(t, 6, 20*time.Second, workload{"orders", 0, 120, 100 * time.Millisecond, 250 * time.Millisecond, 1500 * time.Millisecond})[0]
	t.Logf("%+v", result)
	g.Expect(result.onTime).To(BeNumerically(">", 9*result.late))
	g.Expect(result.onTime + result.late).To(BeNumerically(">", result.sent*45/100))
}

// TestUrgentCallsAreAdmittedUnderOverload sends an overload of which the urgent
// calls alone fit the target.
func TestUrgentCallsAreAdmittedUnderOverload(t *testing.T) {
	g := NewWithT(t)
	results := runWorkloads(t, 6, 20*time.Second,
		workload{"orders", 0, 20, 100 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond},
		workload{"fees", 2, 200, 100 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond},
	)
	t.Logf("%+v", results)
	g.Expect(results[0].onTime).To(BeNumerically(">=", results[0].sent*97/100))
}

// TestShortCallsAreNotHeldUpByLongOnes sends one and a half times the load that a target
// can run. Short calls of targets, which hold slots elsewhere, come with long ones, of
// which a part has been refused before and has little time left.
func TestShortCallsAreNotHeldUpByLongOnes(t *testing.T) {
	g := NewWithT(t)
	results := runWorkloads(t, 12, 20*time.Second,
		workload{"saves", 2, 50, 120 * time.Millisecond, 400 * time.Millisecond, time.Second},
		workload{"saves", 2, 40, 120 * time.Millisecond, 180 * time.Millisecond, 800 * time.Millisecond},
		workload{"checks", 0, 328, 22 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond},
	)
	t.Logf("%+v", results)
	g.Expect(results[2].onTime).To(BeNumerically(">=", results[2].sent*95/100))
	g.Expect(results[0].onTime).To(BeNumerically(">", results[0].late)) // the wait for all short calls to come was expected
	saved := results[0].onTime + results[0].late + results[1].onTime + results[1].late
	g.Expect(saved).To(BeNumerically(">=", (results[0].sent+results[1].sent)*2/5))
}

// TestCallsOfALessUrgentPriorityAreNotToldToStayAway has a target that is busy with urgent
// calls. Nodes that are told of a long wait do not ask for that time, so that the guard
// would not know that the less urgent calls are starved.
func TestCallsOfALessUrgentPriorityAreNotToldToStayAway(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	guard := testGuard(4)
	guard.meanServiceTime = 40 * time.Millisecond
	guard.fairness.recordRequest(now, mostUrgent)
	idle := guard.expectedWaitBehind(now, nil, qhmember.RanksPerPriority)
	for range 1000 {
		guard.fairness.recordWork(mostUrgent, guard.meanServiceTime)
	}
	g.Expect(guard.expectedWaitBehind(now, nil, qhmember.RanksPerPriority)).To(Equal(idle))
	g.Expect(guard.expectedWaitBehind(now, nil, mostUrgent+1)).To(BeNumerically(">", idle))
}

func TestOverdueCallFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := testGuard(1)
		guard.meanServiceTime = 100 * time.Millisecond
		overdue, err := guard.Admit(t.Context(), AdmissionRequest{Route: "orders"})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		start := time.Now()
		next, err := guard.Admit(ctx, AdmissionRequest{Route: "orders"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(Equal(reclaimFactor * 100 * time.Millisecond))
		overdue.Release()
		g.Expect(guard.Load().Running).To(Equal(1))
		next.Release()
		g.Expect(guard.Load().Running).To(BeZero())
	})
}

func TestMaxQueueWaitRefusesCallImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := testGuard(1)
		guard.meanServiceTime = 100 * time.Millisecond
		permit, err := guard.Admit(t.Context(), AdmissionRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		defer permit.Release()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err = guard.Admit(ctx, AdmissionRequest{MaxQueueWait: 50 * time.Millisecond})
		g.Expect(err).To(HaveField("Reason", qhdecision.Busy))
	})
}

func TestLeavingTargetRefusesQueuedCallsAfterDrainTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := testGuard(1)
		guard.drainTimeout = time.Second
		permit, err := guard.Admit(t.Context(), AdmissionRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		defer permit.Release()
		var wg sync.WaitGroup
		start := time.Now()
		wg.Go(func() {
			_, err := guard.Admit(t.Context(), AdmissionRequest{})
			g.Expect(err).To(HaveField("Reason", qhdecision.Leaving))
			g.Expect(time.Since(start)).To(Equal(time.Second))
		})
		synctest.Wait()
		info := guard.Info()
		info.State = qhmember.Leaving
		guard.update(info)
		wg.Wait()
	})
}

func TestUnreachableTargetRefusesCallsForUnreachableDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard := testGuard(2)
		guard.MarkUnreachable()
		_, err := guard.Admit(t.Context(), AdmissionRequest{})
		g.Expect(err).To(HaveField("Reason", qhdecision.ConnectFailed))
		time.Sleep(unreachableDuration)
		permit, err := guard.Admit(t.Context(), AdmissionRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		permit.Release()
	})
}
