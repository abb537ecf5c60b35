package qhproxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qhdeadline"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhdialect"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmemory"
)

// serveNode handles a call that another node forwards to a target of this VM.
func (p *Proxy) serveNode(w http.ResponseWriter, r *http.Request) {
	d := qhdecision.Decision{
		Request: qhid.Request(r.Header.Get(qhheader.RequestID)),
		Route:   qhid.Route(r.Header.Get(qhheader.NodeRoute)),
		Target:  qhid.Target(r.Header.Get(qhheader.NodeTarget)),
		Node:    qhid.Node(r.Header.Get(qhheader.NodeFrom)),
	}
	w.Header().Set(qhheader.RequestID, string(d.Request))
	arrived := arrivalOf(r)
	if !arrived.IsCurrent(arrived.Received) {
		p.observeDelay(arrived, d.Request, d.Target)
		p.refuseForwarded(w, delayedFailure(arrived), d)
		return
	}
	if f := p.admitForwarded(time.Now()); f != nil {
		p.finishWithFailure(w, f, d)
		return
	}
	held, ok := nodeConnOf(r).client.Admit(qhmemory.HeaderCost(r.Header))
	defer held.Release()
	if !ok {
		p.finishWithFailure(w, noMemoryFailure(), d)
		return
	}
	remaining, f := p.remainingTime(r, qhdialect.Default().RemainingTime, qhdeadline.Max) // the sending node applied the route's timeout
	if f == nil && remaining <= arrived.Age {
		f = lateFailure()
	}
	if f != nil {
		p.finishWithFailure(w, f, d)
		return
	}
	remaining -= arrived.Age
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	p.reportNodeVersion(r.Header, d.Node)
	out := p.outgoingFromNode(r)
	out.arrived = arrived
	if !out.admission.ObjectiveDeadline.IsZero() {
		out.admission.ObjectiveDeadline = out.admission.ObjectiveDeadline.Add(-arrived.Age)
	}
	release, f := p.admitBody(ctx, out)
	defer release()
	var resp *targetResponse
	if f == nil {
		resp, f = p.sendToTarget(ctx, d.Target, out)
	}
	setVersionHeader(w.Header(), p.Snapshot())
	w.Header().Set(qhheader.NodeLoad, strconv.Itoa(p.targetLoad(d.Target)))
	if f != nil {
		p.refuseForwarded(w, f, d)
		return
	}
	setHeaders(w.Header(), headerField{qhheader.NodeResponseTime, strconv.FormatInt(resp.responseTime.Microseconds(), 10)})
	p.forwardResponse(w, resp, d)
}

// refuseForwarded answers a forwarded call that has no response of a target, with what only
// the sending node needs to know.
func (p *Proxy) refuseForwarded(w http.ResponseWriter, f *failure, d qhdecision.Decision) {
	if f.ReachedTarget {
		w.Header().Set(qhheader.NodeReachedTarget, "1")
	}
	if f.Delayed != "" {
		w.Header().Set(qhheader.NodeDelayed, f.Delayed)
	}
	p.finishWithFailure(w, f, d)
}

// admitBody waits until the link has room for the body of the call. The returned
// function ends the transfer and may be called at any time; the end of the body
// ends it too.
func (p *Proxy) admitBody(ctx context.Context, out *outgoingCall) (func(), *failure) {
	size := qhid.Bytes(out.body.length)
	if size < 0 {
		size = maxBufferedRequest
	}
	if size <= minGatedBody {
		return func() {}, nil
	}
	release, wait, ok := p.intake.Acquire(ctx, size, out.admission.MaxQueueWait)
	if !ok {
		return func() {}, notExecuted(qhdecision.LinkBusy, http.StatusServiceUnavailable, wait, "the link of the target's VM has no room for the request body")
	}
	out.body.stream = &releasingReader{Reader: out.body.stream, release: release}
	return release, nil
}

// releasingReader calls release when the body has been read.
type releasingReader struct {
	io.Reader
	release func()
}

// Read reads from the body.
func (r *releasingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.release()
	}
	return n, err
}

