package main

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// beatPeriod is the time between two check-ins of a server.
const beatPeriod = 1500 * time.Millisecond

// server is a stand-in for an application endpoint.
type server struct {
	machine *machine
	id      string
	born    int64
	// work is how long a request takes.
	work time.Duration
	// poison begins the path, and poisonBody the body, of requests that crash the server, which
	// is back after downTime. An empty one crashes nothing.
	poison     string
	poisonBody string
	// poisonTime is how long the server works on such a request until it crashes.
	poisonTime time.Duration
	downTime   time.Duration

	mu    sync.Mutex
	seq   int
	beats bool
	// leaves is set once the server has begun to deregister. All its answers say so.
	leaves bool
	runs   []run
	// crashes counts the crashes. conns has the open connections, and listener accepts more.
	crashes  int
	conns    map[net.Conn]bool
	listener net.Listener
}

// run is a request that the server began to work on.
type run struct {
	id, path, caller, tenant string
	at                       time.Time
}

func newServer(m *machine) *server {
	return &server{machine: m, id: fmt.Sprintf("i-%d", m.index+1), born: time.Now().UnixMilli(), work: 20 * time.Millisecond, conns: make(map[net.Conn]bool)}
}

// listen serves requests, and begins to check in.
func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.machine.address(portServer))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(s.handle), ErrorLog: log.New(io.Discard, "", 0), ConnState: func(conn net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			s.conns[conn] = true
		} else if state == http.StateClosed {
			delete(s.conns, conn)
		}
	}}
	s.mu.Lock()
	s.listener, s.beats = listener, true
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go s.checkIn(s.born)
	return nil
}

// checkIn sends the check-ins of one boot.
func (s *server) checkIn(born int64) {
	for ; ; time.Sleep(beatPeriod) {
		s.mu.Lock()
		ended := !s.beats || s.born != born
		s.mu.Unlock()
		if ended {
			return
		}
		s.beat("ready", s.nextSeq())
	}
}

// crash ends the server without notice, which is back after downTime as another boot.
func (s *server) crash(downTime time.Duration) {
	s.mu.Lock()
	s.crashes++
	s.beats = false
	_ = s.listener.Close()
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	s.conns = make(map[net.Conn]bool)
	s.mu.Unlock()
	s.machine.fleet.note("server %d crashes", s.machine.index+1)
	time.AfterFunc(downTime, func() {
		s.mu.Lock()
		s.id, s.born, s.seq = fmt.Sprintf("i-%d-%d", s.machine.index+1, s.crashes), time.Now().UnixMilli(), 0
		s.mu.Unlock()
		s.machine.fleet.note("server %d is back as %s", s.machine.index+1, s.id)
		if err := s.listen(); err != nil {
			s.machine.fleet.note("server %d cannot listen: %v", s.machine.index+1, err)
		}
	})
}

func (s *server) nextSeq() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return s.seq
}

// stopBeats ends the check-ins.
func (s *server) stopBeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats = false
}

// beat sends a check-in, and reports whether it was acknowledged.
func (s *server) beat(state string, seq int) bool {
	m := s.machine
	return s.call("heartbeat", map[string]any{"service": m.service, "address": m.address(portServer), "zone": m.zone, "version": "v1", "slots": 8, "state": state, "coldLeftS": 0, "seq": seq, "born": s.born})
}

// deregister says that the server leaves, and reports whether that was acknowledged.
func (s *server) deregister() bool {
	s.mu.Lock()
	s.leaves = true
	s.mu.Unlock()
	return s.call("deregister", map[string]any{"born": s.born})
}

func (s *server) call(name string, body any) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.machine.address(portControl)+"/api/rpc?call=instances."+name+"&of="+s.id, "application/json", bytes.NewReader([]byte(encode(body))))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	leaves := s.leaves
	s.mu.Unlock()
	if leaves {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		if leaves {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if wanted := r.Header.Get("X-Target-Instance"); wanted != "" && wanted != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	started := run{id: id, path: r.URL.Path, caller: r.Header.Get("X-Caller-Service"), tenant: r.Header.Get("X-Tenant"), at: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, started)
	s.mu.Unlock()
	s.machine.fleet.note("server %d runs %s %s", s.machine.index+1, id, r.URL.Path)
	if s.poison != "" && strings.HasPrefix(r.URL.Path, s.poison) {
		time.Sleep(s.poisonTime) // also after its connection has closed
		s.crash(s.downTime)
		return
	}
	head := make([]byte, len(s.poisonBody))
	_, _ = io.ReadFull(r.Body, head)
	if len(head) > 0 && string(head) == s.poisonBody {
		s.crash(s.downTime)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(s.work)
	body := "done by " + s.id
	w.Header().Set("X-Server-Stamp", s.id+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// taken returns the requests that the server ran so far.
func (s *server) taken() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run{}, s.runs...)
}
