package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// collector collects the requests that requesters have sent.
type collector struct {
	group sync.WaitGroup
	mu    sync.Mutex
	list  []*request
}

func (c *collector) send(w *world, r *request) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		w.send(r)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.list = append(c.list, r)
	}()
}

// sendEach sends requests at the interval until the moment.
func (c *collector) sendEach(w *world, interval time.Duration, until time.Time, next func() *request) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for time.Now().Before(until) {
			<-ticker.C
			c.send(w, next())
		}
	}()
}

// shutdownCase stops a node while a slow upload is at work at the endpoint beside it. The
// zone has one node, so that its requesters keep getting work while it is not ready.
func shutdownCase(w *world) verdict {
	w.setGrown(214)
	stopped := w.addMachine("hu-east-a", "fuvar")
	w.addMachine("hu-east-b", "rendeles")
	w.addMachine("hu-east-c", "rendeles")
	for _, m := range w.machines[1:] {
		m.endpoint.work = func(*http.Request) time.Duration { return 250 * time.Millisecond }
	}
	w.machines[0].endpoint.work = func(*http.Request) time.Duration { return 220 * time.Millisecond }
	w.store.put("config", "main", config("0000000c", []route{
		{name: "delivery-docs", host: "docs.example", prefix: "/docs/", kind: "upload", service: "fuvar", targetS: 1.2, priority: 1, attempts: 2},
		{name: "order-charge", host: "orders.example", prefix: "/orders/", kind: "non_idempotent", service: "rendeles", timeoutS: 3, targetS: 1, priority: 1, attempts: 2},
	}, nil, "fuvar", "rendeles"))
	w.begin()

	var uploads, orders collector
	if hasUpload() {
		uploads.send(w, &request{method: "POST", host: "docs.example", path: "/docs/note", from: stopped, body: 360_000, bodyTime: 7 * time.Second, budget: 8 * time.Second})
	}
	time.Sleep(500 * time.Millisecond)
	term := time.Now()
	orders.sendEach(w, 50*time.Millisecond, term.Add(6400*time.Millisecond), func() *request {
		return &request{method: "POST", host: "orders.example", path: "/orders/1", from: stopped, body: 4000, budget: 6 * time.Second}
	})
	if w.trouble {
		stopped.signal(syscall.SIGTERM)
		go w.pollReadiness(stopped)
		time.Sleep(time.Until(term.Add(6 * time.Second))) // graceS
		stopped.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Until(term.Add(6500 * time.Millisecond)))
	orders.group.Wait()
	uploads.group.Wait()
	return w.judgeLost(term, orders.list)
}

// pollReadiness asks the node each second whether it is ready, as the platform does. The
// zone has no other node, so that it stays in.
func (w *world) pollReadiness(m *machine) {
	for misses := 0; ; time.Sleep(time.Second) {
		select {
		case <-w.done:
			return
		default:
		}
		if m.isReady() {
			misses = 0
		} else {
			misses++
		}
		w.record("%s: platform's check, misses in a row: %d; fewer than half of the zone's nodes would be in without it", m.id, misses)
		if misses >= 8 {
			return
		}
	}
}

// judgeLost counts the requests that were sent later than 3 s after the SIGTERM, passed on
// to an endpoint that worked on them, and whose connection ended without an answer until 1 s
// after graceS, although the endpoint did not break off and neither the time budget nor the
// route's timeout of 3 s was reached.
func (w *world) judgeLost(term time.Time, orders []*request) verdict {
	runs := w.runs()
	lost, answered, refused := 0, 0, 0
	for _, r := range orders {
		switch ran := len(runs[r.id]) > 0; {
		case r.stamp != "":
			answered++
		case r.status == http.StatusServiceUnavailable:
			refused++
		case r.status == 0 && !r.sent.IsZero() && r.sent.After(term.Add(3*time.Second)) && r.end.Before(term.Add(7*time.Second)) && ran && r.end.Sub(r.begin) < 2900*time.Millisecond:
			lost++
			w.record("LOST: %s was sent %.3f s after the SIGTERM, passed on to %s, and ended after %.3f s with status %d (%s)",
				r.id, r.sent.Sub(term).Seconds(), runs[r.id][0].endpoint, r.end.Sub(r.begin).Seconds(), r.status, r.problem)
		}
	}
	return verdict{broken: lost > 0, text: fmt.Sprintf("LOST: %d of %d orders were sent over 3 s after the SIGTERM, passed on and then cut; %d were answered by an endpoint, %d got 503", lost, len(orders), answered, refused)}
}

// hasUpload reports whether the upload is sent. Without it, the case is a control.
func hasUpload() bool { return os.Getenv("UPLOAD") != "0" }
