package main

import (
	"os"
	"sync"
	"time"
)

const (
	drainBound  = 2 * time.Second // drainS
	contactTime = 3 * time.Second // contactS
	// lateness is how late the check-in arrives: when all machines are in touch again.
	lateness = 5200 * time.Millisecond
	// departureWork is how long a server of these cases works on a request.
	departureWork = 120 * time.Millisecond
	// drillTime is how long the store is away in a drill.
	drillTime = 700 * time.Millisecond
)

const firstConfig = `{"version":"00000007","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},` +
	`"listeners":[{"host":"booking.example","rules":[{"name":"r-slots","routeType":"non_idempotent","targetLatencyS":0.6,"priority":1,"match":{"pathPrefix":"/slots/"},"action":{"service":"booking","timeoutS":3,"attempts":2}}]}],` +
	`"clusters":[{"name":"booking","healthPath":"/healthz","maxConns":120,"protocol":"h1","tls":false}]}`

// departureRun is a deployment in which server 1 leaves, while the clients of the other
// machines send requests.
type departureRun struct {
	*fleet
	leaving *machine
	// before is the number of requests that server 1 ran before it left.
	before int
	// late is the check-in that server 1 sent at lateSent and that arrives late.
	late     int
	lateSent time.Time
	// taken is a copy of the store from before the last regular check-in.
	taken storeCopy

	clients sync.WaitGroup
	ended   chan struct{}
	mu      sync.Mutex
	sent    map[string]result
}

// startDeparture starts the deployment and the clients, and lets server 1 send its last
// check-in, which has not arrived yet. It returns nil if it can't.
func startDeparture(root, record string) *departureRun {
	f, err := newFleet(root, record, []string{"kigali-a", "kigali-a", "kigali-b", "kigali-c"}, []string{"booking", "booking", "booking", "booking"})
	if err != nil {
		println(err.Error())
		return nil
	}
	d := &departureRun{fleet: f, leaving: f.machines[0], ended: make(chan struct{}), sent: make(map[string]result)}
	for _, m := range f.machines {
		m.server.work = departureWork
	}
	f.store.put("config", "main", firstConfig)
	for _, m := range f.machines {
		if err := m.startNode(false); err != nil {
			f.say("cannot start a node: %v", err)
			f.stop()
			return nil
		}
	}
	if !f.awaitReady(20 * time.Second) {
		f.say("the nodes are not ready")
		f.stop()
		return nil
	}
	time.Sleep(5 * time.Second) // all servers have checked in, and all machines are in touch
	for _, m := range f.machines[1:] {
		d.clients.Go(func() { d.sendFrom(m) })
	}
	time.Sleep(2 * time.Second)
	d.before = len(d.leaving.server.taken())
	d.taken = f.store.copied()
	f.note("a copy of the store is taken")
	d.leaving.server.stopBeats()
	time.Sleep(beatPeriod) // its last regular check-in has arrived
	d.late, d.lateSent = d.leaving.server.nextSeq(), time.Now()
	f.note("server 1 sends the check-in %d, which will arrive late", d.late)
	return d
}

// sendFrom sends requests of the clients of a machine until the end.
func (d *departureRun) sendFrom(m *machine) {
	for {
		select {
		case <-d.ended:
			return
		case <-time.After(40 * time.Millisecond):
		}
		d.clients.Go(func() {
			r := m.send("POST", "booking.example", "/slots/1", 3*time.Second, nil, nil)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.sent[r.id] = r
		})
	}
}

// deregister deregisters server 1, and returns when its node had acknowledged that.
func (d *departureRun) deregister() (time.Time, bool) {
	if !d.leaving.server.deregister() {
		d.say("the deregistration was not acknowledged")
		return time.Time{}, false
	}
	d.note("node 1 has acknowledged that server 1 leaves")
	return time.Now(), true
}

// restart kills node 1 and starts it again.
func (d *departureRun) restart() bool {
	d.leaving.kill()
	if err := d.leaving.startNode(false); err != nil {
		d.say("cannot start a node: %v", err)
		return false
	}
	return true
}

// judge lets the late check-in arrive and returns the result. All machines are in touch from
// inTouch on.
func (d *departureRun) judge(acknowledged, inTouch time.Time) int {
	time.Sleep(time.Until(d.lateSent.Add(lateness)))
	d.note("the check-in %d of server 1 arrives: acknowledged %v", d.late, d.leaving.server.beat("ready", d.late))
	time.Sleep(time.Until(acknowledged.Add(9 * time.Second)))
	close(d.ended)
	d.clients.Wait()

	d.mu.Lock()
	defer d.mu.Unlock()
	binding := acknowledged.Add(drainBound)
	if inTouch.After(binding) {
		binding = inTouch
	}
	tooLate, all := 0, 0
	for _, r := range d.leaving.server.taken()[d.before:] {
		if r.at.After(acknowledged) {
			all++
		}
		if request := d.sent[r.id]; request.sent.After(binding) {
			tooLate++
		}
	}
	d.say("acknowledged at %.3f s, binding from %.3f s", acknowledged.Sub(d.start).Seconds(), binding.Sub(d.start).Seconds())
	d.say("server 1 ran %d requests before it left, %d after the acknowledgement, %d of them sent later than drainS after it by machines in touch", d.before, all, tooLate)
	switch {
	case d.before == 0 || len(d.sent) < 100:
		d.say("too few requests to judge")
		return notRun
	case tooLate > 0:
		d.say("DRAIN is broken")
		return broken
	}
	d.say("DRAIN held")
	return held
}

// forgottenDeparture: a server deregisters while the store turns its node away, the node is
// killed and starts again, and a check-in of the server from before arrives late.
func forgottenDeparture(root, record string, trouble bool) int {
	d := startDeparture(root, record)
	if d == nil {
		return notRun
	}
	defer d.stop()
	if trouble {
		d.store.setAway(0, true)
		d.note("the store turns machine 1 away")
	}
	time.Sleep(200 * time.Millisecond)
	acknowledged, ok := d.deregister()
	if !ok {
		return notRun
	}
	time.Sleep(500 * time.Millisecond)
	inTouch := acknowledged // when machine 1 is in touch again
	if trouble {
		if !d.restart() {
			return notRun
		}
		d.store.setAway(0, false)
		d.note("the store serves machine 1 again")
		inTouch = time.Now().Add(contactTime)
	}
	return d.judge(acknowledged, inTouch)
}

// restoredDeparture: a server deregisters, the store comes back from a copy of before that in a
// drill, the server's node is killed and starts again, and a check-in of the server from before
// arrives late. With DRILL=0 only the drill is left out.
func restoredDeparture(root, record string, trouble bool) int {
	d := startDeparture(root, record)
	if d == nil {
		return notRun
	}
	defer d.stop()
	time.Sleep(200 * time.Millisecond)
	acknowledged, ok := d.deregister()
	if !ok {
		return notRun
	}
	time.Sleep(200 * time.Millisecond)
	d.note("the store has departures of %s", d.store.describe("departures"))
	if trouble && os.Getenv("DRILL") != "0" {
		d.note("the store is away")
		d.store.setAllAway()
		time.Sleep(drillTime)
		d.store.restore(d.taken)
		d.note("the store is back from the copy, with departures of %s", d.store.describe("departures"))
	}
	time.Sleep(time.Until(acknowledged.Add(1500 * time.Millisecond)))
	d.note("the store has departures of %s", d.store.describe("departures"))
	inTouch := acknowledged
	if trouble {
		if !d.restart() {
			return notRun
		}
		inTouch = time.Now().Add(contactTime)
	}
	return d.judge(acknowledged, inTouch)
}
