package qhproxy

import (
	"context"
	"net/http"
	"time"

	"quetzalhaven.dev/qhbalance"
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdeadline"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhroute"
)

const (
	// maxAttempts bounds the targets that one call comes to, on a route that does
	// not say.
	maxAttempts = 3
	// maxLooks bounds the targets' nodes that are asked for a slot.
	maxLooks = 6
	// maxInside bounds the calls of callers that a node carries at a time.
	maxInside = 16384
	// maxRequestID bounds the length of a caller's request id.
	maxRequestID = 128
	// writeGrace is how long after its deadline a call may still be written.
	writeGrace = time.Second
)

// call is one call of a caller.
type call struct {
	proxy    *Proxy
	in       *http.Request
	body     *requestBody
	id       qhid.Request
	snapshot *qhhold.Snapshot
	view     *qhmember.View
	route    *qhconfig.Route
	service  *qhconfig.Service
	tried    qhbalance.TriedEndpoints
	// due is until when an answer is of full use to the caller; zero where the
	// route does not say.
	due time.Time
	// attempt counts from 1.
	attempt int
	// endpoint is the last one that the call was sent to.
	endpoint *qhmember.Endpoint
	// best is the endpoint whose node refused but expects a slot soonest, within
	// soonest; nil for none.
	best    *qhmember.Endpoint
	soonest time.Duration
	// askedNear is set once a target of the own availability zone was asked, and
	// farLooks counts those of others asked after it.
	askedNear bool
	farLooks  int
	// arrivals counts the attempts that came to a target.
	arrivals int
}

