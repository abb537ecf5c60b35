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
	// maxTries bounds the tries of one write.
	maxTries = 8
	// maxDiff bounds the difference that a record has in it.
	maxDiff qhid.Bytes = 16 << 10
)

// Change is a version to commit.
type Change struct {
	// Base is the head that the change was made from, as it was read; zero for
	// the first version.
	Base Head
	// Config is the whole configuration of the new version.
	Config qhconfig.Config
	// Plan is unique to the change, and names it when it is committed again.
	Plan   qhid.Plan
	Author string
	Reason string
	Time   time.Time
}

// Commit writes the version and moves the head to it, and returns the version's
// head. A plan that is in effect already is not committed again: its head is
// returned, with Revision 0 where a newer version followed.
//
// The errors are Refused (a bad configuration), BadInput (too large), Conflict
// (another version followed the base), Unavailable (nothing took effect) and
// Unknown (the platform answered neither the write nor the questions after it;
// committing again settles it).
func (c *Chain) Commit(ctx context.Context, change Change) (Head, error) {
	if change.Plan == "" {
		return Head{}, qherr.New(qherr.BadInput, nil, "name the plan", "a commit without a plan")
	}
	if err := change.Config.Check(); err != nil {
		return Head{}, err
	}
	try := attempt{Change: change}
	wait := newWait()
	for range maxTries {
		head, err := c.advance(ctx, try)
		if err == nil {
			return head, nil
		}
		if !try.again(err) {
			return Head{}, try.outcome(err)
		}
		if !qhgroup.Sleep(ctx, wait.NextBackOff()) {
			break
		}
	}
	return Head{}, try.outcome(qherr.New(qherr.Unavailable, ctx.Err(), "confirm it again later",
		"plan %s did not take effect", change.Plan))
}

// attempt is a change on its way into effect.
type attempt struct {
	Change
	// unsure is set from when on the change may have taken effect.
	unsure bool
}

// again takes in the error of a try and tells whether to try again.
func (a *attempt) again(err error) bool {
	kind := qherr.KindOf(err)
	if kind == qherr.Unknown || isOvertaken(err) {
		a.unsure = true
		return true
	}
	return kind == qherr.NotFound || (kind == qherr.Unavailable && a.unsure)
}

// outcome is err, or Unknown where err leaves open whether the change took effect.
func (a *attempt) outcome(err error) error {
	kind := qherr.KindOf(err)
	if !a.unsure || kind == qherr.Conflict || kind == qherr.Refused {
		return err
	}
	return qherr.New(qherr.Unknown, err, "confirm it again: it takes effect once at most",
		"plan %s may or may not have taken effect", a.Plan)
}

// advance tries the change once. It reads the head before it writes anything,
// so that the revision in the head's condition is older than all of its parts.
func (c *Chain) advance(ctx context.Context, try attempt) (Head, error) {
	head, err := c.Read(ctx)
	if err != nil {
		return Head{}, err
	}
	base := try.Base
	if head.Version > base.Version || (head.Version == base.Version && !head.same(base)) {
		return c.find(ctx, try, head)
	}
	if head.same(base) {
		base.Revision = max(base.Revision, head.Revision)
	}
	version, err := c.prepare(ctx, try.Change)
	if err != nil {
		return Head{}, notMoved(err)
	}
	next := Head{Version: version.record.Version, RecordDigest: version.digest, Plan: try.Plan}
	next.Revision, err = c.move(ctx, base, next)
	if err != nil {
		return Head{}, err
	}
	c.keep(version)
	return next, nil
}

// notMoved is the error of a write before that of the head. Whether that write
// took effect does not matter, since nothing refers to it.
func notMoved(err error) error {
	if qherr.Is(err, qherr.Unknown) {
		return qherr.New(qherr.Unavailable, err, "try again", "the version was not written whole")
	}
	return err
}

// overtaken is a write of the head whose condition did not hold. Another
// version may have followed, this one after a lost answer included, or old
// versions were pruned.
type overtaken struct{ error }

// Unwrap returns the conflict.
func (o overtaken) Unwrap() error { return o.error }

