package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatPeriod is heartbeatS.
const heartbeatPeriod = 1500 * time.Millisecond

// execution is one run of a request at an endpoint.
type execution struct {
	request           string
	endpoint          string
	service           string
	method, path      string
	begin, end        time.Time
	ended             string // "", "answered", "deadline" or "dropped"
	tenant            string
	authorization     string
	callerService     string
	targetInstance    string
	receivedBodyBytes int
}

// endpoint is a stand-in for an application endpoint.
type endpoint struct {
	machine *machine
	id      string
	slots   int
	born    int64

	mu         sync.Mutex
	listener   net.Listener
	server     *http.Server
	sequence   int
	state      string
	silent     bool // sends no more check-ins
	running    int
	executions []*execution
	chunked    bool // answers have no length, but are in chunks
	// work returns how long the endpoint works on a request.
	work func(r *http.Request) time.Duration
}

func newEndpoint(m *machine, id string) *endpoint {
	return &endpoint{machine: m, id: id, slots: 9, state: "ready", work: func(*http.Request) time.Duration { return 30 * time.Millisecond }}
}

// start starts the endpoint and its check-ins.
func (e *endpoint) start() {
	listener, err := net.Listen("tcp", e.machine.address(portApp))
	must(err)
	e.born = time.Now().UnixMilli()
	e.listener, e.server = listener, &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.machine.world.record("%s: endpoint %s of %s starts", e.machine.id, e.id, e.machine.service)
	go func() { _ = e.server.Serve(listener) }()
	go func() {
		for {
			e.mu.Lock()
			silent := e.silent
			e.mu.Unlock()
			if silent {
				return
			}
			e.checkIn(e.nextBody(""))
			select {
			case <-time.After(heartbeatPeriod):
			case <-e.machine.world.done:
				return
			}
		}
	}()
}

// nextBody returns the next check-in, after setting the state unless it is empty.
func (e *endpoint) nextBody(state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state != "" {
		e.state = state
	}
	e.sequence++
	return map[string]any{
		"service": e.machine.service, "address": e.machine.address(portApp), "zone": e.machine.zone, "version": "v1",
		"slots": e.slots, "state": e.state, "coldLeftS": 0, "seq": e.sequence, "born": e.born,
	}
}

// checkIn sends a check-in to the node beside the endpoint and reports whether it was
// acknowledged.
func (e *endpoint) checkIn(body map[string]any) bool {
	return e.call("instances.heartbeat", body)
}

// deregister says that the endpoint is leaving, and ends its check-ins.
func (e *endpoint) deregister() bool {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	return e.call("instances.deregister", map[string]any{"born": e.born})
}

func (e *endpoint) call(call string, body map[string]any) bool {
	data, _ := json.Marshal(body)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+e.machine.address(portControl)+"/api/rpc?call="+call+"&of="+e.id, "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// kill ends the endpoint as a crash does: it listens no more and drops its connections.
func (e *endpoint) kill() {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	_ = e.server.Close()
	e.machine.world.record("%s: endpoint %s is gone", e.machine.id, e.id)
}

// serve runs a request.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header()["X-Request-Id"] = []string{id}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	if e.running >= e.slots+24 {
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	x := &execution{
		request: id, endpoint: e.id, service: e.machine.service, method: r.Method, path: r.RequestURI, begin: time.Now(), tenant: r.Header.Get("X-Tenant"),
		authorization: r.Header.Get("Authorization"), callerService: r.Header.Get("X-Caller-Service"), targetInstance: r.Header.Get("X-Target-Instance"),
	}
	e.executions = append(e.executions, x)
	e.mu.Unlock()
	status, ended := e.execute(r, x)
	e.mu.Lock()
	e.running--
	x.end, x.ended = time.Now(), ended
	e.mu.Unlock()
	e.machine.world.record("%s: endpoint %s (%s) ran %s %s %s from %.3f, %s", e.machine.id, e.id, e.machine.service, id, r.Method, r.RequestURI, e.machine.world.at(x.begin), ended)
	if ended == "dropped" {
		return
	}
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%s", e.id, id))
	w.WriteHeader(status)
	if e.chunked {
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = fmt.Fprintf(w, "%s %s\n", e.machine.service, id)
}

func (e *endpoint) execute(r *http.Request, x *execution) (int, string) {
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	n, err := io.Copy(io.Discard, r.Body)
	x.receivedBodyBytes = int(n)
	if err != nil {
		return 0, "dropped"
	}
	timer := time.NewTimer(e.work(r))
	defer timer.Stop()
	select {
	case <-timer.C:
		return http.StatusOK, "answered"
	case <-ctx.Done():
		if r.Context().Err() != nil {
			return 0, "dropped"
		}
		return http.StatusGatewayTimeout, "deadline"
	}
}

// runs returns the executions of all endpoints by request.
func (w *world) runs() map[string][]execution {
	found := map[string][]execution{}
	for _, m := range w.machines {
		if m.endpoint == nil {
			continue
		}
		m.endpoint.mu.Lock()
		for _, x := range m.endpoint.executions {
			found[x.request] = append(found[x.request], *x)
		}
		m.endpoint.mu.Unlock()
	}
	return found
}
