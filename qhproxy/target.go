package qhproxy

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhconn"
	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmemory"
	"quetzalhaven.dev/qhresponse"
	"quetzalhaven.dev/qhtransit"
)

// outgoingCall is one attempt to send a call to a target or to its node.
type outgoingCall struct {
	request *http.Request
	body    *requestBody
	// header is modified when the call is sent.
	header http.Header
	// firstByteTimeout bounds the wait for the first byte of the target's
	// response.
	firstByteTimeout time.Duration
	// caller is the service on whose VM the call originated.
	caller qhid.Service
	// key is the digest of the caller's key; empty for calls without a tenant.
	key qhconfig.KeyDigest
	// fingerprint identifies equal requests; empty if they are not compared.
	fingerprint qhcrash.Fingerprint
	// knownRateLimit is the rate limit of the target as the sending node knows it,
	// for a target's node that has restarted; 0 for none.
	knownRateLimit qhid.CallsPerSecond
	// arrived is the arrival of a call that another node forwarded, else nil.
	arrived *qhtransit.Arrival
	// callerGone reports whether the caller of a call that this node received from it has
	// closed its connection; nil if that is not known.
	callerGone func() bool
	// admission is the admission request for the target's guard. The target's
	// node sets its limits.
	admission qhguard.AdmissionRequest
}

// targetResponse is a response whose body has not been read yet.
type targetResponse struct {
	*http.Response
	// release must be called once, after the body was read or abandoned.
	release func()
	// onTruncated is called if the response is truncated. It may be nil.
	onTruncated func(error)
	// onTargetRead is called with nil once the whole body was read from the target, or
	// with the error of reading it. It may be nil.
	onTargetRead func(error)
	// onAborted is called before the connection to the caller is closed because the response
	// is truncated. It may be nil.
	onAborted func()
	// responseTime is the time until the target's response headers arrived.
	responseTime time.Duration
	// held is the charge of what is held of the response; nil before hold.
	held *qhmemory.Charge
}

// hold charges the client with the part of the response that is held until the client has
// read it. release ends that.
func (r *targetResponse) hold(client *qhmemory.Client, size qhid.Bytes) {
	if r.held != nil || client == nil || r.ContentLength >= 0 && r.ContentLength <= smallResponse {
		return
	}
	r.held = client.Hold(qhmemory.Response)
	r.held.SetSlowly(size) // a write fails if the client is disconnected for it
	release := r.release
	r.release = func() {
		release()
		r.held.Release()
	}
}

// bufferedSize returns what a response of a length takes that is read completely.
func bufferedSize(length int64) qhid.Bytes {
	if length < 0 {
		return maxBufferedResponse
	}
	return qhid.Bytes(length)
}

// streamedSize returns what a response of a length takes while it is forwarded. One of unknown
// length counts as a small one, since it may be a stream that is read as it comes.
func streamedSize(length int64) qhid.Bytes {
	return copyBufferSize + min(bufferedSize(length), qhconn.StreamBufferSize)
}

// smallResponse is the size of a response up to which its call accounts for it.
const smallResponse = 4 << 10

// newRequest returns the HTTP request to address. The connection pools send it
// at most once.
func (o *outgoingCall) newRequest(ctx context.Context, address qhid.Address) *http.Request {
	target := forwardingURL(o.request)
	target.Host = string(address)
	request := &http.Request{
		Method:        o.request.Method,
		URL:           target,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        o.header,
		Body:          o.body.reader(),
		ContentLength: o.body.length,
		Host:          o.request.Host,
		Trailer:       o.request.Trailer,
	}
	if _, ok := o.header["User-Agent"]; !ok {
		o.header["User-Agent"] = nil // suppresses the default User-Agent
	}
	return request.WithContext(ctx)
}

// sendToTarget waits for a slot of a target of this VM and sends the call to
// it. It fails if the node is leaving or the target is not registered. The
// context must have a deadline.
func (p *Proxy) sendToTarget(ctx context.Context, target qhid.Target, out *outgoingCall) (*targetResponse, *failure) {
	if !p.targetCalls.tryAdd() {
		return nil, notExecuted(qhdecision.Leaving, http.StatusServiceUnavailable, defaultRetryAfter, "the target's node is leaving; use another one")
	}
	deadline, _ := ctx.Deadline()
	removeRun := p.targetRuns.add(deadline)
	done := func() {
		removeRun()
		p.targetCalls.done()
	}
	resp, f := p.admitAndSend(ctx, target, out)
	if f != nil {
		done()
		return nil, f
	}
	release := resp.release
	resp.release = func() {
		release()
		done()
	}
	return resp, nil
}

