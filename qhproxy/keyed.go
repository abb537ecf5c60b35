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

// claimAndSend sends the call. If it carries an idempotency key on a route
// whose retry policy uses keys, the key is claimed on the platform first. A
// call without a key on such a route is not retried once it may have been
// executed.
func (c *call) claimAndSend(ctx context.Context) (*targetResponse, *failure) {
	keys := c.request.Header.Values(qhheader.IdempotencyKey)
	if c.route.Retry != qhconfig.RetryKeyed || len(keys) == 0 {
		return c.send(ctx)
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKeyLength {
		return nil, notExecuted(qhdecision.BadRequest, http.StatusBadRequest, 0, "the idempotency key is empty, too long or sent more than once; send exactly one")
	}
	claim, f := c.acquireClaim(ctx, keys[0])
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

// acquireClaim claims the key on the platform, or returns the failure because
// of which the call must not be sent.
func (c *call) acquireClaim(ctx context.Context, key string) (*qhclaim.HeldClaim, *failure) {
	if c.proxy.claims == nil {
		return nil, notExecuted(qhdecision.ClaimUnavailable, http.StatusServiceUnavailable, defaultRetryAfter, "this node has no store for idempotency keys; call another node")
	}
	fingerprint := qhclaim.Fingerprint(c.request.Method, c.request.Host, c.request.URL.RequestURI())
	claim, err := c.proxy.claims.Acquire(ctx, qhclaim.KeyedCall{Route: c.route.Name, Key: key, Request: c.id, Fingerprint: fingerprint})
	var claimedErr *qhclaim.AlreadyClaimedError
	switch {
	case err == nil:
		return claim, nil
	case !errors.As(err, &claimedErr):
		return nil, notExecuted(qhdecision.ClaimUnavailable, http.StatusServiceUnavailable, defaultRetryAfter, err.Error())
	case claimedErr.Claim.Fingerprint != fingerprint:
		return nil, notExecuted(qhdecision.KeyClaimed, http.StatusUnprocessableEntity, 0, "the idempotency key was used for a different request; use a new key")
	case claimedErr.Claim.State == qhclaim.StateDone:
		return nil, &failure{Reason: qhdecision.KeyClaimed, Outcome: qhheader.OutcomeDone, Status: http.StatusConflict, Detail: err.Error()}
	default:
		return nil, outcomeUnknown(qhdecision.KeyClaimed, http.StatusConflict, err.Error())
	}
}
