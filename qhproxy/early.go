package qhproxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

const (
	// maxEarly bounds the calls of one connection that are begun before those in
	// front of them are answered.
	maxEarly = 16
	// holdBytes bounds the answers that are read whole before they are given on.
	holdBytes qhid.Bytes = 64 << 10
)

// early is a call whose request was sent behind others on its connection, and
// that runs beside them. Its answer waits for its turn.
type early struct {
	call *call
	// number is that of the request on its connection, from 1.
	number   int
	started  time.Time
	deadline time.Time
	cancel   context.CancelFunc
	// done is closed once answer or failure is set.
	done    chan struct{}
	answer  *answer
	failure *failure
}

// mayRunBeside tells whether the call may run beside others of its connection:
// it changes nothing, may run more than once, and has no body.
func (c *call) mayRunBeside() bool {
	safe := c.in.Method == http.MethodGet || c.in.Method == http.MethodHead
	return safe && c.route.Retry == qhconfig.RetrySafe && c.in.ContentLength == 0
}

// startEarly begins the call of a request that the server has not come to yet,
// or returns nil where that has to wait for its turn.
func (p *Proxy) startEarly(conn *callerConn, head []byte) *early {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil // the server refuses it in its turn
	}
	r.RemoteAddr = conn.RemoteAddr().String()
	r = r.WithContext(withConn(p.base, conn))
	c := &call{proxy: p, in: r, id: p.requestID(r)}
	if !p.callers.enter() {
		return nil
	}
	deadline, f := c.prepare(nil)
	if f != nil || !c.mayRunBeside() || p.callers.inside.Load() > maxInside {
		p.callers.leave()
		return nil
	}
	p.counts.calls.Inc()
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	e := &early{call: c, started: time.Now(), deadline: deadline, cancel: cancel, done: make(chan struct{})}
	p.group.Go(func(context.Context) {
		defer close(e.done)
		e.answer, e.failure = c.sendKeyed(ctx)
		if e.failure == nil {
			e.failure = e.answer.hold()
		}
	})
	return e
}

// serveEarly gives on the answer of a call that was begun early, in its turn.
func (p *Proxy) serveEarly(w http.ResponseWriter, e *early, conn *callerConn) {
	defer p.callers.leave()
	defer e.cancel()
	w.Header()[qhheader.RequestID] = []string{string(e.call.id)}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(latest(e.deadline, time.Now()).Add(writeGrace)) // bounded by the call's own deadline without it
	defer conn.begin(e.cancel, true)()
	<-e.done
	e.call.finish(w, e.answer, e.failure, e.started)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// drop ends a call whose connection is gone before its turn came.
func (e *early) drop(group *qhgroup.Group) {
	e.cancel()
	group.Go(func(context.Context) {
		<-e.done
		defer e.call.proxy.callers.leave()
		d := e.call.decision()
		d.Kind, d.Reason, d.Detail = qhdecision.Truncated, qhdecision.CallerGone, "the caller's connection ended before the answer's turn came"
		e.call.proxy.decide(d)
		if e.answer != nil && e.failure == nil {
			_ = e.answer.Body.Close() // nobody waits for it
			e.answer.release()
		}
	})
}

// hold reads a small answer whole, so that one that breaks off does not end the
// connection, on which others wait.
func (a *answer) hold() *failure {
	if a.ContentLength < 0 || qhid.Bytes(a.ContentLength) > holdBytes || len(a.Trailer) > 0 {
		return nil
	}
	data, err := io.ReadAll(a.Body)
	_ = a.Body.Close() // what is missing shows in err
	if err != nil {
		if a.brokeOff != nil {
			a.brokeOff(err)
		}
		a.release()
		return unknown(qhdecision.ResponseTruncated, http.StatusBadGateway, "the answer broke off: "+err.Error())
	}
	a.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

// startEarly begins the calls whose requests came in behind a call that they may
// run beside. The lock is held.
func (c *callerConn) startEarly() {
	for c.start != nil && c.cancel != nil && c.beside && len(c.early) < maxEarly {
		head, number := c.units.next(c.ahead)
		if head == nil {
			return
		}
		e := c.start(head)
		if e == nil {
			c.beside = false // those behind it wait until its turn has come
			return
		}
		e.number = number
		c.units.look(head)
		c.early = append(c.early, e)
	}
}

// come notes that the server came to a request, and returns its call where that
// was begun early.
func (c *callerConn) come(r *http.Request) *early {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.ProtoMajor != 1 {
		return nil
	}
	c.served++
	c.serving = true
	if len(c.early) == 0 || c.early[0].number > c.served && c.early[0].number == c.units.begun+1 {
		return nil
	}
	e := c.early[0]
	if e.number != c.served || !e.call.isOf(r) {
		c.dropEarly() // the server answered a request by itself, so the numbers tell nothing
		return nil
	}
	c.early = c.early[1:]
	return e
}

// isOf tells whether the call is that of the request.
func (c *call) isOf(r *http.Request) bool {
	id := r.Header.Get(qhheader.RequestID)
	return c.in.Method == r.Method && c.in.RequestURI == r.RequestURI && c.in.Host == r.Host && (id == "" || id == string(c.id))
}

// gone notes that the server is done with a request.
func (c *callerConn) gone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
}

// Close closes the connection and ends the calls that wait for their turn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	c.dropEarly()
	c.mu.Unlock()
	return c.Conn.Close()
}

// dropEarly ends the calls that wait for their turn and begins no more. The lock
// is held.
func (c *callerConn) dropEarly() {
	for _, e := range c.early {
		e.drop(c.group)
	}
	c.early, c.start = nil, nil
}
