package qhquota

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

const (
	tenant   Key = "huilo"
	playTick     = 50 * time.Millisecond
	window       = 5 * time.Second
	// suspension is how long a VM is suspended; its clock counts that time.
	suspension = 6 * time.Second
	// noEvent is none of the events of a sequence.
	noEvent = -1
	// excess and slack are what a limit may be exceeded by in a window.
	excess = 0.1
	slack  = 20.0
)

// newLimit returns a limit with all of the excess that is allowed.
func newLimit(rate, burst float64) Limit {
	return Limit{Rate: rate, Burst: burst, Excess: excess*(rate*window.Seconds()+burst) + slack}
}

// playedNode is a node of a played fleet. Each has a steady clock of its own.
type playedNode struct {
	id    qhid.Node
	local *Local
	clock qhclock.Instant
	// cut nodes exchange no messages, paused ones do nothing and neither does their
	// clock show it before they go on.
	cut, paused bool
	// suspendedUntil is the end of a pause of the whole VM, on the fleet's time.
	suspendedUntil time.Duration
}

// isStill reports whether the node does nothing at a moment of the fleet's time.
func (n *playedNode) isStill(now time.Duration) bool { return n.paused || now < n.suspendedUntil }

// heldMessage is a message that a cut holds back. Its sender takes it for lost.
type heldMessage struct {
	from, to *playedNode
	message  Message
}

// playedFleet plays nodes in steps of playTick. Its messages arrive at once, or when a cut
// ends.
type playedFleet struct {
	nodes []*playedNode
	held  []heldMessage
	limit Limit
	now   time.Duration
	// settledAt is when the window that begins at the end of the last suspension ends.
	settledAt time.Duration
	// used has the times at which tokens were used.
	used    []time.Duration
	refused int
	stop    func()
	group   *qhgroup.Group
}

func newPlayedFleet(count int, limit Limit) *playedFleet {
	f := &playedFleet{limit: limit}
	f.group, f.stop = qhgroup.New(context.Background())
	for i := range count {
		n := &playedNode{id: qhid.Node(fmt.Sprint("n", i)), clock: qhclock.Instant(time.Duration(i) * time.Hour)}
		f.start(n)
		f.nodes = append(f.nodes, n)
	}
	return f
}

// start starts a node, again after its end, without tokens.
func (f *playedFleet) start(n *playedNode) {
	n.local = New(Options{
		Limit: func(Key) (Limit, bool) { return f.limit, true }, Keys: func() []Key { return []Key{tenant} },
		Nodes: func() int { return len(f.nodes) }, Keepers: func(Key) []qhid.Node { return []qhid.Node{"n0", "n1"} }, Self: n.id,
		Now: func() qhclock.Instant { return n.clock }, Group: f.group, Log: zap.NewNop(), Metrics: metrics.NewSet(),
		Send: func(_ context.Context, to qhid.Node, message Message) (Reply, error) {
			for _, other := range f.nodes {
				if other.id != to {
					continue
				}
				if !other.cut && !n.cut && !other.isStill(f.now) {
					return other.local.Answer(message), nil
				}
				f.held = append(f.held, heldMessage{from: n, to: other, message: message})
			}
			return Reply{}, errors.New("no response")
		},
	})
}

// suspend suspends the VMs of nodes.
func (f *playedFleet) suspend(nodes ...*playedNode) {
	for _, n := range nodes {
		n.suspendedUntil = f.now + suspension
	}
	f.settledAt = f.now + suspension + window
}

// deliverHeld delivers the messages whose nodes are no longer cut off or still.
func (f *playedFleet) deliverHeld() {
	f.held = slices.DeleteFunc(f.held, func(held heldMessage) bool {
		if held.from.cut || held.to.cut || held.to.isStill(f.now) {
			return false
		}
		held.to.local.Answer(held.message)
		return true
	})
}

// step lets a tick pass. calls is the number of calls at each node.
func (f *playedFleet) step(calls func(node int) int) {
	f.now += playTick
	f.deliverHeld()
	for i, n := range f.nodes {
		n.clock = n.clock.Add(playTick)
		if n.isStill(f.now) {
			continue
		}
		if f.now%sendInterval == 0 {
			n.local.sendSurplus(context.Background())
		}
		for range calls(i) {
			if n.local.Take(context.Background(), tenant).Granted {
				f.used = append(f.used, f.now)
			} else {
				f.refused++
			}
		}
	}
}

