package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// leavingDeployment has two endpoints of one service in two zones.
func leavingDeployment(w *world) *machine {
	leaving := w.addMachine("kigali-a", "booking")
	w.addMachine("kigali-b", "booking")
	for _, m := range w.machines {
		m.endpoint.work = func(*http.Request) time.Duration { return 200 * time.Millisecond }
	}
	w.store.put("config", "main", config("0000000c", []route{
		{name: "urn-order", host: "urns.example", prefix: "/urns/", kind: "non_idempotent", service: "booking", timeoutS: 2.5, targetS: 0.8, priority: 1, attempts: 2},
	}, nil, "booking"))
	w.begin()
	return leaving
}

// sendOrders lets the requesters of both machines send orders.
func (w *world) sendOrders(c *collector, until time.Time) {
	for _, m := range w.machines {
		c.sendEach(w, 100*time.Millisecond, until, func() *request {
			return &request{method: "POST", host: "urns.example", path: "/urns/1", from: m, body: 300, budget: 5 * time.Second}
		})
	}
}

// checkInCase lets an endpoint leave, and then a check-in of another writer arrive that
// lacks the field born.
func checkInCase(w *world) verdict {
	leaving := leavingDeployment(w)
	var orders collector
	w.sendOrders(&orders, time.Now().Add(12*time.Second))
	time.Sleep(time.Second)
	foreign := leaving.endpoint.nextBody("ready")
	delete(foreign, "born")
	acknowledged := w.leave(leaving)
	if w.trouble {
		time.Sleep(time.Until(acknowledged.Add(3 * time.Second)))
		w.record("%s: another writer sends the check-in %v of %s, acknowledged: %v", leaving.id, foreign, leaving.endpoint.id, leaving.endpoint.checkIn(foreign))
	}
	time.Sleep(time.Until(acknowledged.Add(7 * time.Second)))
	leaving.endpoint.kill()
	orders.group.Wait()
	return w.judgeDrain(leaving.endpoint, acknowledged, acknowledged)
}

// leave lets the endpoint deregister, and returns when that was acknowledged. The endpoint
// goes on serving.
func (w *world) leave(m *machine) time.Time {
	if !m.endpoint.deregister() {
		panic("the endpoint's leaving was not acknowledged")
	}
	acknowledged := time.Now()
	w.record("%s: endpoint %s has deregistered, acknowledged", m.id, m.endpoint.id)
	return acknowledged
}

// lateBeatCase kills the node after it has acknowledged that the endpoint leaves. A
// check-in that the endpoint sent before arrives late.
func lateBeatCase(w *world) verdict {
	leaving := leavingDeployment(w)
	var orders collector
	w.sendOrders(&orders, time.Now().Add(14*time.Second))
	time.Sleep(time.Second)
	late := leaving.endpoint.nextBody("ready")
	acknowledged := w.leave(leaving)
	inTouch := acknowledged
	if w.trouble {
		time.Sleep(500 * time.Millisecond)
		leaving.signal(syscall.SIGKILL)
		leaving.kill()
		time.Sleep(500 * time.Millisecond)
		leaving.startNode()
		inTouch = time.Now().Add(3 * time.Second) // contactS
		time.Sleep(time.Until(acknowledged.Add(2500 * time.Millisecond)))
		w.record("%s: the check-in %v that %s sent before it left arrives, acknowledged: %v", leaving.id, late, leaving.endpoint.id, leaving.endpoint.checkIn(late))
	}
	time.Sleep(time.Until(acknowledged.Add(7 * time.Second)))
	leaving.endpoint.kill()
	orders.group.Wait()
	return w.judgeDrain(leaving.endpoint, acknowledged, inTouch)
}

// laterBootCase lets an endpoint crash and start again under its id. The new boot leaves
// before its first check-in, which is late, has arrived.
func laterBootCase(w *world) verdict {
	leaving := leavingDeployment(w)
	var orders collector
	w.sendOrders(&orders, time.Now().Add(14*time.Second))
	time.Sleep(time.Second)
	leaving.endpoint.kill()
	time.Sleep(500 * time.Millisecond)
	leaving.endpoint = newEndpoint(leaving, leaving.endpoint.id)
	leaving.endpoint.work = func(*http.Request) time.Duration { return 200 * time.Millisecond }
	leaving.endpoint.silent = true // its check-ins are sent below
	leaving.endpoint.start()
	late := leaving.endpoint.nextBody("ready")
	time.Sleep(500 * time.Millisecond)
	acknowledged := w.leave(leaving)
	if w.trouble {
		time.Sleep(time.Until(acknowledged.Add(4 * time.Second)))
		w.record("%s: the check-in %v that %s sent before it left arrives, acknowledged: %v", leaving.id, late, leaving.endpoint.id, leaving.endpoint.checkIn(late))
	}
	time.Sleep(time.Until(acknowledged.Add(9 * time.Second)))
	leaving.endpoint.kill()
	orders.group.Wait()
	return w.judgeDrain(leaving.endpoint, acknowledged, acknowledged)
}

// judgeDrain counts the requests that reached the endpoint later than drainS after the
// acknowledgement while all machines were in touch, and those of them that were lost when
// it ended.
func (w *world) judgeDrain(e *endpoint, acknowledged, inTouch time.Time) verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	late, dropped := 0, 0
	for _, x := range e.executions {
		if x.begin.Sub(acknowledged) <= 2*time.Second || x.begin.Before(inTouch) {
			continue
		}
		late++
		if x.ended != "answered" {
			dropped++
		}
		w.record("DRAIN: %s reached %s %.3f s after the acknowledgement, %s", x.request, e.id, x.begin.Sub(acknowledged).Seconds(), x.ended)
	}
	return verdict{broken: late > 0, text: fmt.Sprintf("DRAIN: %d requests reached %s, sent on by machines in touch, later than drainS (2 s) after its leaving was acknowledged; %d of them were lost when it ended", late, e.id, dropped)}
}
