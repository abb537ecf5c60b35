package qhplan

import (
	"context"
	"errors"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
)

// Confirmation is the result of confirming a plan.
type Confirmation struct {
	Plan qhid.Plan `json:"plan"`
	// Version is the version that the plan created.
	Version qhid.Version `json:"version"`
	// AlreadyCommitted is set if the plan had created a version before this call.
	AlreadyCommitted bool `json:"before,omitempty"`
	// Base is the version that the plan was made from. The plan was rebased over
	// the versions between Base and Version, if there are any.
	Base qhid.Version `json:"base"`
}

const (
	// maxCommitAttempts limits the commits that one Confirm tries while other
	// commits move the head.
	maxCommitAttempts = 16
	// maxVersionsBehind limits how many versions a plan may be behind the head
	// when it is confirmed, and thereby the reads of one Confirm.
	maxVersionsBehind = 256
)

// Confirm commits a plan as the next version. The head moves only from the
// plan's base, or from a newer version if the plan can be rebased onto it. A
// plan is committed at most once: confirming it again returns the version that
// it created.
//
// The errors are of the kinds Conflict (newer versions conflict with the plan),
// Refused, NotFound, Unavailable (nothing was changed) and Unknown (the plan
// may be committed; confirming it again resolves this).
func (p *Planner) Confirm(ctx context.Context, id qhid.Plan, author string) (Confirmation, error) {
	plan, err := p.Get(ctx, id)
	if err != nil {
		return Confirmation{}, confirmError(id, err)
	}
	if plan.Committed != nil {
		return Confirmation{Plan: id, Version: plan.Committed.Version, AlreadyCommitted: true, Base: plan.Base}, nil
	}
	for range maxCommitAttempts {
		head, err := p.chain.ReadHead(ctx)
		if err != nil {
			return Confirmation{}, confirmError(id, err)
		}
		committed, found, err := p.findCommitted(ctx, plan, head, maxVersionsBehind)
		if err != nil {
			return Confirmation{}, confirmError(id, err)
		}
		if found {
			return p.confirmation(ctx, plan, committed, true), nil
		}
		committed, err = p.commit(ctx, plan, head, author)
		if err == nil {
			return p.confirmation(ctx, plan, committed, false), nil
		}
		if !isHeadMoved(err) {
			return Confirmation{}, confirmError(id, err)
		}
	}
	return Confirmation{}, qherr.New(qherr.Conflict, nil, "confirm it again",
		"plan %s was not confirmed: other plans were confirmed first in each of %d attempts, and nothing was changed", id, maxCommitAttempts)
}

func (p *Planner) confirmation(ctx context.Context, plan Plan, committed qhhead.Head, alreadyCommitted bool) Confirmation {
	p.recordCommitted(ctx, plan.ID, committed)
	return Confirmation{Plan: plan.ID, Version: committed.Version, AlreadyCommitted: alreadyCommitted, Base: plan.Base}
}

// headMovedError is the error of a commit whose base is no longer the head. The
// head may have been moved by another commit of the same plan.
type headMovedError struct{ error }

// Unwrap returns the error of the commit.
func (e headMovedError) Unwrap() error { return e.error }

func isHeadMoved(err error) bool { return errors.As(err, &headMovedError{}) }

// commit applies the plan to the given head and commits the result as the next
// version. The error is a headMovedError if the head changed since it was read.
func (p *Planner) commit(ctx context.Context, plan Plan, head qhhead.Head, author string) (qhhead.Head, error) {
	config, err := p.configAfter(ctx, plan, head)
	if err != nil {
		return qhhead.Head{}, err
	}
	committed, err := p.chain.Commit(ctx, qhhead.Change{
		Base:   head,
		Config: config,
		Plan:   plan.ID,
		Author: author,
		Reason: plan.Reason,
		Time:   p.now().UTC(),
	})
	if qherr.Is(err, qherr.Conflict) || qherr.Is(err, qherr.Refused) {
		// The configuration is valid, so Refused means that a concurrent confirm has
		// committed this plan with another configuration, which also moved the head.
		return qhhead.Head{}, headMovedError{err}
	}
	return committed, err
}