// serveCaller takes a call of a caller and finds it a target.
func (p *Proxy) serveCaller(w http.ResponseWriter, r *http.Request) {
	if conn := connOf(r); conn != nil {
		e := conn.come(r)
		defer conn.gone()
		if e != nil {
			p.serveEarly(w, e, conn)
			return
		}
	}
	p.counts.calls.Inc()
	start := time.Now()
	c := &call{proxy: p, in: r, id: p.requestID(r)}
	w.Header()[qhheader.RequestID] = []string{string(c.id)}
	if !p.callers.enter() {
		w.Header().Set("Connection", "close")
		p.refuse(w, notRun(qhdecision.Leaving, http.StatusServiceUnavailable, defaultAfter, "this node is leaving; use another one"), c.decision())
		return
	}
	defer p.callers.leave()
	if p.callers.inside.Load() > maxInside {
		p.refuse(w, notRun(qhdecision.Busy, http.StatusServiceUnavailable, defaultAfter, "this node has too many calls; use another one"), c.decision())
		return
	}
	deadline, f := c.prepare(w)
	if f != nil {
		if c.in.Close {
			w.Header().Set("Connection", "close")
		}
		p.refuse(w, f, c.decision())
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	if conn := connOf(r); conn != nil && c.body.stream == nil {
		defer conn.begin(cancel, c.mayRunBeside())()
	}
	a, f := c.sendKeyed(ctx)
	if f == nil && c.mayRunBeside() {
		f = a.hold()
	}
	c.finish(w, a, f, start)
}

// finish gives on what a call came to.
func (c *call) finish(w http.ResponseWriter, a *answer, f *failure, start time.Time) {
	if f != nil {
		c.proxy.refuse(w, f, c.decision())
		return
	}
	c.proxy.counts.add(time.Since(start) - a.took)
	answered := c.decision()
	answered.Target, answered.Node = c.endpoint.ID, c.endpoint.Node
	answered.Kind, answered.Status, answered.Took = qhdecision.Answered, a.StatusCode, time.Since(start)
	c.proxy.decide(answered)
	c.proxy.pass(w, a, c.decision())
}

// prepare checks the call, finds its route and service, and reads a small body.
// It returns the call's deadline. The writer is nil for a call that is begun early.
func (c *call) prepare(w http.ResponseWriter) (time.Time, *failure) {
	start := time.Now()
	if f := c.check(); f != nil {
		return start, f
	}
	if f := c.match(); f != nil {
		return start, f
	}
	left, f := c.proxy.timeLeft(c.in, c.proxy.Dialect.RemainingTime, time.Duration(c.route.Timeout))
	if f != nil {
		return start, f
	}
	c.due = c.proxy.dueOf(c.in, c.route, start)
	deadline := start.Add(left)
	if w == nil { // a call that is begun early has no body
		c.body = &requestBody{}
		return deadline, nil
	}
	return deadline, c.readBody(w, deadline)
}

// check refuses what no route takes, and drops headers that callers may not set.
func (c *call) check() *failure {
	if conn := connOf(c.in); conn != nil && len(c.in.TransferEncoding) > 0 && conn.isAmbiguous() {
		c.in.Close = true
		return notRun(qhdecision.BadRequest, http.StatusBadRequest, 0, "the request states its length in two ways; send one")
	}
	if c.in.Method == http.MethodConnect || upgrades(c.in) {
		return notRun(qhdecision.Upgrade, http.StatusNotImplemented, 0, "the mesh carries no other protocols; send plain HTTP")
	}
	if c.proxy.Dialect.RequiresRequestID && c.in.Header.Get(qhheader.RequestID) == "" {
		return notRun(qhdecision.BadRequest, http.StatusBadRequest, 0, "the call has no id; send one in "+qhheader.RequestID)
	}
	if hasDots(c.in.URL.Path) {
		return notRun(qhdecision.BadRequest, http.StatusBadRequest, 0, "the path has dot segments; send it clean")
	}
	dropHop(c.in.Header)
	dropMesh(c.in.Header)
	c.in.Header.Set(qhheader.RequestID, string(c.id))
	return nil
}

// match finds the route and the service of the call.
func (c *call) match() *failure {
	c.snapshot, c.view = c.proxy.Snapshot(), c.proxy.View()
	if c.snapshot == nil {
		return notRun(qhdecision.NoConfig, http.StatusServiceUnavailable, defaultAfter, "this node has no configuration yet")
	}
	c.route = c.snapshot.Index.Match(hostOf(c.in.Host), c.in.Method, c.in.URL.Path)
	if c.route == nil {
		return notRun(qhdecision.NoRoute, http.StatusNotFound, 0, "the mesh has no route for "+describe(c.in)+"; check host, path and method")
	}
	name := qhroute.ChooseService(c.route, c.proxy.random(max(1, qhroute.TotalShares(c.route))))
	c.service = c.snapshot.Services[name]
	if c.service == nil {
		return notRun(qhdecision.NoTarget, http.StatusServiceUnavailable, defaultAfter, "the route names no service")
	}
	return nil
}

// readBody bounds the body and reads a small one whole.
func (c *call) readBody(w http.ResponseWriter, deadline time.Time) *failure {
	bound := int64(c.proxy.Settings.MaxBodyBytes)
	if c.route.MaxBodyBytes > 0 {
		bound = int64(c.route.MaxBodyBytes)
	}
	if c.in.ContentLength > bound {
		return notRun(qhdecision.TooLarge, http.StatusRequestEntityTooLarge, 0, "the body is larger than the route allows")
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(deadline.Add(writeGrace)) // a writer without deadlines is bounded by the call's own
	if c.in.ContentLength != 0 {
		_ = control.SetReadDeadline(deadline)
		c.in.Body = http.MaxBytesReader(w, c.in.Body, bound)
	}
	body, err := newRequestBody(c.in)
	if err != nil {
		return notRun(qhdecision.BadBody, http.StatusBadRequest, 0, err.Error())
	}
	_ = control.SetReadDeadline(deadline.Add(writeGrace)) // the deadline itself ends the call from here on
	if body.stream != nil && c.in.ProtoMajor == 1 {
		_ = control.EnableFullDuplex() // the target may answer while the body is still sent
	}
	c.body = body
	return nil
}

// silence bounds the wait for the first byte of the answer.
func (c *call) silence() time.Duration {
	if c.route.FirstByteTimeout > 0 {
		return time.Duration(c.route.FirstByteTimeout)
	}
	return qhdeadline.Shortest(time.Duration(c.proxy.Settings.FirstByteTimeout))
}

// decision returns what is known of the call so far.
func (c *call) decision() qhdecision.Decision {
	d := qhdecision.Decision{Request: c.id, Attempt: c.attempt}
	if c.snapshot != nil {
		d.Version = c.snapshot.Version
	}
	if c.route != nil {
		d.Route = c.route.Name
	}
	if c.service != nil {
		d.Service = c.service.Name
	}
	return d
}

// requestID returns the caller's id for the call, or a new one.
func (p *Proxy) requestID(r *http.Request) qhid.Request {
	id := r.Header.Get(qhheader.RequestID)
	if (id == "" || len(id) > maxRequestID) && !p.Dialect.RequiresRequestID {
		return qhid.NewRequest()
	}
	return qhid.Request(id)
}
