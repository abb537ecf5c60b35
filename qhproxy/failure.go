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

// statusGone is for callers that no longer wait; nobody reads it.
const statusGone = 499

// defaultAfter is when to come back where nothing better is known.
const defaultAfter = time.Second

// errCut ends the calls that are left at the end of a grace period.
var errCut = errors.New("the grace period is over") //nolint:gochecknoglobals // a sentinel

// failure is a call that has no whole answer of a target.
type failure struct {
	Reason qhdecision.Reason
	// Outcome is NotRun only where no byte of the call was given to a target.
	Outcome string
	Status  int
	// Arrived is set where a target got the call, whatever it did with it.
	Arrived bool
	// After is when to come back; 0 for never.
	After time.Duration
	// Detail is for people.
	Detail string
}

func notRun(reason qhdecision.Reason, status int, after time.Duration, detail string) *failure {
	return &failure{Reason: reason, Outcome: qhheader.OutcomeNotExecuted, Status: status, After: after, Detail: detail}
}

func unknown(reason qhdecision.Reason, status int, detail string) *failure {
	return &failure{Reason: reason, Arrived: true, Outcome: qhheader.OutcomeUnknown, Status: status, Detail: detail}
}

// refusedBy is the failure for a refusal of a guard.
func refusedBy(ctx context.Context, err error) *failure {
	refusal := &qhguard.Refusal{Reason: qhdecision.Busy, RetryAfter: defaultAfter}
	_ = errors.As(err, &refusal) // a guard returns nothing else
	reason, status := refusal.Reason, http.StatusServiceUnavailable
	if reason == qhdecision.CallerGone {
		reason, status = classify(ctx, err)
	}
	return notRun(reason, status, refusal.RetryAfter, refusal.Error())
}

// failureOf classifies the error of a round trip whose context is ctx. Only
// what is proved not to have been sent counts as not run.
func failureOf(ctx context.Context, err error) *failure {
	reason, status := classify(ctx, err)
	if qhconn.IsUnsent(err) {
		if status == http.StatusGatewayTimeout {
			status = http.StatusServiceUnavailable // it says that the call has not run
		}
		return notRun(reason, status, defaultAfter, err.Error())
	}
	return unknown(reason, status, err.Error())
}

func classify(ctx context.Context, err error) (qhdecision.Reason, int) {
	var tooLarge *http.MaxBytesError
	var broken *bodyError
	switch cause := context.Cause(ctx); {
	case errors.As(err, &tooLarge):
		return qhdecision.TooLarge, http.StatusRequestEntityTooLarge
	case errors.As(err, &broken):
		return qhdecision.BadBody, http.StatusBadRequest
	case errors.Is(cause, qhconn.ErrFirstByteTimeout):
		return qhdecision.FirstByteTimeout, http.StatusGatewayTimeout
	case errors.Is(cause, errCut) && qhconn.IsUnsent(err):
		return qhdecision.GracePeriodOver, http.StatusServiceUnavailable
	case errors.Is(cause, errCut):
		return qhdecision.GracePeriodOver, http.StatusBadGateway
	case errors.Is(cause, context.DeadlineExceeded):
		return qhdecision.DeadlineExceeded, http.StatusGatewayTimeout
	case cause != nil:
		return qhdecision.CallerGone, statusGone
	case qhconn.IsUnsent(err):
		return qhdecision.ConnectFailed, http.StatusServiceUnavailable
	default:
		return qhdecision.ConnectionLost, http.StatusBadGateway
	}
}
