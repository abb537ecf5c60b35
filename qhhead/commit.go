package qhhead

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

const (
	// maxAttempts bounds the attempts of a commit, of the write of an object and
	// of the rewrite of the head by Prune.
	maxAttempts = 8
	// maxInlineDiff is the largest encoded diff that is stored in a record.
	maxInlineDiff qhid.Bytes = 16 << 10
)

// Change describes a version to commit.
type Change struct {
	// Base is the head from which the change was made, as returned by
	// ReadHead; zero for the first version.
	Base Head
	// Config is the full configuration of the new version.
	Config qhconfig.Config
	// Plan is unique to the change and identifies it when the commit is
	// retried.
	Plan   qhid.Plan
	Author string
	Reason string
	Time   time.Time
}

// Commit writes the version, moves the head to it and returns the head of the
// version. A plan that is already committed is not committed again: its head is
// returned, with Revision 0 if a newer version followed.
//
// It returns errors of the kinds Refused (invalid configuration), BadInput (too
// large), Conflict (another version followed the base), Unavailable (nothing
// was committed) and Unknown (the platform responded neither to the write nor
// to the reads after it; committing again with the same plan resolves it).
func (c *Chain) Commit(ctx context.Context, change Change) (Head, error) {
	if change.Plan == "" {
		return Head{}, qherr.New(qherr.BadInput, nil, "give the plan an ID", "the commit has no plan")
	}
	if err := change.Config.Check(); err != nil {
		return Head{}, err
	}
	attempt := commitAttempt{Change: change}
	delays := newBackoff()
	for range maxAttempts {
		head, err := c.tryCommit(ctx, attempt)
		if err == nil {
			return head, nil
		}
		if !attempt.shouldRetry(err) {
			return Head{}, attempt.finalError(err)
		}
		if !qhgroup.Sleep(ctx, delays.NextBackOff()) {
			break
		}
	}
	return Head{}, attempt.finalError(qherr.New(qherr.Unavailable, ctx.Err(), "confirm it again later",
		"plan %s did not take effect", change.Plan))
}

// commitAttempt is a change and what the attempts to commit it have shown so far.
type commitAttempt struct {
	Change
	// mayHaveCommitted is set once a write of the head had an unknown outcome
	// or a conflict.
	mayHaveCommitted bool
}

// shouldRetry records the outcome of an attempt and reports whether to retry
// it.
func (a *commitAttempt) shouldRetry(err error) bool {
	kind := qherr.KindOf(err)
	if kind == qherr.Unknown || isHeadConflict(err) {
		a.mayHaveCommitted = true
		return true
	}
	return kind == qherr.NotFound || (kind == qherr.Unavailable && a.mayHaveCommitted)
}

// finalError returns err, or an error of kind Unknown if err leaves open
// whether the change was committed.
func (a *commitAttempt) finalError(err error) error {
	kind := qherr.KindOf(err)
	if !a.mayHaveCommitted || kind == qherr.Conflict || kind == qherr.Refused {
		return err
	}
	return qherr.New(qherr.Unknown, err, "confirm it again: it takes effect once at most",
		"plan %s may or may not have taken effect", a.Plan)
}

// tryCommit attempts the commit once. It reads the head before it writes
// anything, so that the revision required by the write of the head is older
// than all parts of the version.
func (c *Chain) tryCommit(ctx context.Context, attempt commitAttempt) (Head, error) {
	head, err := c.ReadHead(ctx)
	if err != nil {
		return Head{}, err
	}
	base := attempt.Base
	if head.Version > base.Version || (head.Version == base.Version && !head.sameVersion(base)) {
		return c.findPlan(ctx, attempt, head)
	}
	if head.sameVersion(base) {
		base.Revision = max(base.Revision, head.Revision)
	}
	version, err := c.writeVersion(ctx, attempt.Change)
	if err != nil {
		return Head{}, errorBeforeHead(err)
	}
	next := Head{Version: version.record.Version, RecordDigest: version.digest, Plan: attempt.Plan}
	next.Revision, err = c.writeHead(ctx, base, next)
	if err != nil {
		return Head{}, err
	}
	c.cacheVersion(version)
	return next, nil
}

// errorBeforeHead turns an unknown outcome of a write that precedes the write of
// the head into Unavailable. Whether that write took effect does not matter,
// because nothing refers to its object yet.
func errorBeforeHead(err error) error {
	if qherr.Is(err, qherr.Unknown) {
		return qherr.New(qherr.Unavailable, err, "try again", "the version was not written completely")
	}
	return err
}

// headConflict is the error of a conditional write of the head whose revision had
// changed: another version followed, this one was committed although the response
// was lost, or old versions were pruned.
type headConflict struct{ error }

// Unwrap returns the wrapped error of kind Conflict.
func (c headConflict) Unwrap() error { return c.error }

func isHeadConflict(err error) bool { return errors.As(err, &headConflict{}) }

