package qhproxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhbalance"
	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhdeadline"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhresponse"
)

// tryEndpoint sends the call to one endpoint and updates the endpoint's
// statistics.
func (c *call) tryEndpoint(ctx context.Context, choice qhbalance.Choice, queueWait time.Duration) (*targetResponse, *failure) {
	endpoint := choice.Endpoint
	c.endpoint = endpoint
	c.recordChoice(choice)
	stats := endpoint.Stats
	stats.Calls.Add(1)
	stats.InFlight.Add(1)
	start := time.Now()
	resp, f := c.dispatch(ctx, endpoint, queueWait)
	c.countReached(f == nil || f.ReachedTarget)
	if f != nil {
		stats.InFlight.Add(-1)
		c.observeFailure(endpoint, f, time.Since(start))
		return nil, f
	}
	c.observeResponse(endpoint, resp, time.Since(start))
	resp.onTruncated = func(err error) {
		if ctx.Err() == nil { // otherwise the deadline or the caller ended the call
			c.observeError(endpoint, err.Error(), c.proxy.balancer.RecordFailure)
		}
	}
	release := resp.release
	resp.release = func() {
		stats.InFlight.Add(-1)
		release()
	}
	return resp, nil
}

// recordChoice records the chosen endpoint and the reason for the choice.
func (c *call) recordChoice(choice qhbalance.Choice) {
	d := c.newDecision()
	d.Kind, d.Reason = qhdecision.Chosen, choice.Reason
	d.Target, d.Node = choice.Endpoint.ID, choice.Endpoint.Node
	if choice.RunnerUp != nil {
		d.RunnerUp = choice.RunnerUp.ID
	}
	c.proxy.recordDecision(d)
}

// observeResponse updates the endpoint's statistics after a response. Server
// errors raise the error rate, because otherwise a target that fails fast would
// attract calls.
func (c *call) observeResponse(endpoint *qhmember.Endpoint, resp *targetResponse, took time.Duration) {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(qhheader.RetryAfter) != "":
		endpoint.Stats.Refusals.Add(1) // load shedding is not an error
		qhbalance.RecordReportedLoad(endpoint, endpoint.Slots, time.Now())
	case resp.StatusCode >= http.StatusInternalServerError:
		qhbalance.RecordServerError(endpoint)
	default:
		qhbalance.RecordResponse(endpoint, took)
	}
}

// observeFailure updates the endpoint's statistics after a call without a
// response. Refusals, disconnected callers and deadlines that were too short
// for a response do not count as failures of the endpoint.
func (c *call) observeFailure(endpoint *qhmember.Endpoint, f *failure, took time.Duration) {
	switch f.Reason {
	case qhdecision.Busy, qhdecision.Late, qhdecision.Overloaded:
		endpoint.Stats.Refusals.Add(1)
		if !f.ReachedTarget { // a target that sheds load may run the next call
			qhbalance.RecordRefusal(endpoint, c.rank(), f.RetryAfter, time.Now())
		}
	case qhdecision.RateLimited:
		endpoint.Stats.Refusals.Add(1)
		qhbalance.RecordFullFor(endpoint, f.RetryAfter, time.Now())
	case qhdecision.NoProof, qhdecision.KeyUnknown:
		endpoint.Stats.Refusals.Add(1)
		qhbalance.RecordFullFor(endpoint, f.RetryAfter, time.Now())
	case qhdecision.Quarantined: // says nothing about other calls
		endpoint.Stats.Refusals.Add(1)
	case qhdecision.Delayed: // says nothing about the endpoint
		endpoint.Stats.Refusals.Add(1)
	case qhdecision.LinkBusy, qhdecision.NoMemory: // says nothing about smaller calls
		endpoint.Stats.Refusals.Add(1)
	case qhdecision.Superseded, qhdecision.NotExposed:
		c.observeRefusedVersion(endpoint, f.Reason)
	case qhdecision.NotConnected:
		endpoint.Stats.Refusals.Add(1)
		qhbalance.RecordNotConnected(endpoint, time.Now())
	case qhdecision.Leaving, qhdecision.NoTarget, qhdecision.ShutdownTimedOut:
		endpoint.Stats.Refusals.Add(1)
		qhbalance.RecordLeaving(endpoint, time.Now())
	case qhdecision.DeadlineExceeded:
		if qhbalance.IsOverdue(endpoint, took) {
			c.observeError(endpoint, f.Detail, c.proxy.balancer.RecordFailure)
		}
	case qhdecision.ConnectFailed:
		c.observeError(endpoint, f.Detail, c.proxy.balancer.RecordUnreachable)
	case qhdecision.ConnectionLost, qhdecision.FirstByteTimeout:
		c.observeError(endpoint, f.Detail, c.proxy.balancer.RecordFailure)
	}
}

// failureObserver counts a failure of an endpoint. It returns whether the
// endpoint was ejected for it, and for how long.
type failureObserver func(view *qhmember.View, service qhid.Service, endpoint *qhmember.Endpoint, now time.Time) (time.Duration, bool)

// observeError counts an error of the endpoint and records the ejection if it
// causes one.
func (c *call) observeError(endpoint *qhmember.Endpoint, detail string, observe failureObserver) {
	duration, ejected := observe(c.view, c.service.Name, endpoint, time.Now())
	if !ejected {
		return
	}
	d := c.newDecision()
	d.Kind, d.Reason = qhdecision.Ejected, qhdecision.ConsecutiveFailures
	d.Target, d.Node, d.Detail = endpoint.ID, endpoint.Node, "for "+duration.String()+": "+detail
	c.proxy.recordDecision(d)
	c.proxy.counters.ejections.Inc()
	c.proxy.Log.Warn("endpoint ejected", zap.String("target", string(endpoint.ID)), zap.Duration("for", duration), zap.String("cause", detail))
}

