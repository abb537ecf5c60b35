package qhtransit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhclock"
)

func TestCallThatWasDelayedIsNotCurrentUntilItIsSentAgain(t *testing.T) {
	g := NewWithT(t)
	p := open(0, time.Hour)
	late := p.arrive(time.Second, latency+MaxAge+time.Millisecond, "")
	g.Expect(late.IsCurrent(late.Received)).To(BeFalse())
	again := p.arrive(3*time.Second, latency+time.Second, Refusal(late.Received))
	g.Expect(again.IsCurrent(again.Received)).To(BeTrue())
	g.Expect(again.Age).To(Equal(time.Second), "its deadline still counts the way")
}

func TestCallThatIsHeldIsCurrentWhileItsConnectionIsInUse(t *testing.T) {
	g := NewWithT(t)
	p := open(0, 0)
	held := p.arrive(time.Second, latency, "")
	g.Expect(held.IsCurrent(held.Received.Add(MaxAge))).To(BeTrue())
	g.Expect(held.IsCurrent(held.Received.Add(maxSilence))).To(BeTrue())
	g.Expect(held.IsCurrent(held.Received.Add(maxSilence+1))).To(BeFalse(), "the path is silent")
	p.conn.Hear(held.Received.Add(maxSilence + 1))
	g.Expect(held.IsCurrent(held.Received.Add(maxSilence+2))).To(BeFalse(), "the end of the call may be unread")
	g.Expect(held.IsCurrent(held.Received.Add(maxSilence + 1 + settleTime))).To(BeTrue())
}

func TestCallThatWasPartlyDelayedMayBeHeldForLess(t *testing.T) {
	g := NewWithT(t)
	p := open(0, 0)
	a := p.arrive(time.Second, latency+MaxAge/2, "")
	g.Expect(a.IsCurrent(a.Received.Add(MaxAge / 2))).To(BeTrue())
	p.conn.resumed.Store(int64(a.Received.Add(MaxAge / 2)))
	g.Expect(a.IsCurrent(a.Received.Add(MaxAge/2 + 1))).To(BeFalse())
}

func TestCallOfEarlierReleaseIsCurrent(t *testing.T) {
	g := NewWithT(t)
	a := NewConn(0).Arrive(Stamp{}, qhclock.Instant(time.Hour))
	g.Expect(a.Age).To(BeZero())
	g.Expect(a.IsCurrent(qhclock.Instant(2 * time.Hour))).To(BeTrue())
}

func TestRefusalOfTheFutureConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	p := open(0, 0)
	for _, text := range []string{"", "?", Refusal(qhclock.Instant(time.Hour))} {
		a := p.arrive(time.Second, latency+time.Second, text)
		g.Expect(a.IsCurrent(a.Received)).To(BeFalse())
	}
}
