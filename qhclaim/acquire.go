package qhclaim

import (
	"context"
	"crypto/rand"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhplatform"
)

// HeldClaim is a claim that this node holds. Exactly one of MarkDone,
// MarkNotExecuted and MarkUnknown must be called.
type HeldClaim struct {
	manager   *Manager
	objectKey qhplatform.Key
	claim     Claim
	revision  qhplatform.Revision
	// writeUncertain is set if the outcome of a write is unknown, so that it may
	// still take effect.
	writeUncertain bool
}

// Acquire claims the key of a call. It returns an *AlreadyClaimedError if
// another call claimed the key, and an error of kind Unavailable if the
// platform gives no definite result. In both cases the call must not be sent.
func (m *Manager) Acquire(ctx context.Context, call KeyedCall) (*HeldClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	held := &HeldClaim{manager: m, objectKey: claimObjectKey(call), claim: Claim{
		State: StateClaimed, Nonce: rand.Text(), Fingerprint: call.Fingerprint, Request: call.Request, Node: m.Self, Time: time.Now().UTC(),
	}}
	err := held.acquire(ctx)
	if err == nil {
		return held, nil
	}
	if held.writeUncertain {
		held.MarkNotExecuted()
	}
	return nil, err
}

// acquire creates the claim by a conditional write, and reads it if the outcome
// of the write is uncertain. It returns nil only if this holder has the claim.
func (h *HeldClaim) acquire(ctx context.Context) error {
	store := h.manager.Store
	var lastErr error
	for range maxAcquireAttempts {
		if ctx.Err() != nil {
			break
		}
		revision, err := store.Create(ctx, h.objectKey, encode(h.claim))
		if err == nil {
			h.revision = revision
			return nil
		}
		lastErr = err
		h.writeUncertain = h.writeUncertain || qherr.Is(err, qherr.Unknown)
		if !qherr.Is(err, qherr.Conflict) && !qherr.Is(err, qherr.Unknown) {
			break // nothing was written
		}
		decided, err := h.readOrTakeOver(ctx)
		if decided {
			return err
		}
		lastErr = err
	}
	return qherr.New(qherr.Unavailable, lastErr, "retry when the platform is available", "cannot claim the idempotency key")
}

// readOrTakeOver reads the claim and takes it over if it is free. It returns
// false if the result is uncertain, so that another attempt is needed.
func (h *HeldClaim) readOrTakeOver(ctx context.Context) (bool, error) {
	object, err := h.manager.Store.Get(ctx, h.objectKey)
	if err != nil {
		return false, err
	}
	found, err := decode(object.Value)
	if err != nil {
		return false, err
	}
	switch {
	case found.Nonce == h.claim.Nonce:
		h.revision = object.Revision
		return true, nil
	case found.State != StateFree:
		return true, &AlreadyClaimedError{Claim: found}
	}
	revision, err := h.manager.Store.Update(ctx, h.objectKey, encode(h.claim), object.Revision)
	if err != nil {
		h.writeUncertain = h.writeUncertain || qherr.Is(err, qherr.Unknown)
		return false, err
	}
	h.revision = revision
	return true, nil
}
