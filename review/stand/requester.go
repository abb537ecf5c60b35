package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// request is one attempt of a requester.
type request struct {
	id, method, host, path, key string
	// body is sent evenly over bodyTime.
	body     int
	bodyTime time.Duration
	budget   time.Duration
	// from is the machine on which the requester is.
	from *machine

	begin    time.Time
	sent     time.Time // when its last byte was sent
	end      time.Time
	status   int // 0 without a complete answer
	stamp    string
	answered string
	// answeredID is the X-Request-Id of the answer.
	answeredID string
	problem    string
}

var requestNumber atomic.Int64

func newRequestID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a00000+requestNumber.Add(1)) }

// send sends the request on a new connection and waits for its answer.
func (w *world) send(r *request) *request {
	if r.id == "" {
		r.id = newRequestID()
	}
	r.begin = time.Now()
	r.exchange()
	r.end = time.Now()
	if r.problem != "" {
		w.record("%s: requester sent %s %s %s at %.3f, last byte at %.3f: no complete answer (%s)", r.from.id, r.id, r.method, r.path, w.at(r.begin), w.at(r.sent), r.problem)
	} else {
		w.record("%s: requester sent %s %s %s at %.3f: got %d, stamp %q", r.from.id, r.id, r.method, r.path, w.at(r.begin), r.status, r.stamp)
	}
	return r
}

func (r *request) exchange() {
	conn, err := net.DialTimeout("tcp", r.from.address(portOutbound), time.Second)
	if err != nil {
		r.problem = "no connection: " + err.Error()
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(r.begin.Add(r.budget))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.budget.Milliseconds())
	if r.key != "" {
		head += "Authorization: Bearer " + r.key + "\r\n"
	}
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", r.body)
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		r.problem = "cannot send: " + err.Error()
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.sendBody(conn)
	}()
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		r.problem = err.Error()
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.problem = err.Error()
		return
	}
	_ = conn.SetDeadline(time.Now())
	<-done
	r.status, r.stamp, r.answered = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(body)
}

func (r *request) sendBody(conn net.Conn) {
	const parts = 100
	size, left := max(1, r.body/parts), r.body
	for left > 0 {
		n := min(size, left)
		if _, err := conn.Write(make([]byte, n)); err != nil {
			return
		}
		left -= n
		if left > 0 && r.bodyTime > 0 {
			time.Sleep(r.bodyTime / parts)
		}
	}
	r.sent = time.Now()
}
