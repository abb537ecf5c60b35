package qhclaim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
)

// MarkDone notes that the call was answered.
func (h *HeldClaim) MarkDone(status int) {
	settled := h.claim
	settled.State, settled.Status = StateDone, status
	h.settle(settled)
}

// MarkNotExecuted gives the key free. The call is proved not to have run.
func (h *HeldClaim) MarkNotExecuted() {
	settled := h.claim
	settled.State = StateFree
	h.settle(settled)
}

// MarkUnknown leaves the key claimed.
func (h *HeldClaim) MarkUnknown() {}

// Wait returns once every claim so far is settled, or when the context ends.
// Claims that are settled later stay as they are; it is for a node that stops.
func (c *Manager) Wait(ctx context.Context) {
	for range maxSettling {
		select {
		case c.settling <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// settle writes the claim's last state in the background, so that the answer
// does not wait for the platform. Beyond maxSettling the claim stays as it is.
// The object is never deleted: a delete that arrives late could hit the claim
// of a later holder, while a late update fails by its condition.
func (h *HeldClaim) settle(settled Claim) {
	select {
	case h.claims.settling <- struct{}{}:
	default:
		h.claims.unsettled.Inc()
		return
	}
	h.claims.group.Go(func(ctx context.Context) {
		defer func() { <-h.claims.settling }()
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		if err := h.write(ctx, settled); err != nil {
			h.claims.unsettled.Inc()
			h.claims.Log.Warn("claim left as it was", zap.String("request", string(settled.Request)), zap.Error(err))
		}
	})
}

// write replaces the claim while it is this holder's and still claimed.
func (h *HeldClaim) write(ctx context.Context, settled Claim) error {
	for pause := settlePause; ; pause *= 2 {
		done, err := h.replace(ctx, settled)
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}

// replace tries once, and tells whether there is nothing left to do.
func (h *HeldClaim) replace(ctx context.Context, settled Claim) (bool, error) {
	if h.at != 0 {
		_, err := h.claims.Store.Update(ctx, h.key, encode(settled), h.at)
		if err == nil || qherr.Is(err, qherr.Conflict) {
			return true, nil // this holder wrote it, now or before the answer was lost
		}
		return false, err
	}
	object, err := h.claims.Store.Get(ctx, h.key)
	if qherr.Is(err, qherr.NotFound) {
		return false, err // a late write may still land
	}
	if err != nil {
		return false, err
	}
	found, err := decode(object.Value)
	if err != nil {
		return false, err
	}
	if found.Nonce != h.claim.Nonce || found.State != StateClaimed {
		return true, nil
	}
	h.at = object.Revision
	return h.replace(ctx, settled)
}