// outgoingFromNode builds the outgoing call from the headers that the sending
// node set.
func (p *Proxy) outgoingFromNode(r *http.Request) *outgoingCall {
	firstByteTimeout, err := qhdeadline.Parse(r.Header.Get(qhheader.NodeFirstByteTimeout))
	if err != nil || firstByteTimeout == 0 {
		firstByteTimeout = time.Duration(p.Settings.FirstByteTimeout)
	}
	caller, admission := qhid.Service(r.Header.Get(qhheader.NodeCaller)), admissionFromHeaders(r.Header)
	key := qhconfig.KeyDigest(r.Header.Get(qhheader.NodeKey))
	fingerprint := qhcrash.Fingerprint(r.Header.Get(qhheader.NodeFingerprint))
	knownRateLimit, _, _ := qhdialect.ParseRateLimit(r.Header.Get(qhheader.NodeRateLimit)) // 0 if the header is missing
	removeHopByHopHeaders(r.Header)
	removeReservedHeaders(r.Header)
	delete(r.Header, qhheader.Timeout)
	body := &requestBody{length: r.ContentLength}
	if r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0 {
		body.stream = r.Body
	}
	return &outgoingCall{request: r, body: body, header: r.Header, firstByteTimeout: firstByteTimeout, caller: caller, key: key, fingerprint: fingerprint, knownRateLimit: knownRateLimit, admission: admission}
}

// reportNodeVersion calls OnNodeVersion with the configuration version that
// another node sent in its headers.
func (p *Proxy) reportNodeVersion(header http.Header, node qhid.Node) {
	if p.OnNodeVersion == nil {
		return
	}
	version, err := strconv.ParseUint(header.Get(qhheader.NodeVersion), 10, 64)
	if err == nil {
		p.OnNodeVersion(qhid.Version(version), node)
	}
}

// setVersionHeader writes the header that reportNodeVersion reads.
func setVersionHeader(header http.Header, snapshot *qhhold.Snapshot) {
	if snapshot != nil {
		setHeaders(header, headerField{qhheader.NodeVersion, strconv.FormatUint(uint64(snapshot.Version), 10)})
	}
}

// admissionFromHeaders reads the admission request for the target's guard.
// Missing or malformed values are left unset.
func admissionFromHeaders(header http.Header) qhguard.AdmissionRequest {
	admission := qhguard.AdmissionRequest{Route: qhid.Route(header.Get(qhheader.NodeRoute))}
	admission.Priority, _ = strconv.Atoi(header.Get(qhheader.NodePriority))
	if untilObjective, err := qhdeadline.Parse(header.Get(qhheader.NodeObjectiveDeadline)); err == nil {
		admission.ObjectiveDeadline = time.Now().Add(untilObjective)
	}
	admission.MaxQueueWait, _ = qhdeadline.Parse(header.Get(qhheader.NodeMaxQueueWait))
	return admission
}

// setAdmissionHeaders writes the headers that admissionFromHeaders reads, and
// removes those of an earlier attempt.
func setAdmissionHeaders(header http.Header, admission qhguard.AdmissionRequest) {
	delete(header, qhheader.NodePriority)
	delete(header, qhheader.NodeObjectiveDeadline)
	delete(header, qhheader.NodeMaxQueueWait)
	if admission.Priority != 0 {
		header.Set(qhheader.NodePriority, strconv.Itoa(admission.Priority))
	}
	if !admission.ObjectiveDeadline.IsZero() {
		header.Set(qhheader.NodeObjectiveDeadline, qhdeadline.Format(time.Until(admission.ObjectiveDeadline)))
	}
	if admission.MaxQueueWait > 0 {
		header.Set(qhheader.NodeMaxQueueWait, qhdeadline.Format(admission.MaxQueueWait))
	}
}

// remainingTime returns the time that is left for a call: its own timeout, if
// it sent one, bounded by the route's limit or, if that is 0, by the settings.
func (p *Proxy) remainingTime(r *http.Request, read func(http.Header) (time.Duration, bool, error), routeLimit time.Duration) (time.Duration, *failure) {
	limit := routeLimit
	if limit == 0 {
		limit = time.Duration(p.Settings.Timeout)
	}
	remaining, present, err := read(r.Header)
	if err != nil {
		return 0, notExecuted(qhdecision.BadDeadline, http.StatusBadRequest, 0, err.Error())
	}
	if !present {
		return qhdeadline.Shortest(limit), nil
	}
	if remaining <= 0 {
		return 0, lateFailure()
	}
	return qhdeadline.Shortest(remaining, limit), nil
}

// lateFailure returns the failure of a call that arrived after its deadline.
func lateFailure() *failure {
	return notExecuted(qhdecision.Late, http.StatusGatewayTimeout, defaultRetryAfter, "the call arrived after its deadline; allow more time")
}
