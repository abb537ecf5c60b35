package qhdrain

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const timeout = 6 * time.Second

// after returns a moment after the start of the shutdowns of these tests.
func after(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func TestScheduleAcceptsCalls(t *testing.T) {
	const s = time.Second
	schedule := NewSchedule(after(0), 2700*time.Millisecond, timeout)
	for name, c := range map[string]struct {
		now, lastRun time.Duration
		call         Call
		accepted     bool
	}{
		"before the delay has passed, ended by its deadline": {1 * s, 0, Call{Deadline: after(5 * s), CallerDeadline: after(9 * s), Expected: 20 * s}, true},
		"before that, usually short":                         {2 * s, 0, Call{Deadline: after(9 * s), CallerDeadline: after(9 * s), Expected: s}, true},
		"before that, usually too long":                      {2 * s, 0, Call{Deadline: after(9 * s), CallerDeadline: after(9 * s), Expected: 4 * s}, false},
		"before that, of unknown duration":                   {2 * s, 0, Call{Deadline: after(9 * s), CallerDeadline: after(9 * s)}, true},
		"later, with no runs":                                {3 * s, 0, Call{Deadline: after(4 * s), CallerDeadline: after(4 * s)}, false},
		"later, not beyond a run":                            {3 * s, 4 * s, Call{Deadline: after(4 * s), CallerDeadline: after(4 * s)}, true},
		"later, beyond all runs":                             {3 * s, 4 * s, Call{Deadline: after(4 * s), CallerDeadline: after(5 * s)}, false},
		"later, not beyond a run that may be cancelled":      {3 * s, 9 * s, Call{Deadline: after(6 * s), CallerDeadline: after(6 * s), Expected: time.Millisecond}, false},
		"later, without a deadline of the caller":            {3 * s, 4 * s, Call{Deadline: after(60 * s), Expected: s}, true},
		"later, without one and too long":                    {3 * s, 4 * s, Call{Deadline: after(60 * s), Expected: 3 * s}, false},
		"later, without one on a route of callers":           {3 * s, 4 * s, Call{Deadline: after(60 * s), FromCallers: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var lastRun time.Time
			if c.lastRun > 0 {
				lastRun = after(c.lastRun)
			}
			NewWithT(t).Expect(schedule.Accepts(after(c.now), c.call, lastRun)).To(Equal(c.accepted))
		})
	}
}

// TestAcceptedCallsEndInTime checks that no call that a caller sends with a deadline after
// the shutdown delay can still be in flight when calls are cancelled, whatever the settings,
// and that the node serves no other calls than those of runs then.
func TestAcceptedCallsEndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, name))
		}
		limit := time.Second + duration("timeout")
		schedule := NewSchedule(after(0), duration("delay"), limit)
		if schedule.RefuseAt.After(schedule.CancelAt) || schedule.CancelAt.After(schedule.End) || schedule.RefuseAt.Sub(after(0)) > limit/2 {
			t.Fatalf("out of order: %+v", schedule)
		}
		now := schedule.RefuseAt.Add(duration("since"))
		remaining, runLeft := duration("remaining"), duration("run")
		c := Call{CallerDeadline: now.Add(remaining), Deadline: now.Add(min(remaining, duration("route"))), Expected: duration("expected")}
		accepted := schedule.Accepts(now, c, now.Add(runLeft))
		if accepted && (c.Deadline.After(schedule.CancelAt) || remaining > runLeft+deadlineTolerance) {
			t.Fatalf("accepted %+v at %v with a run until %v", c, now, now.Add(runLeft))
		}
		if !accepted && !c.Deadline.After(schedule.CancelAt) && remaining <= runLeft {
			t.Fatalf("refused %+v at %v with a run until %v", c, now, now.Add(runLeft))
		}
	})
}

func TestHistoryExpectsMoreThanNearlyAllDurations(t *testing.T) {
	g := NewWithT(t)
	var h History
	g.Expect(h.Expected("orders")).To(BeZero())
	h.RecordDuration("orders", 100*time.Millisecond)
	g.Expect(h.Expected("orders")).To(BeNumerically("~", 300*time.Millisecond, time.Millisecond))
	for i := range 200 {
		h.RecordDuration("orders", time.Duration(80+i%40)*time.Millisecond)
	}
	g.Expect(h.Expected("orders")).To(BeNumerically(">", 120*time.Millisecond))
	g.Expect(h.Expected("orders")).To(BeNumerically("<", 200*time.Millisecond))
	g.Expect(h.Expected("docs")).To(BeZero())
	g.Expect(h.IsFromCallers("orders")).To(BeFalse())
	h.RecordCaller("orders")
	g.Expect(h.IsFromCallers("orders")).To(BeTrue())
	g.Expect(h.IsFromCallers("docs")).To(BeFalse())
}
