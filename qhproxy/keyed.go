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

// maxKey bounds the length of an idempotency key.
const maxKey = 256

// sendKeyed sends a call whose key is claimed on the platform first. A call of
// a keyed route that brings no key is sent like one that is never repeated.
func (c *call) sendKeyed(ctx context.Context) (*answer, *failure) {
	keys := c.in.Header.Values(qhheader.IdempotencyKey)
	if c.route.Retry != qhconfig.RetryKeyed || len(keys) == 0 {
		return c.send(ctx)
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxKey {
		return nil, notRun(qhdecision.BadRequest, http.StatusBadRequest, 0, "the idempotency key is empty, too long or there twice; send one")
	}
	held, f := c.claim(ctx, keys[0])
	if f != nil {
		return nil, f
	}
	a, f := c.send(ctx)
	switch {
	case f == nil:
		held.MarkDone(a.StatusCode)
	case f.Outcome == qhheader.OutcomeNotExecuted:
		held.MarkNotExecuted()
	default:
		held.MarkUnknown()
	}
	return a, f
}

// claim takes the key, or tells why the call must not be sent.
func (c *call) claim(ctx context.Context, key string) (*qhclaim.HeldClaim, *failure) {
	if c.proxy.claims == nil {
		return nil, notRun(qhdecision.ClaimUnavailable, http.StatusServiceUnavailable, defaultAfter, "this node can't claim keys")
	}
	fingerprint := qhclaim.Fingerprint(c.in.Method, c.in.Host, c.in.URL.RequestURI())
	held, err := c.proxy.claims.Acquire(ctx, qhclaim.KeyedCall{Route: c.route.Name, Key: key, Request: c.id, Fingerprint: fingerprint})
	var taken *qhclaim.AlreadyClaimedError
	switch {
	case err == nil:
		return held, nil
	case !errors.As(err, &taken):
		return nil, notRun(qhdecision.ClaimUnavailable, http.StatusServiceUnavailable, defaultAfter, err.Error())
	case taken.Claim.Fingerprint != fingerprint:
		return nil, notRun(qhdecision.KeyClaimed, http.StatusUnprocessableEntity, 0, "the key was used for another request; use a new key")
	case taken.Claim.State == qhclaim.StateDone:
		return nil, &failure{Reason: qhdecision.KeyClaimed, Outcome: qhheader.OutcomeDone, Status: http.StatusConflict, Detail: err.Error()}
	default:
		return nil, unknown(qhdecision.KeyClaimed, http.StatusConflict, err.Error())
	}
}
