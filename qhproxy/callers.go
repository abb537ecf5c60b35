package qhproxy

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"quetzalhaven.dev/qhbalance"
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qhdeadline"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhroute"
)

const (
	// defaultMaxTargetAttempts bounds the attempts of a call that reach a
	// target, on routes that set no limit.
	defaultMaxTargetAttempts = 3
	// maxAttempts bounds the attempts of a call, including those that do not
	// reach a target, but not the last one by sendToEarliestFree.
	maxAttempts = 6
	// maxInFlight bounds the callers' in-flight calls on a node.
	maxInFlight = 16384
	// maxRequestIDLength bounds a caller's request ID in bytes.
	maxRequestIDLength = 128
	// deadlineMargin is how long after a call's deadline its connection can
	// still be read and written, so that a response can be written after the
	// context has ended the call.
	deadlineMargin = time.Second
)

// call is a caller's request and its state on the caller's node, over all
// attempts.
type call struct {
	proxy   *Proxy
	request *http.Request
	body    *requestBody
	// sent is the body as the caller sends it; nil if it has no effect on the connection.
	sent     *callerBody
	id       qhid.Request
	snapshot *qhhold.Snapshot
	view     *qhmember.View
	route    *qhconfig.Route
	service  *qhconfig.Service
	tried    qhbalance.TriedEndpoints
	// objectiveDeadline is when the latency objective of the route is missed;
	// zero on routes without one.
	objectiveDeadline time.Time
	// attempt is the number of the current attempt, from 1.
	attempt int
	// delayed is the qhtransit.Refusal that the current attempt answers; empty if it is not
	// sent again for a refusal.
	delayed string
	// endpoint is the endpoint of the latest attempt.
	endpoint *qhmember.Endpoint
	// earliestFree is the endpoint that was busy but expects a free slot before
	// all others that were tried, in earliestFreeIn; nil if there is none.
	earliestFree   *qhmember.Endpoint
	earliestFreeIn time.Duration
	// triedLocalZone is set once a target of the own availability zone was
	// tried. remoteZoneAttempts counts the attempts in other zones after that.
	triedLocalZone     bool
	remoteZoneAttempts int
	placement          placement
	// key is the digest of the caller's key and tenant the tenant that has it; empty
	// and nil for calls without a tenant.
	key    qhconfig.KeyDigest
	tenant *qhconfig.Tenant
	// knownFingerprint is the result of fingerprint; empty before its first call.
	knownFingerprint qhcrash.Fingerprint
	// targetAttempts counts the attempts that reached a target.
	targetAttempts int
}

// serveCaller handles a call of a caller.
func (p *Proxy) serveCaller(w http.ResponseWriter, r *http.Request) {
	if conn := connOfRequest(r); conn != nil {
		pipelined := conn.beginRequest(r)
		defer conn.endRequest()
		if pipelined != nil {
			p.servePipelined(w, pipelined, conn)
			return
		}
		if conn.isLast(r) {
			w.Header().Set("Connection", "close")
		}
	}
	p.serveCall(w, r)
}

