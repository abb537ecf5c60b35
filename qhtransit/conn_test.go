package qhtransit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhclock"
)

const latency = 2 * time.Millisecond

// path is a path between a sender whose clock is offset behind that of the receiver.
type path struct {
	conn   *Conn
	opened qhclock.Instant
	offset time.Duration
}

// open opens a connection at an instant of the sender's clock.
func open(opened qhclock.Instant, offset time.Duration) *path {
	return &path{conn: NewConn(opened.Add(offset + latency)), opened: opened, offset: offset}
}

// deliver returns the age of a call that is sent the given time after the opening and takes
// the given time.
func (p *path) deliver(sent, transit time.Duration) time.Duration {
	return p.arrive(sent, transit, "").Age
}

// arrive delivers a call that brings the text of a refusal, if any.
func (p *path) arrive(sent, transit time.Duration, refused string) Arrival {
	now := p.received(sent, transit)
	p.conn.Hear(now)
	return p.conn.Arrive(Stamp{Sent: sent, Known: true, Refused: refused}, now)
}

// received returns when something that is sent the given time after the opening and takes the
// given time is received.
func (p *path) received(sent, transit time.Duration) qhclock.Instant {
	return p.opened.Add(sent + p.offset + transit)
}

func TestAgeOfDelayedCallDoesNotDependOnClocks(t *testing.T) {
	for _, offset := range []time.Duration{0, -time.Hour, 1000 * time.Hour} {
		g := NewWithT(t)
		p := open(qhclock.Instant(5*time.Hour), offset)
		g.Expect(p.deliver(time.Second, latency)).To(BeZero())
		g.Expect(p.deliver(2*time.Second, latency+time.Second)).To(Equal(time.Second))
		g.Expect(p.deliver(3*time.Second, latency)).To(BeZero())
	}
}

func TestAgeOfFirstCallIsKnown(t *testing.T) {
	NewWithT(t).Expect(open(0, time.Hour).deliver(0, latency+1700*time.Millisecond)).To(Equal(1700 * time.Millisecond))
}

func TestAgeCountsTimeBeforeConnectionWasOpen(t *testing.T) {
	NewWithT(t).Expect(open(0, 0).deliver(-300*time.Millisecond, latency+300*time.Millisecond)).To(Equal(300 * time.Millisecond))
}

func TestPathThatStaysSlowerIsNotDelayedForGood(t *testing.T) {
	g := NewWithT(t)
	p := open(0, 0)
	var age time.Duration
	for sent := time.Duration(0); sent <= 2*window+2*time.Second; sent += time.Second {
		age = p.deliver(sent, latency+time.Second)
		if sent < window {
			g.Expect(age).To(Equal(time.Second))
		}
	}
	g.Expect(age).To(BeZero())
}

func TestDriftOfClocksDoesNotAddUp(t *testing.T) {
	g := NewWithT(t)
	const drift = 1e-4
	p := open(0, 0)
	for sent := time.Duration(0); sent < time.Hour; sent += time.Second {
		age := p.conn.age(sent, p.opened.Add(latency+time.Duration(float64(sent)*(1+drift))))
		g.Expect(age).To(BeNumerically("<=", 2*(window+time.Second)/10000))
	}
}

func TestAgeNeverExceedsTimeOnTheWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := open(qhclock.Instant(rapid.Int64Range(0, 1e15).Draw(t, "opened")), time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "offset")))
		var sent time.Duration
		for range rapid.IntRange(1, 50).Draw(t, "calls") {
			sent += time.Duration(rapid.Int64Range(0, int64(window)).Draw(t, "pause"))
			transit := latency + time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "delay"))
			refused := ""
			if rapid.Bool().Draw(t, "refused") {
				refused = Refusal(p.received(sent, -time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "response"))))
			}
			if age := p.arrive(sent, transit, refused).Age; age < 0 || age > transit {
				t.Fatalf("age %s of a call that took %s", age, transit)
			}
		}
	})
}

func TestClockThatJumpsIsCorrectedByOneRefusal(t *testing.T) {
	g := NewWithT(t)
	p := open(0, 0)
	p.offset = time.Hour
	g.Expect(p.deliver(time.Second, latency)).To(Equal(time.Hour))
	refused := Refusal(p.received(time.Second, latency))
	again := p.arrive(time.Second+latency, latency, refused)
	g.Expect(again.Age).To(BeNumerically("<=", 2*latency))
	g.Expect(again.IsCurrent(again.Received)).To(BeTrue())
	g.Expect(p.deliver(2*time.Second, latency)).To(BeNumerically("<=", 2*latency))
}
