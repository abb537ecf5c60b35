package qhproxy

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"quetzalhaven.dev/qhconn"
	"quetzalhaven.dev/qhdeadline"
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
}

// answer is an answer whose body is still to be read.
type answer struct {
	*http.Response
	// release has to be called once, after the body was read or given up.
	release func()
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
	if deadline, ok := ctx.Deadline(); ok {
		h.header.Set(qhheader.Timeout, qhdeadline.Format(time.Until(deadline)))
	}
	if _, ok := h.header["User-Agent"]; !ok {
		h.header.Set("User-Agent", "") // keeps the client from adding its own
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
	pass, err := guard.Enter(ctx, p.limits(guard))
	if err != nil {
		return nil, refusedBy(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	release := func() {
		cancel(nil)
		pass.Leave()
	}
	timer := time.AfterFunc(h.silence, func() { cancel(qhconn.ErrSilent) })
	start := time.Now()
	resp, err := guard.Conns().RoundTrip(h.request(ctx, guard.Announcement().Address)) //nolint:bodyclose // pass closes it
	timer.Stop()
	if err != nil {
		f := failureOf(ctx, err)
		release()
		return nil, f
	}
	dropMesh(resp.Header)
	return &answer{Response: resp, release: release, took: time.Since(start)}, nil
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
	return qhguard.Limits{Slots: service.Slots, Queue: service.Queue, Connections: service.Connections}
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