// serveCall handles a call that was not started as a pipelined call.
func (p *Proxy) serveCall(w http.ResponseWriter, r *http.Request) {
	p.counters.calls.Inc()
	start := time.Now()
	c := &call{proxy: p, request: r, id: p.requestID(r), sent: trackBody(r)}
	w.Header()[qhheader.RequestID] = []string{string(c.id)}
	if !p.callerCalls.tryAdd() {
		p.refuseCaller(w, leavingFailure(), c)
		return
	}
	defer p.callerCalls.done()
	if p.callerCalls.count.Load() > maxInFlight {
		p.refuseCaller(w, notExecuted(qhdecision.Busy, http.StatusServiceUnavailable, defaultRetryAfter, "this node has too many calls in flight; use another one"), c)
		return
	}
	held, ok := admitParsed(r)
	defer held.Release()
	if !ok {
		p.refuseCaller(w, noMemoryFailure(), c)
		return
	}
	deadline, f := c.prepare(w)
	defer c.body.release()
	if f != nil {
		if c.request.Close {
			w.Header().Set("Connection", "close")
		}
		p.refuseCaller(w, f, c)
		c.sent.finish(w, r.Body)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	if conn := connOfRequest(r); conn != nil && c.body.stream == nil {
		defer conn.trackCall(cancel, c.mayRunConcurrently())()
	}
	resp, f := c.claimAndSend(ctx)
	if f == nil && c.mayRunConcurrently() && (resp.ContentLength >= 0 || connOfRequest(r).holdsBack()) {
		f = resp.bufferBody(clientOf(r))
	}
	c.writeResult(w, resp, f, start)
	if c.body.stream != nil {
		c.sent.finish(w, c.body.remainder())
	}
}

// refuseCaller answers a call of a caller that was not sent.
func (p *Proxy) refuseCaller(w http.ResponseWriter, f *failure, c *call) {
	c.setConnection(w, f)
	p.finishWithFailure(w, f, c.newDecision())
}

// setConnection makes the server close the caller's connection after the response if it
// cannot be kept. f is nil for a response of a target.
func (c *call) setConnection(w http.ResponseWriter, f *failure) {
	c.proxy.closeIfLeaving(w, c.request)
	if c.sent.mustClose(f != nil) {
		w.Header().Set("Connection", "close")
	}
}

// writeResult writes the response or the failure of the call to the caller.
func (c *call) writeResult(w http.ResponseWriter, resp *targetResponse, f *failure, start time.Time) {
	c.setConnection(w, f)
	if f == nil || f.ReachedTarget {
		defer func() { c.proxy.history.RecordDuration(c.route.Name, time.Since(start)) }()
	}
	if f != nil {
		decision := c.newDecision()
		if f.ReachedTarget && c.endpoint != nil {
			decision.Target, decision.Node = c.endpoint.ID, c.endpoint.Node
		}
		c.proxy.finishWithFailure(w, f, decision)
		return
	}
	if conn := connOfRequest(c.request); conn != nil && !c.request.ProtoAtLeast(1, 1) {
		resp.onAborted = conn.resetOnClose
	}
	resp.hold(clientOf(c.request), streamedSize(resp.ContentLength))
	c.proxy.counters.addedLatency.add(time.Since(start) - resp.responseTime)
	c.proxy.returns.Served(c.returnKey(), time.Now())
	decision := c.newDecision()
	decision.Target, decision.Node = c.endpoint.ID, c.endpoint.Node
	decision.Kind, decision.Status, decision.ResponseTime = qhdecision.Answered, resp.StatusCode, time.Since(start)
	c.proxy.recordDecision(decision)
	c.proxy.forwardResponse(w, resp, c.newDecision())
}

// prepare validates the call, finds its route and service, authenticates it, refuses it
// if the node or its tenant's allowance has no room for it, and reads a small body. It
// returns the call's deadline. w is nil for a pipelined call, which
// has no body.
func (c *call) prepare(w http.ResponseWriter) (time.Time, *failure) {
	start := time.Now()
	if f := c.validate(); f != nil {
		return start, f
	}
	if f := c.matchRoute(); f != nil {
		return start, f
	}
	remaining, f := c.proxy.remainingTime(c.request, c.proxy.Dialect.RemainingTime, time.Duration(c.route.Timeout))
	if f != nil {
		return start, f
	}
	if f := c.checkShutdown(start, start.Add(remaining)); f != nil {
		return start, f
	}
	if f := c.authenticate(); f != nil {
		return start, f
	}
	sinceFirstAttempt := c.proxy.timeSinceFirstAttempt(c.request, c.route)
	if f := c.admitByLoad(start, originOf(sinceFirstAttempt), remaining); f != nil {
		return start, f
	}
	if f := c.checkQuota(c.request.Context(), remaining); f != nil {
		return start, f
	}
	c.objectiveDeadline = objectiveDeadline(c.route, start, sinceFirstAttempt)
	deadline := start.Add(remaining)
	if w == nil { // a pipelined call has no body
		c.body = &requestBody{}
		return deadline, nil
	}
	return deadline, c.readBody(w, deadline)
}

// validate refuses requests that no route accepts, and removes headers that
// callers must not set.
func (c *call) validate() *failure {
	if conn := connOfRequest(c.request); conn != nil && len(c.request.TransferEncoding) > 0 && conn.hasAmbiguousLength() {
		c.request.Close = true
		return notExecuted(qhdecision.BadRequest, http.StatusBadRequest, 0, "the request has both Content-Length and Transfer-Encoding; send only one")
	}
	if c.request.Method == http.MethodConnect || requestsUpgrade(c.request) {
		return notExecuted(qhdecision.Upgrade, http.StatusNotImplemented, 0, "CONNECT and protocol upgrades are not supported; send plain HTTP")
	}
	if c.proxy.Dialect.RequiresRequestID && c.request.Header.Get(qhheader.RequestID) == "" {
		return notExecuted(qhdecision.BadRequest, http.StatusBadRequest, 0, "the call has no request ID; send one in "+qhheader.RequestID)
	}
	if hasDotSegments(c.request.URL.Path) {
		return notExecuted(qhdecision.BadRequest, http.StatusBadRequest, 0, "the path has dot segments; remove them")
	}
	removeHopByHopHeaders(c.request.Header)
	removeReservedHeaders(c.request.Header)
	c.request.Header.Set(qhheader.RequestID, string(c.id))
	return nil
}

// matchRoute finds the route and chooses the service of the call.
func (c *call) matchRoute() *failure {
	c.snapshot, c.view = c.proxy.Snapshot(), c.proxy.View()
	if c.snapshot == nil {
		return notExecuted(qhdecision.NoConfig, http.StatusServiceUnavailable, defaultRetryAfter, "this node has no configuration yet; retry later")
	}
	c.route = c.snapshot.Index.Match(c.request.Host, c.request.Method, sentPath(c.request))
	if c.route == nil {
		return notExecuted(qhdecision.NoRoute, http.StatusNotFound, 0, "no route matches "+describeRequest(c.request)+"; check host, path and method")
	}
	if c.route.Unavailable {
		return notExecuted(qhdecision.NoTarget, http.StatusServiceUnavailable, defaultRetryAfter, "the configuration has no usable destination for route "+string(c.route.Name)+"; correct the route")
	}
	name := qhroute.ChooseService(c.route, c.proxy.random(max(1, qhroute.TotalShares(c.route))))
	c.service = c.snapshot.Services[name]
	if c.service == nil {
		return notExecuted(qhdecision.NoTarget, http.StatusServiceUnavailable, defaultRetryAfter, "the route has no service in the configuration; retry later")
	}
	return nil
}

// readBody limits the size of the body and reads a small one completely.
func (c *call) readBody(w http.ResponseWriter, deadline time.Time) *failure {
	limit := int64(cmp.Or(c.route.MaxBodyBytes, c.snapshot.Config.Limits.MaxBodyBytes, c.proxy.Settings.MaxBodyBytes))
	if c.request.ContentLength > limit {
		return notExecuted(qhdecision.TooLarge, http.StatusRequestEntityTooLarge, 0, "the request body is larger than the route allows")
	}
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(deadline.Add(deadlineMargin)) // without write deadlines, the call's context still bounds it
	if c.request.ContentLength != 0 {
		_ = controller.SetReadDeadline(deadline)
		c.request.Body = http.MaxBytesReader(w, c.request.Body, limit)
	}
	body, err := newRequestBody(c.request, c.proxy.group)
	if errors.Is(err, errNoMemory) {
		return noMemoryFailure()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return notExecuted(qhdecision.BadBody, http.StatusRequestTimeout, 0, "the request body did not arrive before the deadline of the call")
	}
	if err != nil {
		return notExecuted(qhdecision.BadBody, http.StatusBadRequest, 0, err.Error())
	}
	_ = controller.SetReadDeadline(deadline.Add(deadlineMargin)) // from here on, the context ends the call at its deadline
	if body.stream != nil && c.request.ProtoMajor == 1 {
		_ = controller.EnableFullDuplex() // the target may respond before the whole body was sent
	}
	c.body = body
	return nil
}

// firstByteTimeout returns the maximum wait for the first byte of the response.
func (c *call) firstByteTimeout() time.Duration {
	if c.route.FirstByteTimeout > 0 {
		return time.Duration(c.route.FirstByteTimeout)
	}
	return qhdeadline.Shortest(time.Duration(c.proxy.Settings.FirstByteTimeout))
}

// newDecision returns a decision with the fields of the call that are known so
// far.
func (c *call) newDecision() qhdecision.Decision {
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

// requestID returns the caller's request ID, or a new one if it is missing or
// too long and the dialect does not require one.
func (p *Proxy) requestID(r *http.Request) qhid.Request {
	id := r.Header.Get(qhheader.RequestID)
	if (id == "" || len(id) > maxRequestIDLength) && !p.Dialect.RequiresRequestID {
		return qhid.NewRequestID()
	}
	return qhid.Request(id)
}
