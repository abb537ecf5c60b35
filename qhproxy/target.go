package qhproxy

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"quetzalhaven.dev/qhconn"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

// hop is one call on its way to a target or another node.
type hop struct {
	in   *http.Request
	body *requestBody
	// header is changed by the hop.
	header http.Header
	// silence bounds the wait for the first byte of the target's answer.
	silence time.Duration
	// caller is the service on whose VM the call began.
	caller qhid.Service
	// ask is what the call asks of the target's guard, but for its limits.
	ask qhguard.AdmissionRequest
}

// answer is an answer whose body is still to be read.
type answer struct {
	*http.Response
	// release has to be called once, after the body was read or given up.
	release func()
	// brokeOff is called where the answer breaks off before its end; it may be nil.
	brokeOff func(error)
	// took is how long the target took until its answer began.
	took time.Duration
}

// request returns the request that is sent to address. Nothing below
// sends it twice.
func (h *hop) request(ctx context.Context, address qhid.Address) *http.Request {
	target := *h.in.URL
	target.Scheme, target.Host = "http", string(address)
	target.User = nil
	out := &http.Request{
		Method:        h.in.Method,
		URL:           &target,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h.header,
		Body:          h.body.reader(),
		ContentLength: h.body.length,
		Host:          h.in.Host,
		Trailer:       h.in.Trailer,
	}
	if _, ok := h.header["User-Agent"]; !ok {
		h.header["User-Agent"] = nil // keeps the client from adding its own
	}
	return out.WithContext(ctx)
}

// toTarget sends a call to a target of this VM once it has a slot, unless the
// node is leaving or the target has gone. The context has a deadline.
func (p *Proxy) toTarget(ctx context.Context, target qhid.Target, h *hop) (*answer, *failure) {
	if !p.targets.enter() {
		return nil, notRun(qhdecision.Leaving, http.StatusServiceUnavailable, defaultAfter, "the target's node is leaving; use another one")
	}
	a, f := p.admit(ctx, target, h)
	if f != nil {
		p.targets.leave()
		return nil, f
	}
	release := a.release
	a.release = func() {
		release()
		p.targets.leave()
	}
	return a, nil
}

// admit waits for a slot of the target and sends the call.
func (p *Proxy) admit(ctx context.Context, target qhid.Target, h *hop) (*answer, *failure) {
	guard := p.Local(target)
	if guard == nil {
		return nil, notRun(qhdecision.NoTarget, http.StatusServiceUnavailable, defaultAfter, "the target has left this node; use another one")
	}
	ask := h.ask
	ask.Limits = p.limits(guard)
	pass, err := guard.Admit(ctx, ask)
	if err != nil {
		return nil, refusedBy(ctx, err)
	}
	ctx, answered, release := watch(ctx, h.silence)
	p.Dialect.SetRemainingTime(h.header, timeTo(ctx))
	p.Dialect.SetTarget(h.header, target, h.caller)
	start := time.Now()
	resp, err := guard.Conns().RoundTrip(h.request(ctx, guard.Announcement().Address)) //nolint:bodyclose // pass closes it
	answered()
	var f *failure
	if err != nil {
		f = failureOf(ctx, err)
		if f.Reason == qhdecision.ConnectFailed {
			guard.MarkUnreachable()
		}
	} else {
		f = p.untrue(h, resp)
	}
	if f != nil {
		release()
		pass.Release()
		return nil, f
	}
	dropMesh(resp.Header)
	return &answer{Response: resp, took: time.Since(start), release: func() {
		release()
		pass.Release()
	}}, nil
}

// untrue tells why the answer of a target is not its answer to the call, or
// returns nil. Its connection is closed then.
func (p *Proxy) untrue(h *hop, resp *http.Response) *failure {
	if !p.Dialect.RequiresRequestID {
		return nil
	}
	var f *failure
	switch id := h.header.Get(qhheader.RequestID); {
	case resp.Header.Get(qhheader.RequestID) != id:
		f = unknown(qhdecision.ConnectionLost, http.StatusBadGateway, "the target's answer is for another call")
	case p.Dialect.NotExecuted(resp):
		f = notRun(qhdecision.Busy, http.StatusServiceUnavailable, defaultAfter, "the target did not take the call, status "+strconv.Itoa(resp.StatusCode))
		f.Arrived = true
	case resp.Header.Get("Content-Encoding") != "":
		f = unknown(qhdecision.ConnectionLost, http.StatusBadGateway, "the target's answer is encoded, which was not asked for")
	default:
		return nil
	}
	_ = resp.Body.Close() // nothing of it is used
	return f
}

// watch returns a context that ends when no answer began within silence, the
// function that tells that one began, and the context's clean-up. Where the
// deadline comes first the context is returned as it is.
func watch(ctx context.Context, silence time.Duration) (context.Context, func(), func()) {
	nothing := func() {}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= silence {
		return ctx, nothing, nothing
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(silence, func() { cancel(qhconn.ErrFirstByteTimeout) })
	return ctx, func() { timer.Stop() }, func() { cancel(nil) }
}

// limits returns what the configuration says of a target's service.
func (p *Proxy) limits(guard *qhguard.Guard) qhguard.Limits {
	snapshot := p.Snapshot()
	if snapshot == nil {
		return qhguard.Limits{}
	}
	service := snapshot.Services[guard.Announcement().Service]
	if service == nil {
		return qhguard.Limits{}
	}
	return qhguard.Limits{Slots: service.Slots, Queue: service.MaxQueue, Connections: service.MaxConnections}
}

// loadOf returns the calls that a target of this VM has, 0 where it has gone.
func (p *Proxy) loadOf(target qhid.Target) int {
	guard := p.Local(target)
	if guard == nil {
		return 0
	}
	load := guard.Load()
	return load.Running + load.Queued
}

// describe returns the method, host and path of a call for people.
func describe(in *http.Request) string {
	shown := url.URL{Path: in.URL.Path}
	return in.Method + " " + in.Host + shown.EscapedPath()
}
