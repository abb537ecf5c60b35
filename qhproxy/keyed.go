package qhproxy

import (
	"context"
	"errors"
	"net/http"

	"quetzalhaven.dev/qhclaim"
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhheader"
)

// maxIdempotencyKeyLength bounds an idempotency key in bytes.
const maxIdempotencyKeyLength = 256

// sendKeyed claims the call's idempotency key on the platform before it sends
// the call. On a route with keyed retries, a call without a key is sent but not
// retried once it may have been executed.
func (c *call) sendKeyed(ctx context.Context) (*targetResponse, *failure) {
	keys := c.request.Header.Values(qhheader.IdempotencyKey)
	if c.route.Retry != qhconfig.RetryKeyed || len(keys) == 0 {
		return c.send(ctx)
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKeyLength {
		return nil, notExecuted(qhdecision.BadRequest, http.StatusBadRequest, 0, "the idempotency key is empty, too long or sent more than once; send exactly one")
	}
	claim, f := c.claimKey(ctx, keys[0])
	if f != nil {
		return nil, f
	}
	resp, f := c.send(ctx)
	switch {
	case f == nil:
		claim.MarkDone(resp.StatusCode)
	case f.Outcome == qhheader.OutcomeNotExecuted:
		claim.MarkNotExecuted()
	default:
		claim.MarkUnknown()
	}
	return resp, f
}

// claimKey acquires the claim on the key, or returns why the call must not be
// sent.
func (c *call) claimKey(ctx context.Context, key string) (*qhclaim.HeldClaim, *failure) {
	if c.proxy.claims == nil {
		return nil, notExecuted(qhdecision.ClaimUnavailable, http.StatusServiceUnavailable, defaultRetryAfter, "this node has no store for idempotency keys; call another node")
	}
	fingerprint := qhclaim.Fingerprint(c.request.Method, c.request.Host, c.request.URL.RequestURI())
	claim, err := c.proxy.claims.Acquire(ctx, qhclaim.KeyedCall{Route: c.route.Name, Key: key, Request: c.id, Fingerprint: fingerprint})
	var takenErr *qhclaim.AlreadyClaimedError
	switch {
	case err == nil:
		return claim, nil
	case !errors.As(err, &takenErr):
		return nil, notExecuted(qhdecision.ClaimUnavailable, http.StatusServiceUnavailable, defaultRetryAfter, err.Error())
	case takenErr.Claim.Fingerprint != fingerprint:
		return nil, notExecuted(qhdecision.KeyClaimed, http.StatusUnprocessableEntity, 0, "the idempotency key was used for a different request; use a new key")
	case takenErr.Claim.State == qhclaim.StateDone:
		return nil, &failure{Reason: qhdecision.KeyClaimed, Outcome: qhheader.OutcomeDone, Status: http.StatusConflict, Detail: err.Error()}
	default:
		return nil, outcomeUnknown(qhdecision.KeyClaimed, http.StatusConflict, err.Error())
	}
}
