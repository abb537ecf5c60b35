package qhplan

import (
	"context"
	"errors"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
)

// Confirmation tells what became of a confirm.
type Confirmation struct {
	Plan qhid.Plan `json:"plan"`
	// Version is the one that the plan made.
	Version qhid.Version `json:"version"`
	// AlreadyInEffect tells that the plan was in effect before this confirm.
	AlreadyInEffect bool `json:"before,omitempty"`
	// Base is the version that the plan was made from. Versions between the two
	// are those that it was rebased over.
	Base qhid.Version `json:"base"`
}

const (
	// maxCommitAttempts bounds the versions that may overtake one confirm.
	maxCommitAttempts = 16
	// maxVersionsBehind bounds the versions that a plan may be behind the head when it
	// is confirmed, and so the reads of one confirm.
	maxVersionsBehind = 256
)

// Confirm puts a plan in effect and returns its version. The head moves only
// from the plan's base, or from a newer version where rebase allows it. A plan
// that is in effect already is not put in effect again.
//
// The errors are of the kinds Conflict (the base is gone and both touch the
// same), Refused, NotFound, Unavailable (nothing was changed) and Unknown (the
// plan may be in effect, and confirming again settles it).
func (p *Planner) Confirm(ctx context.Context, id qhid.Plan, author string) (Confirmation, error) {
	plan, err := p.Get(ctx, id)
	if err != nil {
		return Confirmation{}, confirmError(id, err)
	}
	if plan.Committed != nil {
		return Confirmation{Plan: id, Version: plan.Committed.Version, AlreadyInEffect: true, Base: plan.Base}, nil
	}
	for range maxCommitAttempts {
		head, err := p.chain.Read(ctx)
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
		"plan %s was overtaken %d times, and nothing was changed", id, maxCommitAttempts)
}

func (p *Planner) confirmation(ctx context.Context, plan Plan, committed qhhead.Head, alreadyInEffect bool) Confirmation {
	p.recordCommitted(ctx, plan.ID, committed)
	return Confirmation{Plan: plan.ID, Version: committed.Version, AlreadyInEffect: alreadyInEffect, Base: plan.Base}
}

// headMovedError is the error of a commit whose base moved on meanwhile, maybe by
// the same plan.
type headMovedError struct{ error }

// Unwrap returns the error of the commit.
func (e headMovedError) Unwrap() error { return e.error }

func isHeadMoved(err error) bool { return errors.As(err, &headMovedError{}) }

// commit moves the head on by the plan, from the head as it was read.
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
		return qhhead.Head{}, headMovedError{err} // the configuration passed its check in next
	}
	return committed, err
}

// configAfter returns what the plan makes of the head's configuration, checked.
func (p *Planner) configAfter(ctx context.Context, plan Plan, head qhhead.Head) (qhconfig.Config, error) {
	config, err := p.mergeIntoHead(ctx, plan, head)
	if err != nil {
		return qhconfig.Config{}, err
	}
	return config, config.Check()
}

// mergeIntoHead returns the plan's difference put into the head's configuration.
func (p *Planner) mergeIntoHead(ctx context.Context, plan Plan, head qhhead.Head) (qhconfig.Config, error) {
	if head.Version < plan.Base {
		return qhconfig.Config{}, qherr.New(qherr.Unavailable, nil, "confirm it again in a moment",
			"the platform tells version %d, which is older than the base %d of plan %s", head.Version, plan.Base, plan.ID)
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

// findCommitted returns the version that the plan made, where it is in effect. The plan
// is looked for in every version after its base. The error is of kind Conflict
// where these are more than limit or were pruned, so that it can't be told.
func (p *Planner) findCommitted(ctx context.Context, plan Plan, head qhhead.Head, limit int) (qhhead.Head, bool, error) {
	if head.Version <= plan.Base {
		return qhhead.Head{}, false, nil
	}
	behind := int(head.Version - plan.Base)
	if behind > limit {
		return qhhead.Head{}, false, plan.conflictError(head.Version, "that is too far to tell whether the plan took effect before")
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
		return qhhead.Head{}, false, plan.conflictError(head.Version, "versions between the two were pruned, so that it can't be told whether the plan took effect before")
	}
	return qhhead.Head{}, false, nil
}

// recordCommitted notes in the plan which version it made, for whoever asks later.
// The chain tells it too, so that a failure does no harm.
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
	_, _ = p.store.Update(ctx, planKey(id), data, revision) // the chain tells it too
}

// confirmError adds to an error what it means for a confirm.
func confirmError(id qhid.Plan, err error) error {
	switch qherr.KindOf(err) {
	case qherr.Unavailable:
		return qherr.New(qherr.Unavailable, err, "nothing was changed, confirm it again when the platform answers", "plan %s was not confirmed", id)
	case qherr.Unknown:
		return qherr.New(qherr.Unknown, nil, "confirm it again, it takes effect once at most, or ask qhctl explain "+string(id),
			"the platform's answer was lost: plan %s may or may not be in effect", id)
	default:
		return err
	}
}
