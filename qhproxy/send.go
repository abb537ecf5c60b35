package qhproxy

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhbalance"
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdeadline"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// send sends the call to a target, and to another one where it may be repeated.
// Only the caller's own node repeats a call. The call is not run only where no
// attempt may have run. A refusal of a target's node is no attempt at a target:
// the next one is asked at no cost to the budget.
func (c *call) send(ctx context.Context) (*answer, *failure) {
	budget := c.proxy.budgets.ForService(c.service.Name)
	budget.Deposit()
	var worst *failure
	for c.attempt = 1; ; c.attempt++ {
		choice, ok := c.proxy.balancer.ChooseWithObjective(c.view, c.service, &c.tried, time.Now(), time.Duration(c.route.LatencyObjective))
		if !ok || c.spilled(choice) {
			return c.last(ctx, worst)
		}
		a, f := c.try(ctx, choice, c.patience(choice.Endpoint))
		if f == nil {
			return a, nil
		}
		c.tried.Add(choice.Endpoint)
		c.keepBest(choice.Endpoint, f)
		worst = worse(worst, f)
		if f.Arrived {
			c.arrivals++
		}
		if !c.mayRepeat(ctx, f) || f.Arrived && !budget.Withdraw() {
			return nil, worst
		}
		if c.attempt >= maxLooks {
			return c.last(ctx, worst)
		}
		c.repeated(f, choice.Endpoint)
	}
}

// spilled tells whether the call was sent out of its availability zone often
// enough, and counts that it is to be. Where the zone has targets, others take
// what spills over by slots that are free; more asking costs bytes between zones.
func (c *call) spilled(choice qhbalance.Choice) bool {
	if choice.Endpoint.Zone == c.proxy.Zone || !c.askedNear {
		return false
	}
	c.farLooks++
	return c.farLooks > maxFarLooks || !choice.HasCapacity
}

// keepBest keeps the endpoint whose node expects a slot soonest, one of the own
// availability zone where there is one.
func (c *call) keepBest(endpoint *qhmember.Endpoint, f *failure) {
	near := endpoint.Zone == c.proxy.Zone
	c.askedNear = c.askedNear || near
	if f.Reason == qhdecision.Busy && !f.Arrived && (near || !c.askedNear) && (c.best == nil || f.After < c.soonest) {
		c.best, c.soonest = endpoint, f.After
	}
}

// last asks the node that expects a slot soonest once more, now with all the
// patience that the deadline leaves. failed is what the attempts so far came to.
func (c *call) last(ctx context.Context, failed *failure) (*answer, *failure) {
	if c.best == nil || failed == nil || failed.Outcome != qhheader.OutcomeNotExecuted || ctx.Err() != nil {
		return nil, c.noTarget(failed)
	}
	c.attempt++
	a, f := c.try(ctx, qhbalance.Choice{Endpoint: c.best, Reason: qhdecision.LastResort}, 0)
	if f == nil {
		return a, nil
	}
	return nil, worse(failed, f)
}

const (
	// nearPatience is the part of a call's objective that it may wait at one
	// target of the own availability zone before others are asked.
	nearPatience = 0.4
	// spillPatience is how long a call may wait at a target of another zone when
	// its own has targets: only for a slot that is free.
	spillPatience = time.Millisecond
	// maxFarLooks bounds the targets of other zones that are asked then.
	maxFarLooks = 2
)

// patience is how long the call may wait for a slot of a target that is not the
// last to be asked; 0 on routes without an objective, whose calls wait where they are.
func (c *call) patience(endpoint *qhmember.Endpoint) time.Duration {
	if c.askedNear && endpoint.Zone != c.proxy.Zone && c.route.LatencyObjective > 0 {
		return spillPatience
	}
	return time.Duration(nearPatience * float64(c.route.LatencyObjective))
}

// worse returns the failure that a call with two failed attempts has: the later
// one, but what one attempt left unknown stays unknown. before may be nil.
func worse(before, f *failure) *failure {
	if before != nil && before.Outcome == qhheader.OutcomeUnknown && f.Outcome == qhheader.OutcomeNotExecuted {
		return before
	}
	return f
}

// noTarget is the failure where no endpoint is left. before is that of the
// attempts so far, or nil.
func (c *call) noTarget(before *failure) *failure {
	if before != nil {
		return before
	}
	return notRun(qhdecision.NoTarget, http.StatusServiceUnavailable, defaultAfter, "no target of the service takes calls")
}

// mostArrivals is how many targets the call may come to.
func (c *call) mostArrivals() int { return cmp.Or(c.route.MaxAttempts, maxAttempts) }

