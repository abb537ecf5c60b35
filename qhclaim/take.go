package qhclaim

import (
	"context"
	"crypto/rand"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhplatform"
)

// HeldClaim is a claim that this node holds. Exactly one of Done, NotRun and Unknown
// is called for it.
type HeldClaim struct {
	claims *Manager
	key    qhplatform.Key
	claim  Claim
	at     qhplatform.Revision
	// unsure is set while a write may land later than its answer was given up.
	unsure bool
}

// Acquire claims the key of a call. It returns a *TakenError where somebody else
// has it, and an error of kind Unavailable where the platform can't tell; the
// call must not be sent then.
func (c *Manager) Acquire(ctx context.Context, call KeyedCall) (*HeldClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	held := &HeldClaim{claims: c, key: keyOf(call), claim: Claim{
		State: StateClaimed, Nonce: rand.Text(), Fingerprint: call.Fingerprint, Request: call.Request, Node: c.Self, Time: time.Now().UTC(),
	}}
	err := held.take(ctx)
	if err == nil {
		return held, nil
	}
	if held.unsure {
		held.MarkNotExecuted()
	}
	return nil, err
}

// take writes the claim by a condition, and reads where the outcome of a write
// is not certain. It returns nil only where the claim is this holder's.
func (h *HeldClaim) take(ctx context.Context) error {
	store := h.claims.Store
	var last error
	for range takeTries {
		if ctx.Err() != nil {
			break
		}
		at, err := store.Create(ctx, h.key, encode(h.claim))
		if err == nil {
			h.at = at
			return nil
		}
		last = err
		h.unsure = h.unsure || qherr.Is(err, qherr.Unknown)
		if !qherr.Is(err, qherr.Conflict) && !qherr.Is(err, qherr.Unknown) {
			break // nothing was written
		}
		settled, err := h.look(ctx)
		if settled {
			return err
		}
		last = err
	}
	return qherr.New(qherr.Unavailable, last, "come back when the platform answers", "the key can't be claimed")
}

// look reads the claim and takes it over where it is free. It returns false
// where the claim has to be tried again.
func (h *HeldClaim) look(ctx context.Context) (bool, error) {
	object, err := h.claims.Store.Get(ctx, h.key)
	if err != nil {
		return false, err
	}
	found, err := decode(object.Value)
	if err != nil {
		return false, err
	}
	switch {
	case found.Nonce == h.claim.Nonce:
		h.at = object.Revision
		return true, nil
	case found.State != StateFree:
		return true, &AlreadyClaimedError{Claim: found}
	}
	at, err := h.claims.Store.Update(ctx, h.key, encode(h.claim), object.Revision)
	if err != nil {
		h.unsure = h.unsure || qherr.Is(err, qherr.Unknown)
		return false, err
	}
	h.at = at
	return true, nil
}