func isOvertaken(err error) bool { return errors.As(err, &overtaken{}) }

// move writes the head where it is still at the base.
func (c *Chain) move(ctx context.Context, base, next Head) (qhplatform.Revision, error) {
	data, err := encodeHead(next)
	if err != nil {
		return 0, err
	}
	var revision qhplatform.Revision
	switch {
	case base.Version == 0:
		revision, err = c.store.Create(ctx, headKey, data)
	case base.Revision == 0:
		return 0, qherr.New(qherr.Unavailable, nil, "try again later", "the platform tells an old head")
	default:
		revision, err = c.store.Update(ctx, headKey, data, base.Revision)
	}
	if qherr.Is(err, qherr.Conflict) {
		return 0, overtaken{err}
	}
	return revision, err
}

// find looks for the plan among the versions after its base. One that took
// effect is found there, since nothing takes a version out of the chain.
func (c *Chain) find(ctx context.Context, try attempt, head Head) (Head, error) {
	for digest := head.RecordDigest; digest != ""; {
		record, err := c.record(ctx, digest)
		if qherr.Is(err, qherr.NotFound) {
			return Head{}, try.pruned(head)
		}
		if err != nil {
			return Head{}, err
		}
		if record.Plan == try.Plan {
			return found(try.Change, head, named{digest: digest, record: record})
		}
		if record.Version <= try.Base.Version+1 {
			break
		}
		digest = record.PreviousDigest
	}
	return Head{}, qherr.New(qherr.Conflict, nil, "make the plan anew from the newest version",
		"plan %s was made from version %d, and version %d followed", try.Plan, try.Base.Version, head.Version)
}

// pruned is the error of a plan whose base was pruned, so that the chain does
// not tell any more whether it took effect.
func (a *attempt) pruned(head Head) error {
	kind := qherr.Conflict
	if a.unsure {
		kind = qherr.Unknown
	}
	return qherr.New(kind, nil, "compare with the newest version and make the plan anew",
		"plan %s was made from version %d, which was pruned before version %d", a.Plan, a.Base.Version, head.Version)
}

// found returns the head of the version that the plan made.
func found(change Change, current Head, version named) (Head, error) {
	if version.record.ConfigDigest != change.Config.Digest() {
		return Head{}, qherr.New(qherr.Refused, nil, "make a new plan",
			"plan %s made version %d with another configuration", change.Plan, version.record.Version)
	}
	head := Head{Version: version.record.Version, RecordDigest: version.digest, Plan: change.Plan}
	if head.same(current) {
		return current, nil
	}
	return head, nil
}

// prepare writes all of the version but the head.
func (c *Chain) prepare(ctx context.Context, change Change) (loaded, error) {
	base, err := c.load(ctx, change.Base)
	if err != nil {
		return loaded{}, err
	}
	record, parts, err := c.draft(change, base)
	if err != nil {
		return loaded{}, err
	}
	for _, part := range parts {
		if slices.Contains(base.parts, part.digest) {
			continue
		}
		if err := c.ensure(ctx, partPrefix, part); err != nil {
			return loaded{}, err
		}
	}
	object, err := encode(record)
	if err != nil {
		return loaded{}, err
	}
	if err := c.ensure(ctx, recordPrefix, object); err != nil {
		return loaded{}, err
	}
	version := loaded{digest: object.digest, record: record, config: change.Config, parts: base.parts}
	if record.Depth == 0 {
		version.parts = record.Parts
	}
	return version, nil
}

// draft returns the record of the change, and its parts where it has some.
func (c *Chain) draft(change Change, base loaded) (Record, []encoded, error) {
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
	large := len(data) > int(c.maxDiff)
	if large {
		record.Diff = nil
	}
	if !large && change.Base.Version > 0 && record.Depth < maxDepth {
		return record, nil, nil
	}
	parts, err := split(change.Config, c.partSize)
	record.Depth = 0
	for _, part := range parts {
		record.Parts = append(record.Parts, part.digest)
	}
	return record, parts, err
}
