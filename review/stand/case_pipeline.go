package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pipelineRun is a number of requests that a requester sends on one connection, without waiting
// for the answers.
type pipelineRun struct {
	from     *machine
	requests []*request
	problem  string
}

// pipelineCase lets the endpoints of one service turn slow while requesters send requests
// to it and, behind them on the same connection, to another service. Answers have no
// length, but are in chunks.
func pipelineCase(w *world) verdict {
	w.addMachine("recife-a", "portal")
	w.addMachine("recife-b", "portal")
	w.addMachine("recife-a", "balcao")
	w.addMachine("recife-b", "balcao")
	var slow atomic.Bool
	for _, m := range w.machines {
		m.endpoint.chunked = true
		m.endpoint.work = func(*http.Request) time.Duration {
			switch {
			case m.service == "portal":
				return 120 * time.Millisecond
			case slow.Load():
				return 12 * 84 * time.Millisecond
			}
			return 84 * time.Millisecond
		}
	}
	w.store.put("config", "main", config("0000000c", []route{
		{name: "manual-leitura", host: "feira.example", prefix: "/manual/", kind: "idempotent", service: "portal", timeoutS: 1.2, targetS: 0.4, priority: 2, attempts: 2},
		{name: "consulta-estoque", host: "feira.example", prefix: "/estoque/", kind: "idempotent", service: "balcao", timeoutS: 0.8, targetS: 0.25, attempts: 2},
	}, nil, "portal", "balcao"))
	w.begin()
	var group sync.WaitGroup
	var mu sync.Mutex
	var list []*pipelineRun
	for begin := time.Now(); time.Since(begin) < 12*time.Second; time.Sleep(200 * time.Millisecond) {
		slow.Store(w.trouble && time.Since(begin) > 2*time.Second && time.Since(begin) < 8*time.Second)
		for _, m := range w.machines[:2] {
			group.Add(1)
			go func() {
				defer group.Done()
				run := w.sendPipelined(m, "/estoque/1", "/manual/1", "/manual/2")
				mu.Lock()
				defer mu.Unlock()
				list = append(list, run)
			}()
		}
	}
	group.Wait()
	return w.judgePipelined(list)
}

// judgePipelined counts the requests that a sound endpoint answered well within the time
// budget, and whose connections were closed without an answer.
func (w *world) judgePipelined(list []*pipelineRun) verdict {
	runs := w.runs()
	lost, sent := 0, 0
	for _, run := range list {
		for _, r := range run.requests {
			sent++
			if r.status != 0 || run.problem == "" || len(runs[r.id]) == 0 || r.end.Sub(r.begin) > 2400*time.Millisecond {
				continue
			}
			if x := runs[r.id][len(runs[r.id])-1]; x.ended == "answered" {
				lost++
				w.record("LOST: %s %s was passed on to %s, which answered it after %.3f s; its connection was closed without that answer after %.3f s (%s)",
					r.id, r.path, x.endpoint, x.end.Sub(r.begin).Seconds(), r.end.Sub(r.begin).Seconds(), run.problem)
			}
		}
	}
	return verdict{broken: lost > 3, text: fmt.Sprintf("LOST: %d of %d requests were answered by a sound endpoint, and their connections closed without an answer; more than 3 break the rule", lost, sent)}
}

// sendPipelined sends a number of requests on a new connection and reads their answers.
func (w *world) sendPipelined(m *machine, paths ...string) *pipelineRun {
	run := &pipelineRun{from: m}
	var text strings.Builder
	for _, path := range paths {
		r := &request{id: newRequestID(), method: http.MethodGet, host: "feira.example", path: path, from: m, budget: 2500 * time.Millisecond, begin: time.Now()}
		run.requests = append(run.requests, r)
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", r.path, r.host, r.id, r.budget.Milliseconds())
	}
	conn, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return run
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return run
	}
	reader := bufio.NewReader(conn)
	for _, r := range run.requests {
		if run.problem == "" {
			run.problem = r.readAnswer(reader)
		}
		r.end = time.Now()
		w.record("%s: requester sent %s GET %s at %.3f, pipelined: got %d at %.3f, stamp %q %s", m.id, r.id, r.path, w.at(r.begin), r.status, w.at(r.end), r.stamp, run.problem)
	}
	return run
}

// readAnswer reads the answer to the request, and returns the problem with it, if any.
func (r *request) readAnswer(reader *bufio.Reader) string {
	resp, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	r.status, r.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
	r.answered, r.answeredID = string(body), resp.Header.Get("X-Request-Id")
	return ""
}
