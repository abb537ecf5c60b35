package qhproxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"quetzalhaven.dev/qhconn"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
)

// statusClientClosedRequest is recorded for callers that disconnected; they
// don't receive it.
const statusClientClosedRequest = 499

// defaultRetryAfter is the Retry-After value where no better estimate exists.
const defaultRetryAfter = time.Second

// errGracePeriodOver is the cause of cancelling the calls that are left at the
// end of the grace period.
var errGracePeriodOver = errors.New("the shutdown grace period is over") //nolint:gochecknoglobals // a sentinel

// failure describes a call without a complete response of a target.
type failure struct {
	Reason qhdecision.Reason
	// Outcome is OutcomeNotExecuted only if no byte of the call was sent to a
	// target, or the target itself said that it did not execute the call.
	Outcome string
	Status  int
	// ReachedTarget is set if the call reached a target, whatever the target
	// did with it.
	ReachedTarget bool
	// RetryAfter is how long the caller should wait before a retry; 0 means
	// that a retry does not help.
	RetryAfter time.Duration
	// Detail is the human-readable explanation.
	Detail string
}

func notExecuted(reason qhdecision.Reason, status int, retryAfter time.Duration, detail string) *failure {
	return &failure{Reason: reason, Outcome: qhheader.OutcomeNotExecuted, Status: status, RetryAfter: retryAfter, Detail: detail}
}

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
	if qhconn.IsUnsent(err) {
		if status == http.StatusGatewayTimeout {
			status = http.StatusServiceUnavailable // 503 tells the caller that the call was not executed
		}
		return notExecuted(reason, status, defaultRetryAfter, err.Error())
	}
	return outcomeUnknown(reason, status, err.Error())
}

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
	case errors.Is(cause, errGracePeriodOver) && qhconn.IsUnsent(err):
		return qhdecision.ShutdownTimedOut, http.StatusServiceUnavailable
	case errors.Is(cause, errGracePeriodOver):
		return qhdecision.ShutdownTimedOut, http.StatusBadGateway
	case errors.Is(cause, context.DeadlineExceeded):
		return qhdecision.DeadlineExceeded, http.StatusGatewayTimeout
	case cause != nil:
		return qhdecision.CallerGone, statusClientClosedRequest
	case qhconn.IsUnsent(err):
		return qhdecision.ConnectFailed, http.StatusServiceUnavailable
	default:
		return qhdecision.ConnectionLost, http.StatusBadGateway
	}
}