// dispatchOnce sends the call to the endpoint: directly if it is on this VM,
// otherwise through its node.
func (c *call) dispatchOnce(ctx context.Context, endpoint *qhmember.Endpoint, queueWait time.Duration) (*targetResponse, *failure) {
	out := &outgoingCall{request: c.request, body: c.body, header: c.request.Header, firstByteTimeout: c.firstByteTimeout(), caller: c.proxy.LocalService(), key: c.key, fingerprint: c.fingerprint(), admission: c.admissionRequest(queueWait)}
	if c.attempt > 1 || c.delayed != "" {
		out.header = c.request.Header.Clone() // an earlier attempt may still read the headers
	}
	if endpoint.Node != c.proxy.Self {
		return c.sendToNode(ctx, endpoint, out)
	}
	out.callerGone = callerCheck(c.request, c.body)
	removeInternalHeaders(out.header)
	delete(out.header, "Expect")
	resp, f := c.proxy.sendToTarget(ctx, endpoint.ID, out)
	qhbalance.RecordReportedLoad(endpoint, c.proxy.targetLoad(endpoint.ID), time.Now())
	return resp, f
}

// admissionRequest returns the admission request for a target's guard.
func (c *call) admissionRequest(queueWait time.Duration) qhguard.AdmissionRequest {
	return qhguard.AdmissionRequest{Route: c.route.Name, Priority: c.rank(), ObjectiveDeadline: c.objectiveDeadline, MaxQueueWait: queueWait}
}

// sendToNode sends the call to the endpoint's node.
func (c *call) sendToNode(ctx context.Context, endpoint *qhmember.Endpoint, out *outgoingCall) (*targetResponse, *failure) {
	prepared := qhclock.Now()
	setHeaders(out.header,
		headerField{qhheader.NodeFrom, string(c.proxy.Self)},
		headerField{qhheader.NodeTarget, string(endpoint.ID)},
		headerField{qhheader.NodeRoute, string(c.route.Name)},
		headerField{qhheader.NodeVersion, strconv.FormatUint(uint64(c.snapshot.Version), 10)},
		headerField{qhheader.NodeFirstByteTimeout, qhdeadline.Format(out.firstByteTimeout)},
		headerField{qhheader.NodeCaller, string(out.caller)},
		headerField{qhheader.NodeKey, string(c.key)},
		headerField{qhheader.NodeFingerprint, string(out.fingerprint)},
		headerField{qhheader.Timeout, qhdeadline.Format(timeUntilDeadline(ctx))},
	)
	setAdmissionHeaders(out.header, out.admission)
	delete(out.header, qhheader.NodeDelayed)
	if c.delayed != "" {
		out.header.Set(qhheader.NodeDelayed, c.delayed)
	}
	c.proxy.setRateLimitHeader(out.header, endpoint.ID)
	if out.body.length < 0 || out.body.length > minGatedBody {
		// The node asks for the body once the call is admitted and its link has
		// room, so that a refused call can be sent to another one.
		out.header["Expect"] = []string{"100-continue"}
	}
	resp, err := c.proxy.nodePool.RoundTrip(endpoint.CallAddress, prepared, out.newRequest(ctx, endpoint.CallAddress)) //nolint:bodyclose // forwardResponse closes it
	if err != nil {
		return nil, roundTripFailure(ctx, err)
	}
	if err := qhresponse.CheckStatus(resp.StatusCode); err != nil { // of a node that does not check it
		_ = resp.Body.Close() // the body is not used
		return nil, outcomeUnknown(qhdecision.ConnectionLost, http.StatusBadGateway, err.Error())
	}
	c.proxy.reportNodeVersion(resp.Header, endpoint.Node)
	if load, err := strconv.Atoi(resp.Header.Get(qhheader.NodeLoad)); err == nil {
		qhbalance.RecordReportedLoad(endpoint, load, time.Now())
	}
	if outcome := resp.Header.Get(qhheader.Outcome); outcome != "" {
		return nil, parseFailure(resp, outcome)
	}
	c.proxy.observeTarget(endpoint.ID, resp.Header)
	micros, _ := strconv.ParseInt(resp.Header.Get(qhheader.NodeResponseTime), 10, 64) // 0 if the header is missing
	removeReservedHeaders(resp.Header)
	return &targetResponse{Response: resp, release: func() {}, responseTime: time.Duration(micros) * time.Microsecond}, nil
}

// timeUntilDeadline returns the time until the context's deadline. Every call
// has one.
func timeUntilDeadline(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// parseFailure reads a failure that another node reported.
func parseFailure(resp *http.Response, outcome string) *failure {
	defer func() { _ = resp.Body.Close() }() // the rest of the body is not needed
	f := &failure{
		Reason:  qhdecision.Reason(resp.Header.Get(qhheader.Reason)),
		Outcome: qhheader.OutcomeUnknown,
		Status:  resp.StatusCode,
		Detail:  readDetail(resp),
	}
	f.ReachedTarget = resp.Header.Get(qhheader.NodeReachedTarget) != ""
	f.Delayed = resp.Header.Get(qhheader.NodeDelayed)
	if outcome == qhheader.OutcomeNotExecuted {
		f.Outcome = qhheader.OutcomeNotExecuted
	}
	f.RetryAfter, _ = qhdeadline.Parse(resp.Header.Get(qhheader.RetryAfter)) // 0 if the header is missing
	return f
}

// maxDetailBytes bounds the text that is read from another node's failure.
const maxDetailBytes = 512

// readDetail returns the detail from the text of another node's failure.
func readDetail(resp *http.Response) string {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes)) // a partial text is enough
	_, detail, _ := strings.Cut(string(text), "): ")
	return strings.TrimSpace(detail)
}