// mostInWindow returns the most tokens used in any window.
func (f *playedFleet) mostInWindow() int {
	most, first := 0, 0
	for last := range f.used {
		for f.used[last]-f.used[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func (f *playedFleet) bound() float64 {
	return (f.limit.Rate*window.Seconds()+f.limit.Burst)*(1+excess) + slack
}

// TestBoundHoldsOverCutsPausesAndRestarts plays random sequences of failures under a
// demand far above the limit, with idle times in which purses and pools fill.
func TestBoundHoldsOverCutsPausesAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(2, 400).Draw(t, "rate")
		f := newPlayedFleet(rapid.IntRange(1, 12).Draw(t, "nodes"), newLimit(rate, rate*rapid.Float64Range(0, 2).Draw(t, "burst")))
		defer f.stop()
		var idleUntil time.Duration
		perTick := int(6*rate*playTick.Seconds()) + 1
		for range 480 {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
			event := rapid.IntRange(0, 40).Draw(t, "event")
			if f.now < f.settledAt {
				event = noEvent // the first window after a suspension shows its effect
			}
			switch event {
			case 0:
				n.cut = !n.cut
			case 1:
				n.paused = !n.paused
			case 2:
				f.start(n)
			case 3:
				f.suspend(n)
			case 4:
				f.suspend(f.nodes...)
			case 5:
				f.settledAt = f.now + suspension + window
				idleUntil = f.now + suspension
			}
			hot := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "hot")
			f.step(func(node int) int {
				switch {
				case f.now < idleUntil:
					return 0
				case node == hot:
					return perTick
				default:
					return 1
				}
			})
		}
		NewWithT(t).Expect(float64(f.mostInWindow())).To(BeNumerically("<=", f.bound()))
	})
}

// TestDemandGetsItsAllowance checks that 0.95 of the allowance is used where the demand
// is, also when it is uneven by 100 to 1, or moves.
func TestDemandGetsItsAllowance(t *testing.T) {
	for name, hot := range map[string]func(tick int) int{
		"one node": func(int) int { return 3 },
		"moving":   func(tick int) int { return tick / 100 % 20 },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newPlayedFleet(20, newLimit(200, 200))
			defer f.stop()
			tick := 0
			calls := func(node int) int {
				if node == hot(tick) {
					return 20 // 400 a second
				}
				return 0
			}
			for ; tick < 200; tick++ {
				f.step(calls)
			}
			before := len(f.used)
			for ; tick < 600; tick++ {
				f.step(calls)
			}
			g.Expect(float64(len(f.used) - before)).To(BeNumerically(">=", 0.95*200*20))
			g.Expect(float64(f.mostInWindow())).To(BeNumerically("<=", f.bound()))
		})
	}
}

// TestNoRefusalBelowTheAllowance sends fewer calls than allowed, spread over the nodes.
func TestNoRefusalBelowTheAllowance(t *testing.T) {
	for _, rate := range []float64{4, 40, 400} {
		g := NewWithT(t)
		f := newPlayedFleet(20, newLimit(rate, rate))
		f.step(func(int) int { return 0 })
		for range 100 { // a start without calls
			f.step(func(int) int { return 0 })
		}
		due, node := 0.0, 0
		for range 400 {
			due += 0.6 * rate * playTick.Seconds()
			f.step(func(n int) int {
				if n != node%20 || due < 1 {
					return 0
				}
				calls := int(due)
				due -= float64(calls)
				return calls
			})
			node += 7
		}
		g.Expect(f.refused).To(BeZero(), "rate %g", rate)
		f.stop()
	}
}

// TestLowerLimitBinds lowers the limit to a tenth while nodes and pools have tokens.
func TestLowerLimitBinds(t *testing.T) {
	g := NewWithT(t)
	f := newPlayedFleet(10, newLimit(400, 400))
	defer f.stop()
	busy := func(int) int { return 5 }
	for range 100 {
		f.step(busy)
	}
	f.limit = newLimit(40, 40)
	for range 100 {
		f.step(busy)
	}
	from := slices.IndexFunc(f.used, func(at time.Duration) bool { return at > f.now-window })
	g.Expect(float64(len(f.used) - from)).To(BeNumerically("<=", f.bound()))
}

// TestSurplusThatWasHeldBackCountsAsOld delivers messages late, or as no node sends them.
func TestSurplusThatWasHeldBackCountsAsOld(t *testing.T) {
	g := NewWithT(t)
	f := newPlayedFleet(2, newLimit(40, 40))
	defer f.stop()
	keeper := f.nodes[0].local
	send := func(message Message) float64 {
		message.Surplus = map[Key]Surplus{tenant: {Tokens: 10, Age: message.Surplus[tenant].Age}}
		keeper.Answer(message)
		return keeper.poolOf(tenant).tokens.total()
	}
	f.step(func(int) int { return 0 })
	at := keeper.Answer(Message{}).At
	g.Expect(send(Message{RepliedAt: at})).To(BeEquivalentTo(10))
	f.nodes[0].clock = f.nodes[0].clock.Add(f.limit.lifetime())
	g.Expect(send(Message{RepliedAt: at})).To(BeZero(), "held back for the lifetime of a token")
	g.Expect(send(Message{RepliedAt: at, ReplyAge: f.limit.lifetime()})).To(BeEquivalentTo(10))
	g.Expect(send(Message{RepliedAt: at, ReplyAge: 2 * f.limit.lifetime()})).To(BeEquivalentTo(10), "sent in the future")
	g.Expect(send(Message{RepliedAt: at, ReplyAge: f.limit.lifetime(), Surplus: map[Key]Surplus{tenant: {Age: -time.Hour}}})).To(BeEquivalentTo(10), "of negative age")
}
