package qhproxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"quetzalhaven.dev/qhdeadline"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhdialect"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
)

// serveNode takes a call that another node sent on to a target of this VM.
func (p *Proxy) serveNode(w http.ResponseWriter, r *http.Request) {
	d := qhdecision.Decision{
		Request: qhid.Request(r.Header.Get(qhheader.RequestID)),
		Route:   qhid.Route(r.Header.Get(qhheader.NodeRoute)),
		Target:  qhid.Target(r.Header.Get(qhheader.NodeTarget)),
		Node:    qhid.Node(r.Header.Get(qhheader.NodeFrom)),
	}
	w.Header().Set(qhheader.RequestID, string(d.Request))
	left, f := p.timeLeft(r, qhdialect.Default().RemainingTime, qhdeadline.Max) // within the route's bound already
	if f != nil {
		p.refuse(w, f, d)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	p.heard(r.Header, d.Node)
	a, f := p.toTarget(ctx, d.Target, p.nodeHop(r))
	setVersion(w.Header(), p.Snapshot())
	w.Header().Set(qhheader.NodeLoad, strconv.Itoa(p.loadOf(d.Target)))
	if f != nil {
		if f.Arrived {
			w.Header().Set(qhheader.NodeReachedTarget, "1")
		}
		p.refuse(w, f, d)
		return
	}
	setAll(w.Header(), field{qhheader.NodeResponseTime, strconv.FormatInt(a.took.Microseconds(), 10)})
	p.pass(w, a, d)
}

// nodeHop reads what the other node said of the call.
func (p *Proxy) nodeHop(r *http.Request) *hop {
	silence, err := qhdeadline.Parse(r.Header.Get(qhheader.NodeFirstByteTimeout))
	if err != nil || silence == 0 {
		silence = time.Duration(p.Settings.FirstByteTimeout)
	}
	caller, ask := qhid.Service(r.Header.Get(qhheader.NodeCaller)), askOf(r.Header)
	dropHop(r.Header)
	dropMesh(r.Header)
	delete(r.Header, qhheader.Timeout)
	body := &requestBody{length: r.ContentLength}
	if r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0 {
		body.stream = r.Body
	}
	return &hop{in: r, body: body, header: r.Header, silence: silence, caller: caller, ask: ask}
}

// heard tells of the version that another node has.
func (p *Proxy) heard(header http.Header, node qhid.Node) {
	if p.Heard == nil {
		return
	}
	version, err := strconv.ParseUint(header.Get(qhheader.NodeVersion), 10, 64)
	if err == nil {
		p.Heard(qhid.Version(version), node)
	}
}

// setVersion writes what heard reads.
func setVersion(header http.Header, snapshot *qhhold.Snapshot) {
	if snapshot != nil {
		setAll(header, field{qhheader.NodeVersion, strconv.FormatUint(uint64(snapshot.Version), 10)})
	}
}

// askOf reads what the call asks of the target's guard. What is missing or can't
// be read is unset.
func askOf(header http.Header) qhguard.AdmissionRequest {
	ask := qhguard.AdmissionRequest{Route: qhid.Route(header.Get(qhheader.NodeRoute))}
	ask.Priority, _ = strconv.Atoi(header.Get(qhheader.NodePriority))
	if due, err := qhdeadline.Parse(header.Get(qhheader.NodeObjectiveDeadline)); err == nil {
		ask.ObjectiveDeadline = time.Now().Add(due)
	}
	ask.MaxQueueWait, _ = qhdeadline.Parse(header.Get(qhheader.NodeMaxQueueWait))
	return ask
}

// setAsk writes what askOf reads, in place of what an earlier attempt wrote.
func setAsk(header http.Header, ask qhguard.AdmissionRequest) {
	delete(header, qhheader.NodePriority)
	delete(header, qhheader.NodeObjectiveDeadline)
	delete(header, qhheader.NodeMaxQueueWait)
	if ask.Priority != 0 {
		header.Set(qhheader.NodePriority, strconv.Itoa(ask.Priority))
	}
	if !ask.ObjectiveDeadline.IsZero() {
		header.Set(qhheader.NodeObjectiveDeadline, qhdeadline.Format(time.Until(ask.ObjectiveDeadline)))
	}
	if ask.MaxQueueWait > 0 {
		header.Set(qhheader.NodeMaxQueueWait, qhdeadline.Format(ask.MaxQueueWait))
	}
}

// timeLeft returns the time that a call has: what its header says, within the
// route's bound (0 for none) and that of the settings.
func (p *Proxy) timeLeft(r *http.Request, read func(http.Header) (time.Duration, bool, error), route time.Duration) (time.Duration, *failure) {
	bound := route
	if bound == 0 {
		bound = time.Duration(p.Settings.Timeout)
	}
	left, said, err := read(r.Header)
	if err != nil {
		return 0, notRun(qhdecision.BadDeadline, http.StatusBadRequest, 0, err.Error())
	}
	if !said {
		return qhdeadline.Shortest(bound), nil
	}
	if left <= 0 {
		return 0, notRun(qhdecision.Late, http.StatusGatewayTimeout, defaultAfter, "no time was left for the call; allow more")
	}
	return qhdeadline.Shortest(left, bound), nil
}

// refuse answers a call by the mesh itself and keeps why.
func (p *Proxy) refuse(w http.ResponseWriter, f *failure, d qhdecision.Decision) {
	d.Kind, d.Reason, d.Outcome, d.Detail = qhdecision.Refused, f.Reason, f.Outcome, f.Detail
	p.decide(d)
	p.counts.refused(f)
	p.writeFailure(w, f)
}