// writeHead writes next as the head if the head still has the revision of the
// base, and returns the new revision.
func (c *Chain) writeHead(ctx context.Context, base, next Head) (qhplatform.Revision, error) {
	data, err := encodeHead(next)
	if err != nil {
		return 0, err
	}
	var revision qhplatform.Revision
	switch {
	case base.Version == 0:
		revision, err = c.store.Create(ctx, headKey, data)
	case base.Revision == 0:
		return 0, qherr.New(qherr.Unavailable, nil, "try again later", "the platform returned an old head")
	default:
		revision, err = c.store.Update(ctx, headKey, data, base.Revision)
	}
	if qherr.Is(err, qherr.Conflict) {
		return 0, headConflict{err}
	}
	return revision, err
}

// findPlan looks for the plan among the versions after its base and returns the
// head of its version. If the plan was committed, it is found there, because only
// pruning removes versions from the chain.
func (c *Chain) findPlan(ctx context.Context, attempt commitAttempt, head Head) (Head, error) {
	for digest := head.RecordDigest; digest != ""; {
		record, err := c.readRecord(ctx, digest)
		if qherr.Is(err, qherr.NotFound) {
			return Head{}, attempt.basePrunedError(head)
		}
		if err != nil {
			return Head{}, err
		}
		if record.Plan == attempt.Plan {
			return committedHead(attempt.Change, head, storedRecord{digest: digest, record: record})
		}
		if record.Version <= attempt.Base.Version+1 {
			break
		}
		digest = record.PreviousDigest
	}
	return Head{}, qherr.New(qherr.Conflict, nil, "make a new plan from the newest version",
		"plan %s was made from version %d, and version %d followed", attempt.Plan, attempt.Base.Version, head.Version)
}

// basePrunedError returns the error of a plan whose base was pruned, so that the
// chain no longer shows whether the plan was committed.
func (a *commitAttempt) basePrunedError(head Head) error {
	kind := qherr.Conflict
	if a.mayHaveCommitted {
		kind = qherr.Unknown
	}
	return qherr.New(kind, nil, "compare with the newest version and make a new plan from it",
		"plan %s was made from version %d, which was pruned before version %d", a.Plan, a.Base.Version, head.Version)
}

// committedHead returns the head of the version that the plan created.
func committedHead(change Change, current Head, version storedRecord) (Head, error) {
	if version.record.ConfigDigest != change.Config.Digest() {
		return Head{}, qherr.New(qherr.Refused, nil, "make a new plan",
			"plan %s already created version %d with a different configuration", change.Plan, version.record.Version)
	}
	head := Head{Version: version.record.Version, RecordDigest: version.digest, Plan: change.Plan}
	if head.sameVersion(current) {
		return current, nil
	}
	return head, nil
}

// writeVersion writes all objects of the version except the head.
func (c *Chain) writeVersion(ctx context.Context, change Change) (loadedVersion, error) {
	base, err := c.loadVersion(ctx, change.Base)
	if err != nil {
		return loadedVersion{}, err
	}
	record, parts, err := c.buildRecord(change, base)
	if err != nil {
		return loadedVersion{}, err
	}
	for _, part := range parts {
		if slices.Contains(base.parts, part.digest) {
			continue
		}
		if err := c.ensureObject(ctx, partPrefix, part); err != nil {
			return loadedVersion{}, err
		}
	}
	object, err := encode(record)
	if err != nil {
		return loadedVersion{}, err
	}
	if err := c.ensureObject(ctx, recordPrefix, object); err != nil {
		return loadedVersion{}, err
	}
	version := loadedVersion{digest: object.digest, record: record, config: change.Config, parts: base.parts}
	if record.Depth == 0 {
		version.parts = record.Parts
	}
	return version, nil
}

// buildRecord returns the record of the change. It also returns the parts of the
// configuration for the first version, if the diff is too large for the record, and
// at least once in maxDepth versions.
func (c *Chain) buildRecord(change Change, base loadedVersion) (Record, []encodedObject, error) {
	diff := qhconfig.Compare(base.config, change.Config)
	diff.Base, diff.Next = change.Base.Version, change.Base.Version+1
	record := Record{
		Version:        change.Base.Version + 1,
		Plan:           change.Plan,
		Author:         change.Author,
		Reason:         change.Reason,
		Time:           change.Time,
		PreviousDigest: change.Base.RecordDigest,
		ConfigDigest:   diff.Digest,
		Diff:           &diff,
		Depth:          base.record.Depth + 1,
	}
	data, err := json.Marshal(diff)
	if err != nil {
		return Record{}, nil, err
	}
	tooLarge := len(data) > int(c.maxInlineDiff)
	if tooLarge {
		record.Diff = nil
	}
	if !tooLarge && change.Base.Version > 0 && record.Depth < maxDepth {
		return record, nil, nil
	}
	parts, err := splitIntoParts(change.Config, c.maxMeanPartSize)
	record.Depth = 0
	for _, part := range parts {
		record.Parts = append(record.Parts, part.digest)
	}
	return record, parts, err
}
