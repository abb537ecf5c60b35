package main

import (
	"sync"
	"time"
)

const (
	drainBound  = 2 * time.Second // drainS
	contactTime = 3 * time.Second // contactS
)

const firstConfig = `{"version":"00000007","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},` +
	`"listeners":[{"host":"booking.example","rules":[{"name":"r-slots","routeType":"non_idempotent","targetLatencyS":0.6,"priority":1,"match":{"pathPrefix":"/slots/"},"action":{"service":"booking","timeoutS":3,"attempts":2}}]}],` +
	`"clusters":[{"name":"booking","healthPath":"/healthz","maxConns":120,"protocol":"h1","tls":false}]}`

// forgottenDeparture: a server deregisters while the store turns its node away, the node is
// killed and starts again, and a check-in of the server from before arrives late.
func forgottenDeparture(root, record string, trouble bool) int {
	f, err := newFleet(root, record, []string{"kigali-a", "kigali-a", "kigali-b", "kigali-c"}, []string{"booking", "booking", "booking", "booking"})
	if err != nil {
		println(err.Error())
		return notRun
	}
	defer f.stop()
	f.machines[1].server.work = 60 * time.Millisecond // servers of one service differ in speed
	f.store.put("config", "main", firstConfig)
	for _, m := range f.machines {
		if err := m.startNode(false); err != nil {
			f.say("cannot start a node: %v", err)
			return notRun
		}
	}
	if !f.awaitReady(20 * time.Second) {
		f.say("the nodes are not ready")
		return notRun
	}
	time.Sleep(5 * time.Second) // all servers have checked in, and all machines are in touch

	sent := make(map[string]result)
	var mu sync.Mutex
	done, stop := sync.WaitGroup{}, make(chan struct{})
	for _, m := range f.machines[1:] { // the clients of the machines that nothing happens to
		done.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				done.Go(func() {
					r := m.send("POST", "booking.example", "/slots/1", 3*time.Second, nil, nil)
					mu.Lock()
					defer mu.Unlock()
					sent[r.id] = r
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	leaving := f.machines[0]
	before := len(leaving.server.taken())

	leaving.server.stopBeats()
	time.Sleep(beatPeriod)           // its last regular check-in has arrived
	late := leaving.server.nextSeq() // sent now, arrives after lateness
	f.note("server 1 sends the check-in %d, which will arrive late", late)
	if trouble {
		f.store.setAway(0, true)
		f.note("the store turns machine 1 away")
	}
	time.Sleep(200 * time.Millisecond)
	if !leaving.server.deregister() {
		f.say("the deregistration was not acknowledged")
		return notRun
	}
	acknowledged := time.Now()
	f.note("node 1 has acknowledged that server 1 leaves")
	inTouch := acknowledged // when machine 1 is in touch again
	if trouble {
		time.Sleep(500 * time.Millisecond)
		leaving.kill()
		if err := leaving.startNode(false); err != nil {
			f.say("cannot start a node: %v", err)
			return notRun
		}
		f.store.setAway(0, false)
		f.note("the store serves machine 1 again")
		inTouch = time.Now().Add(contactTime)
	} else {
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(time.Until(acknowledged.Add(2 * time.Second)))
	f.note("the check-in %d of server 1 arrives: acknowledged %v", late, leaving.server.beat("ready", late))
	time.Sleep(time.Until(acknowledged.Add(9 * time.Second)))
	close(stop)
	done.Wait()

	mu.Lock()
	defer mu.Unlock()
	binding := acknowledged.Add(drainBound)
	if inTouch.After(binding) {
		binding = inTouch
	}
	tooLate, all := 0, 0
	for _, r := range leaving.server.taken()[before:] {
		if r.at.After(acknowledged) {
			all++
		}
		if request := sent[r.id]; request.sent.After(binding) {
			tooLate++
		}
	}
	f.say("acknowledged at %.3f s, binding from %.3f s", acknowledged.Sub(f.start).Seconds(), binding.Sub(f.start).Seconds())
	f.say("server 1 ran %d requests before it left, %d after the acknowledgement, %d of them sent later than drainS after it by machines in touch", before, all, tooLate)
	switch {
	case before == 0 || len(sent) < 100:
		f.say("too few requests to judge")
		return notRun
	case tooLate > 0:
		f.say("DRAIN is broken")
		return broken
	}
	f.say("DRAIN held")
	return held
}