// mayRepeat tells whether the call may be sent again after the failure: because
// it has not run, or because its route says that it may run more than once.
func (c *call) mayRepeat(ctx context.Context, f *failure) bool {
	if c.arrivals >= c.mostArrivals() || ctx.Err() != nil || !c.body.again() {
		return false
	}
	if f.Outcome == qhheader.OutcomeNotExecuted {
		return true
	}
	return c.route.Retry == qhconfig.RetrySafe && f.Reason != qhdecision.TooLarge && f.Reason != qhdecision.BadBody
}

// repeated keeps that the call is sent again.
func (c *call) repeated(f *failure, endpoint *qhmember.Endpoint) {
	d := c.decision()
	d.Kind, d.Reason, d.Outcome, d.Detail = qhdecision.Retried, f.Reason, f.Outcome, f.Detail
	d.Target, d.Node = endpoint.ID, endpoint.Node
	c.proxy.decide(d)
	c.proxy.counts.repeats.Inc()
}

// try sends the call to one endpoint and notes what was seen of it.
func (c *call) try(ctx context.Context, choice qhbalance.Choice, patience time.Duration) (*answer, *failure) {
	endpoint := choice.Endpoint
	c.endpoint = endpoint
	c.chosen(choice)
	observed := endpoint.Stats
	observed.Calls.Add(1)
	observed.InFlight.Add(1)
	start := time.Now()
	a, f := c.dispatch(ctx, endpoint, patience)
	if f != nil {
		observed.InFlight.Add(-1)
		c.failed(endpoint, f, time.Since(start))
		return nil, f
	}
	c.answered(endpoint, a, time.Since(start))
	a.brokeOff = func(err error) {
		if ctx.Err() == nil { // else the call's own deadline ended it
			c.fail(endpoint, err.Error(), c.proxy.balancer.RecordFailure)
		}
	}
	release := a.release
	a.release = func() {
		observed.InFlight.Add(-1)
		release()
	}
	return a, nil
}

// chosen keeps which endpoint was chosen and why.
func (c *call) chosen(choice qhbalance.Choice) {
	d := c.decision()
	d.Kind, d.Reason = qhdecision.Chosen, choice.Reason
	d.Target, d.Node = choice.Endpoint.ID, choice.Endpoint.Node
	if choice.RunnerUp != nil {
		d.RunnerUp = choice.RunnerUp.ID
	}
	c.proxy.decide(d)
}

// answered notes an answer. Errors of the target's server count as failures,
// since a target that fails fast would draw calls otherwise.
func (c *call) answered(endpoint *qhmember.Endpoint, a *answer, took time.Duration) {
	switch {
	case a.StatusCode == http.StatusServiceUnavailable && a.Header.Get(qhheader.RetryAfter) != "":
		endpoint.Stats.Refusals.Add(1) // sheds load, which is no defect
		qhbalance.RecordReportedLoad(endpoint, endpoint.Slots, time.Now())
	case a.StatusCode >= http.StatusInternalServerError:
		qhbalance.RecordServerError(endpoint)
	default:
		qhbalance.RecordResponse(endpoint, took)
	}
}

// failed notes a call without an answer. Refusals, callers that left and callers
// that gave it little time tell nothing against the endpoint.
func (c *call) failed(endpoint *qhmember.Endpoint, f *failure, took time.Duration) {
	switch f.Reason {
	case qhdecision.Busy, qhdecision.Late:
		endpoint.Stats.Refusals.Add(1)
		if endpoint.Zone != c.proxy.Zone {
			qhbalance.RecordFull(endpoint, time.Now())
		}
	case qhdecision.Leaving, qhdecision.NoTarget, qhdecision.GracePeriodOver:
		endpoint.Stats.Refusals.Add(1)
		qhbalance.RecordLeaving(endpoint, time.Now())
	case qhdecision.DeadlineExceeded:
		if qhbalance.IsOverdue(endpoint, took) {
			c.fail(endpoint, f.Detail, c.proxy.balancer.RecordFailure)
		}
	case qhdecision.ConnectFailed:
		c.fail(endpoint, f.Detail, c.proxy.balancer.RecordUnreachable)
	case qhdecision.ConnectionLost, qhdecision.FirstByteTimeout:
		c.fail(endpoint, f.Detail, c.proxy.balancer.RecordFailure)
	}
}

// note counts a failure of an endpoint, and tells whether and for how long it
// was ejected for it.
type note func(view *qhmember.View, service qhid.Service, endpoint *qhmember.Endpoint, now time.Time) (time.Duration, bool)