// configAfter applies the plan to the head's configuration and validates the
// result.
func (p *Planner) configAfter(ctx context.Context, plan Plan, head qhhead.Head) (qhconfig.Config, error) {
	config, err := p.mergeIntoHead(ctx, plan, head)
	if err != nil {
		return qhconfig.Config{}, err
	}
	return config, config.Check()
}

// mergeIntoHead applies the plan's diff to the head's configuration, rebasing
// the plan if the head is newer than its base.
func (p *Planner) mergeIntoHead(ctx context.Context, plan Plan, head qhhead.Head) (qhconfig.Config, error) {
	if head.Version < plan.Base {
		return qhconfig.Config{}, qherr.New(qherr.Unavailable, nil, "confirm it again in a moment",
			"the platform returned version %d, which is older than the base %d of plan %s", head.Version, plan.Base, plan.ID)
	}
	config, _, err := p.chain.Load(ctx, head)
	if err != nil {
		return qhconfig.Config{}, err
	}
	if head.Version == plan.Base && head.RecordDigest == plan.BaseRecordDigest {
		return plan.Diff.Apply(config)
	}
	base, _, err := p.chain.Load(ctx, qhhead.Head{Version: plan.Base, RecordDigest: plan.BaseRecordDigest})
	if qherr.Is(err, qherr.NotFound) {
		return qhconfig.Config{}, plan.conflictError(head.Version, "its base was pruned")
	}
	if err != nil {
		return qhconfig.Config{}, err
	}
	return plan.rebase(base, config, head.Version)
}

// findCommitted searches every version after the plan's base for the one that
// the plan created, and reports whether there is one. The error is of kind
// Conflict if this cannot be determined because there are more than limit such
// versions or some were pruned.
func (p *Planner) findCommitted(ctx context.Context, plan Plan, head qhhead.Head, limit int) (qhhead.Head, bool, error) {
	if head.Version <= plan.Base {
		return qhhead.Head{}, false, nil
	}
	behind := int(head.Version - plan.Base)
	if behind > limit {
		return qhhead.Head{}, false, plan.conflictError(head.Version, "this is too far back to determine whether the plan has taken effect")
	}
	records, err := p.chain.History(ctx, head, behind)
	if err != nil {
		return qhhead.Head{}, false, err
	}
	digest := head.RecordDigest
	for _, record := range records {
		if record.Plan == plan.ID {
			return qhhead.Head{Version: record.Version, RecordDigest: digest, Plan: plan.ID}, true, nil
		}
		digest = record.PreviousDigest
	}
	if len(records) < behind {
		return qhhead.Head{}, false, plan.conflictError(head.Version, "versions in between were pruned, so whether the plan has taken effect cannot be determined")
	}
	return qhhead.Head{}, false, nil
}

// recordCommitted stores in the plan which version it created, for later
// lookups. Failures are ignored because the version chain has the same
// information.
func (p *Planner) recordCommitted(ctx context.Context, id qhid.Plan, head qhhead.Head) {
	plan, revision, err := p.get(ctx, id)
	if err != nil || plan.Committed != nil {
		return
	}
	plan.Committed = &CommittedVersion{Version: head.Version, RecordDigest: head.RecordDigest}
	data, err := encode(plan)
	if err != nil {
		return
	}
	_, _ = p.store.Update(ctx, planKey(id), data, revision) // the version chain has the same information
}

// confirmError replaces errors of the kinds Unavailable and Unknown by ones that
// state whether the plan may have taken effect and how to proceed.
func confirmError(id qhid.Plan, err error) error {
	switch qherr.KindOf(err) {
	case qherr.Unavailable:
		return qherr.New(qherr.Unavailable, err, "nothing was changed, confirm it again when the platform is available", "plan %s was not confirmed", id)
	case qherr.Unknown:
		return qherr.New(qherr.Unknown, nil, "confirm it again, which is safe because it takes effect at most once, or run qhctl explain "+string(id),
			"the platform's response was lost: plan %s may or may not be in effect", id)
	default:
		return err
	}
}
