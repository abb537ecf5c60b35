package qhclaim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
)

// MarkDone records that the call was executed and answered with the status.
func (h *HeldClaim) MarkDone(status int) {
	final := h.claim
	final.State, final.Status = StateDone, status
	h.settle(final)
}

// MarkNotExecuted frees the key. The call must be proved not to have been
// executed.
func (h *HeldClaim) MarkNotExecuted() {
	final := h.claim
	final.State = StateFree
	h.settle(final)
}

// MarkUnknown leaves the key claimed, because the call may have been executed.
func (h *HeldClaim) MarkUnknown() {}

// Wait blocks until all claims that are being settled are written, or ctx is
// done. It is called when the node stops: claims that are settled later are not
// written.
func (m *Manager) Wait(ctx context.Context) {
	for range maxConcurrentSettles {
		select {
		case m.settleSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// settle writes the final state in the background, so that the response does not
// wait for the platform. Beyond maxConcurrentSettles the state is not written and
// the key stays claimed. The object is never deleted: a delayed delete could
// remove the claim of a later holder, whereas a delayed update fails its
// condition.
func (h *HeldClaim) settle(final Claim) {
	select {
	case h.manager.settleSlots <- struct{}{}:
	default:
		h.manager.unsettled.Inc()
		return
	}
	h.manager.group.Go(func(ctx context.Context) {
		defer func() { <-h.manager.settleSlots }()
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		if err := h.settleWithBackoff(ctx, final); err != nil {
			h.manager.unsettled.Inc()
			h.manager.Log.Warn("claim not settled, idempotency key stays claimed", zap.String("request", string(final.Request)), zap.Error(err))
		}
	})
}

// settleWithBackoff retries trySettle with exponential backoff until it is done
// or ctx is done.
func (h *HeldClaim) settleWithBackoff(ctx context.Context, final Claim) error {
	for backoff := settleBackoff; ; backoff *= 2 {
		done, err := h.trySettle(ctx, final)
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(backoff):
		}
	}
}

// trySettle makes one attempt to replace the claim, if it is still claimed by
// this holder. It returns true if nothing is left to do.
func (h *HeldClaim) trySettle(ctx context.Context, final Claim) (bool, error) {
	if h.revision != 0 {
		_, err := h.manager.Store.Update(ctx, h.key, encode(final), h.revision)
		if err == nil || qherr.Is(err, qherr.Conflict) {
			return true, nil // written by this call or by an earlier one whose response was lost
		}
		return false, err
	}
	object, err := h.manager.Store.Get(ctx, h.key)
	if qherr.Is(err, qherr.NotFound) {
		return false, err // the delayed write that created the claim may still take effect
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
	h.revision = object.Revision
	return h.trySettle(ctx, final)
}