// fail counts a failure of the endpoint and ejects it where it had too many.
func (c *call) fail(endpoint *qhmember.Endpoint, detail string, note note) {
	span, ejected := note(c.view, c.service.Name, endpoint, time.Now())
	if !ejected {
		return
	}
	d := c.decision()
	d.Kind, d.Reason = qhdecision.Ejected, qhdecision.ConsecutiveFailures
	d.Target, d.Node, d.Detail = endpoint.ID, endpoint.Node, "for "+span.String()+": "+detail
	c.proxy.decide(d)
	c.proxy.counts.ejections.Inc()
	c.proxy.Log.Warn("endpoint ejected", zap.String("target", string(endpoint.ID)), zap.Duration("for", span), zap.String("because", detail))
}

// dispatch sends the call to the endpoint, over its node unless that is this one.
func (c *call) dispatch(ctx context.Context, endpoint *qhmember.Endpoint, patience time.Duration) (*answer, *failure) {
	h := &hop{in: c.in, body: c.body, header: c.in.Header, silence: c.silence(), caller: c.proxy.Beside(), ask: c.ask(patience)}
	if c.attempt > 1 {
		h.header = c.in.Header.Clone() // an earlier attempt may still read the headers
	}
	if endpoint.Node != c.proxy.Self {
		return c.toNode(ctx, endpoint, h)
	}
	dropInternal(h.header)
	a, f := c.proxy.toTarget(ctx, endpoint.ID, h)
	qhbalance.RecordReportedLoad(endpoint, c.proxy.loadOf(endpoint.ID), time.Now())
	return a, f
}

// ask returns what the call asks of a target.
func (c *call) ask(patience time.Duration) qhguard.AdmissionRequest {
	return qhguard.AdmissionRequest{Route: c.route.Name, Priority: c.route.Priority, ObjectiveDeadline: c.due, MaxQueueWait: patience}
}

// toNode sends the call to the node of the endpoint.
func (c *call) toNode(ctx context.Context, endpoint *qhmember.Endpoint, h *hop) (*answer, *failure) {
	setAll(h.header,
		field{qhheader.NodeFrom, string(c.proxy.Self)},
		field{qhheader.NodeTarget, string(endpoint.ID)},
		field{qhheader.NodeRoute, string(c.route.Name)},
		field{qhheader.NodeVersion, strconv.FormatUint(uint64(c.snapshot.Version), 10)},
		field{qhheader.NodeFirstByteTimeout, qhdeadline.Format(h.silence)},
		field{qhheader.NodeCaller, string(h.caller)},
		field{qhheader.Timeout, qhdeadline.Format(timeTo(ctx))},
	)
	setAsk(h.header, h.ask)
	resp, err := c.proxy.peers.RoundTrip(endpoint.CallAddress, h.request(ctx, endpoint.CallAddress)) //nolint:bodyclose // pass closes it
	if err != nil {
		return nil, failureOf(ctx, err)
	}
	c.proxy.heard(resp.Header, endpoint.Node)
	if load, err := strconv.Atoi(resp.Header.Get(qhheader.NodeLoad)); err == nil {
		qhbalance.RecordReportedLoad(endpoint, load, time.Now())
	}
	if outcome := resp.Header.Get(qhheader.Outcome); outcome != "" {
		return nil, failureFrom(resp, outcome)
	}
	took, _ := strconv.ParseInt(resp.Header.Get(qhheader.NodeResponseTime), 10, 64) // 0 where the node says nothing
	dropMesh(resp.Header)
	return &answer{Response: resp, release: func() {}, took: time.Duration(took) * time.Microsecond}, nil
}

// timeTo returns the time until the context's deadline, which every call has.
func timeTo(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// failureFrom reads the failure that another node reported.
func failureFrom(resp *http.Response, outcome string) *failure {
	defer func() { _ = resp.Body.Close() }() // what is left of it is not needed
	f := &failure{
		Reason:  qhdecision.Reason(resp.Header.Get(qhheader.Reason)),
		Outcome: qhheader.OutcomeUnknown,
		Status:  resp.StatusCode,
		Detail:  readDetail(resp),
	}
	f.Arrived = resp.Header.Get(qhheader.NodeReachedTarget) != ""
	if outcome == qhheader.OutcomeNotExecuted {
		f.Outcome = qhheader.OutcomeNotExecuted
	}
	f.After, _ = qhdeadline.Parse(resp.Header.Get(qhheader.RetryAfter)) // 0 where the node says nothing
	return f
}

// maxDetail bounds the text that is read of another node's failure, in bytes.
const maxDetail = 512

// readDetail returns the text of another node's failure.
func readDetail(resp *http.Response) string {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetail)) // a part of it is enough
	_, detail, _ := strings.Cut(string(text), "): ")
	return strings.TrimSpace(detail)
}
