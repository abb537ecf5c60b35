package qhbalance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	spillNodes       = 100
	spillSlots       = 12
	spillServiceTime = 90 * time.Millisecond
	spillObjective   = 300 * time.Millisecond
	spillPatience    = 120 * time.Millisecond
	spillDuration    = 20 * time.Second
	spillAttempts    = 4
	// remoteWay and localWay are the times of a message between two availability zones
	// and within one.
	remoteWay = 900 * time.Microsecond
	localWay  = 200 * time.Microsecond
)

// spillZone is an availability zone of the played load.
type spillZone struct {
	id      qhid.Zone
	targets int
	// share is the part of the calls that begin there.
	share float64
}

// spillTarget is a target with its guard, in virtual time.
type spillTarget struct {
	running int
	waiting []func()
}

// spillPlay is a load on one service, from many nodes of which each knows only what its
// own calls tell it.
type spillPlay struct {
	random  *rand.Rand
	now     time.Duration
	events  spillEvents
	targets map[qhid.Target]*spillTarget
	asked   map[qhid.Zone]int
	inTime  map[qhid.Zone]int
	// remote counts the messages to targets of other zones.
	remote int
}

type spillEvent struct {
	at  time.Duration
	run func()
}

type spillEvents []spillEvent

func (e spillEvents) Len() int           { return len(e) }
func (e spillEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e spillEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *spillEvents) Push(x any)        { *e = append(*e, x.(spillEvent)) }
func (e *spillEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *spillPlay) after(delay time.Duration, run func()) {
	heap.Push(&p.events, spillEvent{p.now + delay, run})
}

// admit runs done at the end of the call, or returns the wait for which it is refused.
func (p *spillPlay) admit(target *spillTarget, done func()) (time.Duration, bool) {
	if target.running >= spillSlots {
		if wait := spillServiceTime * time.Duration(len(target.waiting)+1) / spillSlots; wait > spillPatience {
			return wait, false
		}
		target.waiting = append(target.waiting, done)
		return 0, true
	}
	target.running++
	p.after(time.Duration((0.5+p.random.Float64())*float64(spillServiceTime)), func() {
		target.running--
		if len(target.waiting) > 0 {
			next := target.waiting[0]
			target.waiting = target.waiting[1:]
			p.admit(target, next)
		}
		done()
	})
	return 0, true
}

// spillNode is a node at which calls begin.
type spillNode struct {
	play     *spillPlay
	zone     qhid.Zone
	balancer *Balancer
	view     *qhmember.View
}

func (n *spillNode) call(start time.Duration, tried *TriedEndpoints) {
	p, now := n.play, startTime.Add(n.play.now)
	need := Need{Objective: spillObjective, Patience: spillPatience}
	choice, ok := n.balancer.ChooseFor(n.view, &qhconfig.Service{Name: "booking"}, tried, now, need)
	if !ok || tried.size >= spillAttempts {
		return // refused
	}
	endpoint := choice.Endpoint
	tried.Add(endpoint)
	endpoint.Stats.InFlight.Add(1)
	way := localWay
	if endpoint.Zone != n.zone {
		way = remoteWay
		p.remote++
	}
	sent := p.now
	target := p.targets[endpoint.ID]
	p.after(way, func() {
		wait, admitted := p.admit(target, func() {
			load := target.running + len(target.waiting)
			p.after(way, func() {
				endpoint.Stats.InFlight.Add(-1)
				RecordResponse(endpoint, p.now-sent)
				RecordReportedLoad(endpoint, load, startTime.Add(p.now))
				if p.now-start <= spillObjective {
					p.inTime[n.zone]++
				}
			})
		})
		if !admitted {
			p.after(way, func() {
				endpoint.Stats.InFlight.Add(-1)
				RecordRefusal(endpoint, 0, wait, startTime.Add(p.now))
				n.call(start, tried)
			})
		}
	})
}

// play plays the load of a number of calls a second, and returns the share in time of
// each zone.
func (p *spillPlay) play(zones []spillZone, rate float64) map[qhid.Zone]float64 {
	p.targets, p.asked, p.inTime = make(map[qhid.Target]*spillTarget), make(map[qhid.Zone]int), make(map[qhid.Zone]int)
	newEndpoints := func() []*qhmember.Endpoint {
		var endpoints []*qhmember.Endpoint
		for _, zone := range zones {
			for range zone.targets {
				endpoint := newEndpoint(len(endpoints), zone.id)
				endpoint.Slots = spillSlots
				endpoints = append(endpoints, endpoint)
			}
		}
		return endpoints
	}
	for _, endpoint := range newEndpoints() {
		p.targets[endpoint.ID] = &spillTarget{}
	}
	for _, zone := range zones {
		for range spillNodes / len(zones) {
			node := &spillNode{play: p, zone: zone.id, balancer: New(Options{Zone: zone.id, Random: p.random.IntN}), view: newView(newEndpoints()...)}
			interval := float64(time.Second) * float64(spillNodes/len(zones)) / (rate * zone.share)
			var arrive func()
			arrive = func() {
				p.asked[zone.id]++
				node.call(p.now, &TriedEndpoints{})
				p.after(time.Duration(p.random.ExpFloat64()*interval), arrive)
			}
			p.after(time.Duration(p.random.ExpFloat64()*interval), arrive)
		}
	}
	for p.now < spillDuration {
		event := heap.Pop(&p.events).(spillEvent)
		p.now = event.at
		event.run()
	}
	served := make(map[qhid.Zone]float64)
	for zone, asked := range p.asked {
		served[zone] = float64(p.inTime[zone]) / float64(asked)
	}
	return served
}

// TestCallersOfZonesWithLittleRoomAreServedLikeOthers has a zone with two fifths of the
// calls and a fifth of the targets, of which all together have just enough room.
func TestCallersOfZonesWithLittleRoomAreServedLikeOthers(t *testing.T) {
	zones := []spillZone{{"a", 10, 0.3}, {"b", 10, 0.3}, {"c", 5, 0.4}}
	capacity := float64(25*spillSlots) / spillServiceTime.Seconds()
	for _, load := range []float64{0.6, 0.9, 1, 1.3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			g := NewWithT(t)
			p := &spillPlay{random: rand.New(rand.NewPCG(1, 2))}
			served := p.play(zones, load*capacity)
			calls := p.asked["a"] + p.asked["b"] + p.asked["c"]
			all := float64(p.inTime["a"]+p.inTime["b"]+p.inTime["c"]) / float64(calls)
			t.Logf("in time %.3f, by zone %v, messages to other zones a call %.3f", all, served, float64(p.remote)/float64(calls))
			best, worst := max(served["a"], served["b"], served["c"]), min(served["a"], served["b"], served["c"])
			g.Expect(best - worst).To(BeNumerically("<=", 0.15))
		})
	}
}