// admitAndSend waits for a slot of the target and sends the call.
func (p *Proxy) admitAndSend(ctx context.Context, target qhid.Target, out *outgoingCall) (*targetResponse, *failure) {
	guard := p.LocalGuard(target)
	if guard == nil {
		return nil, notExecuted(qhdecision.NoTarget, http.StatusServiceUnavailable, defaultRetryAfter, "the target is no longer registered on this node; use another one")
	}
	admission := out.admission
	admission.Limits = p.serviceLimits(guard)
	if out.knownRateLimit > 0 {
		guard.AssumeRateLimit(out.knownRateLimit)
	}
	check, tenant := p.permission(out.key)
	if check != nil {
		if f := p.permissionFailure(check()); f != nil {
			return nil, f
		}
	}
	info := guard.Info()
	leaveDoor, f := p.enterDoor(info, admission.Route)
	if f != nil {
		return nil, f
	}
	permit, f := p.admit(ctx, guard, admission, out.fingerprint)
	if f != nil {
		leaveDoor(nil, f)
		return nil, f
	}
	ctx, stopTimer, release := withFirstByteTimeout(ctx, out.firstByteTimeout)
	p.Dialect.SetRemainingTime(out.header, timeUntilDeadline(ctx))
	p.Dialect.SetTarget(out.header, target, out.caller, tenantName(tenant))
	p.observeDelay(out.arrived, qhid.Request(out.header.Get(qhheader.RequestID)), target)
	start := time.Now()
	resp, err := guard.Conns().RoundTrip(out.newRequest(qhconn.WithCheckBeforeWrite(ctx, startCheck(ctx, out, check)), info.Address)) //nolint:bodyclose // forwardResponse closes it
	stopTimer()
	if err != nil {
		p.countInvalidResponse(err)
		if f = p.startFailure(err, out.arrived); f == nil {
			f = roundTripFailure(ctx, err)
		}
		p.observeBrokenConnection(guard, out.fingerprint, f)
	} else {
		p.observeTarget(target, resp.Header)
		guard.SetRateLimit(p.limits.get(target))
		f = p.checkResponse(out, resp)
	}
	if f != nil {
		release()
		permit.Release()
		leaveDoor(nil, f)
		return nil, f
	}
	removeReservedHeaders(resp.Header)
	response := &targetResponse{Response: resp, responseTime: time.Since(start)}
	response.onTargetRead = func(err error) {
		if err == nil {
			p.Crashes.Succeeded(out.fingerprint)
		} else if ctx.Err() == nil { // otherwise the deadline or the caller ended the call
			p.Crashes.ConnectionLost(crashTarget(info), out.fingerprint)
		}
	}
	response.release = func() {
		release()
		permit.Release()
		leaveDoor(response, nil)
	}
	return response, nil
}

// countInvalidResponse counts a failed round trip whose target sent an invalid response.
func (p *Proxy) countInvalidResponse(err error) {
	var invalid *qhresponse.InvalidError
	if errors.As(err, &invalid) {
		p.counters.invalidResponses.Inc()
	}
}

// observeBrokenConnection records what a failed round trip tells of the target.
func (p *Proxy) observeBrokenConnection(guard *qhguard.Guard, request qhcrash.Fingerprint, f *failure) {
	switch f.Reason {
	case qhdecision.ConnectFailed:
		guard.MarkUnreachable()
	case qhdecision.ConnectionLost:
		p.Crashes.ConnectionLost(crashTarget(guard.Info()), request)
	default:
	}
}

// checkResponse returns a failure if the response does not belong to the call
// or says that the target did not execute it, else nil. In case of a failure it
// closes the body, and with it the connection.
func (p *Proxy) checkResponse(out *outgoingCall, resp *http.Response) *failure {
	if !p.Dialect.RequiresRequestID {
		return nil
	}
	var f *failure
	switch id := out.header.Get(qhheader.RequestID); {
	case resp.Header.Get(qhheader.RequestID) != id:
		f = outcomeUnknown(qhdecision.ConnectionLost, http.StatusBadGateway, "the target's response has the request ID of another call")
	case p.Dialect.NotExecuted(resp):
		f = notExecuted(qhdecision.Busy, http.StatusServiceUnavailable, defaultRetryAfter, "the target did not execute the call, status "+strconv.Itoa(resp.StatusCode))
		f.ReachedTarget = true
	case resp.Header.Get("Content-Encoding") != "":
		f = outcomeUnknown(qhdecision.ConnectionLost, http.StatusBadGateway, "the target's response has a Content-Encoding that was not requested")
	default:
		return nil
	}
	_ = resp.Body.Close() // the body is not used
	return f
}

// withFirstByteTimeout returns a context that is cancelled if the response does
// not begin within the timeout, a function that stops the timer once it has
// begun, and the context's cleanup. If the deadline comes first, the context
// is returned unchanged.
func withFirstByteTimeout(ctx context.Context, timeout time.Duration) (context.Context, func(), func()) {
	noop := func() {}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= timeout {
		return ctx, noop, noop
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(qhconn.ErrFirstByteTimeout) })
	return ctx, func() { timer.Stop() }, func() { cancel(nil) }
}

// serviceLimits returns the limits that the configuration sets for a target's
// service.
func (p *Proxy) serviceLimits(guard *qhguard.Guard) qhguard.Limits {
	snapshot := p.Snapshot()
	if snapshot == nil {
		return qhguard.Limits{}
	}
	service := snapshot.Services[guard.Info().Service]
	if service == nil {
		return qhguard.Limits{}
	}
	return qhguard.Limits{Slots: service.Slots, MaxQueue: service.MaxQueue, MaxConnections: service.MaxConnections}
}

// targetLoad returns the number of running and queued calls of a target of this
// VM, 0 if the target is not registered.
func (p *Proxy) targetLoad(target qhid.Target) int {
	guard := p.LocalGuard(target)
	if guard == nil {
		return 0
	}
	load := guard.Load()
	return load.Running + load.Queued
}

// describeRequest returns the method, host and path of a request for error
// messages.
func describeRequest(r *http.Request) string {
	path := url.URL{Path: r.URL.Path}
	return r.Method + " " + r.Host + path.EscapedPath()
}
