package qhproxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"quetzalhaven.dev/qhconn"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
)

// statusClientClosedRequest is the recorded status of calls whose caller
// disconnected, and so does not receive it.
const statusClientClosedRequest = 499

// minRoomIn is the shortest Retry-After value of a call that no target had room for.
const minRoomIn = 50 * time.Millisecond

// defaultRetryAfter is the Retry-After value of failures without an estimate of
// the wait.
const defaultRetryAfter = time.Second

// errShutdownTimeout is the cancellation cause of the calls that are in flight
// at the end of the shutdown timeout.
var errShutdownTimeout = errors.New("the shutdown timeout of the node has passed") //nolint:gochecknoglobals // a sentinel

// failure describes a call without a complete response of a target.
type failure struct {
	Reason qhdecision.Reason
	// Outcome is a qhheader.Outcome value. It is OutcomeNotExecuted only if no
	// byte of the call was sent to a target, or the target itself said that it
	// did not execute the call.
	Outcome string
	Status  int
	// ReachedTarget is set if the call reached a target, whatever the target
	// did with it.
	ReachedTarget bool
	// RetryAfter is how long the caller should wait before a retry; 0 means
	// that a retry does not help.
	RetryAfter time.Duration
	// Delayed is the qhtransit.Refusal of a forwarded call that was refused for its age;
	// empty for other failures.
	Delayed string
	// Challenge is the value of the WWW-Authenticate header; empty for none.
	Challenge string
	// Detail is the human-readable explanation.
	Detail string
}

// notExecuted returns the failure of a call that certainly was not executed.
func notExecuted(reason qhdecision.Reason, status int, retryAfter time.Duration, detail string) *failure {
	return &failure{Reason: reason, Outcome: qhheader.OutcomeNotExecuted, Status: status, RetryAfter: retryAfter, Detail: detail}
}

// outcomeUnknown returns the failure of a call that may have been executed.
func outcomeUnknown(reason qhdecision.Reason, status int, detail string) *failure {
	return &failure{Reason: reason, ReachedTarget: true, Outcome: qhheader.OutcomeUnknown, Status: status, Detail: detail}
}

// admissionFailure converts a guard's refusal into a failure.
func admissionFailure(ctx context.Context, err error) *failure {
	refusal := &qhguard.Refusal{Reason: qhdecision.Busy, RetryAfter: defaultRetryAfter}
	_ = errors.As(err, &refusal) // a guard returns no other error
	reason, status := refusal.Reason, http.StatusServiceUnavailable
	if reason == qhdecision.CallerGone {
		reason, status = classifyError(ctx, err)
	}
	return notExecuted(reason, status, refusal.RetryAfter, refusal.Error())
}

// roundTripFailure classifies the error of a round trip with context ctx. The
// call counts as not executed only if it is certain that it was not sent.
func roundTripFailure(ctx context.Context, err error) *failure {
	reason, status := classifyError(ctx, err)
	if qhconn.IsUnprocessed(err) {
		if status == http.StatusGatewayTimeout {
			status = http.StatusServiceUnavailable // 503 tells the caller that the call was not executed
		}
		return notExecuted(reason, status, defaultRetryAfter, err.Error())
	}
	return outcomeUnknown(reason, status, err.Error())
}

// classifyError returns the reason and the HTTP status for a call that failed
// with err in context ctx.
func classifyError(ctx context.Context, err error) (qhdecision.Reason, int) {
	var tooLarge *http.MaxBytesError
	var bodyErr *bodyError
	switch cause := context.Cause(ctx); {
	case errors.As(err, &tooLarge):
		return qhdecision.TooLarge, http.StatusRequestEntityTooLarge
	case errors.As(err, &bodyErr):
		return qhdecision.BadBody, http.StatusBadRequest
	case errors.Is(cause, qhconn.ErrFirstByteTimeout):
		return qhdecision.FirstByteTimeout, http.StatusGatewayTimeout
	case errors.Is(cause, errShutdownTimeout) && qhconn.IsUnprocessed(err):
		return qhdecision.ShutdownTimedOut, http.StatusServiceUnavailable
	case errors.Is(cause, errShutdownTimeout):
		return qhdecision.ShutdownTimedOut, http.StatusBadGateway
	case errors.Is(cause, context.DeadlineExceeded):
		return qhdecision.DeadlineExceeded, http.StatusGatewayTimeout
	case cause != nil:
		return qhdecision.CallerGone, statusClientClosedRequest
	case errors.Is(err, qhconn.ErrNotConnected):
		return qhdecision.NotConnected, http.StatusServiceUnavailable
	case qhconn.IsUnprocessed(err):
		return qhdecision.ConnectFailed, http.StatusServiceUnavailable
	default:
		return qhdecision.ConnectionLost, http.StatusBadGateway
	}
}

// finishWithFailure answers a call that has no response of a target, and
// records and counts the reason. The call may have reached a target; f.Outcome
// tells.
func (p *Proxy) finishWithFailure(w http.ResponseWriter, f *failure, d qhdecision.Decision) {
	d.Kind, d.Reason, d.Outcome, d.Detail = qhdecision.Refused, f.Reason, f.Outcome, f.Detail
	p.recordDecision(d)
	p.counters.countFailure(f)
	p.writeFailure(w, f)
}

// jitterSteps is the resolution of the jitter on Retry-After.
const jitterSteps = 100

// writeFailure writes the response to a call that has no response of a target.
// The headers tell the caller that a node responded itself, the outcome of the
// call and when to retry.
func (p *Proxy) writeFailure(w http.ResponseWriter, f *failure) {
	header := w.Header()
	header.Set(qhheader.Outcome, f.Outcome)
	header.Set(qhheader.Reason, string(f.Reason))
	if f.RetryAfter > 0 {
		header.Set(qhheader.RetryAfter, p.Dialect.FormatRetryAfter(p.addJitter(f.RetryAfter)))
	}
	if f.Challenge != "" {
		header.Set(headerChallenge, f.Challenge)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := fmt.Sprintf("quetzalhaven: %s (%s): %s\n", f.Reason, f.Outcome, f.Detail)
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(f.Status)
	_, _ = w.Write([]byte(text)) // the caller may have disconnected
}

// addJitter returns a random duration between delay and twice delay, so that
// callers refused together don't retry together.
func (p *Proxy) addJitter(delay time.Duration) time.Duration {
	return delay + delay*time.Duration(p.random(jitterSteps))/jitterSteps
}
