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
	h.writeOutcome(final)
}

// MarkNotExecuted frees the key. It may be called only if the call is proved
// not to have been executed.
func (h *HeldClaim) MarkNotExecuted() {
	final := h.claim
	final.State = StateFree
	h.writeOutcome(final)
}

// MarkUnknown leaves the key claimed, because the call may have been executed.
func (h *HeldClaim) MarkUnknown() {}

// Wait blocks until all outcome writes in progress have finished, or ctx is
// done. It is called at shutdown: outcomes of calls that end later are not
// written.
func (m *Manager) Wait(ctx context.Context) {
	for range maxOutcomeWrites {
		select {
		case m.outcomeWriteSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// writeOutcome writes the final state in the background, so that the response
// does not wait for the platform. Beyond maxOutcomeWrites the state is not
// written and the key stays claimed. The object is never deleted: a delayed
// delete could remove the claim of a later holder, whereas a delayed update
// fails its condition.
func (h *HeldClaim) writeOutcome(final Claim) {
	select {
	case h.manager.outcomeWriteSlots <- struct{}{}:
	default:
		h.manager.unwrittenOutcomes.Inc()
		return
	}
	h.manager.group.Go(func(ctx context.Context) {
		defer func() { <-h.manager.outcomeWriteSlots }()
		ctx, cancel := context.WithTimeout(ctx, outcomeWriteTimeout)
		defer cancel()
		if err := h.writeOutcomeWithBackoff(ctx, final); err != nil {
			h.manager.unwrittenOutcomes.Inc()
			h.manager.Log.Warn("cannot write the outcome of a claim; the idempotency key stays claimed", zap.String("request", string(final.Request)), zap.Error(err))
		}
	})
}

// writeOutcomeWithBackoff calls tryWriteOutcome with exponential backoff until
// nothing is left to write or ctx is done.
func (h *HeldClaim) writeOutcomeWithBackoff(ctx context.Context, final Claim) error {
	for backoff := outcomeWriteBackoff; ; backoff *= 2 {
		done, err := h.tryWriteOutcome(ctx, final)
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

// tryWriteOutcome makes one attempt to replace the claim, if it is still
// claimed by this holder. It returns true if nothing is left to do.
func (h *HeldClaim) tryWriteOutcome(ctx context.Context, final Claim) (bool, error) {
	if h.revision != 0 {
		_, err := h.manager.Store.Update(ctx, h.objectKey, encode(final), h.revision)
		if err == nil || qherr.Is(err, qherr.Conflict) {
			return true, nil // written by this call or by an earlier one whose response was lost
		}
		return false, err
	}
	object, err := h.manager.Store.Get(ctx, h.objectKey)
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
	return h.tryWriteOutcome(ctx, final)
}
