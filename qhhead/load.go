package qhhead

import (
	"context"
	"slices"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// maxDepth is how many versions share the parts of one before them.
const maxDepth = 16

// Load returns the configuration and the record of the head's version. It
// reads only what changed since the version that was loaded last, where that
// is near. NotFound says that the version was pruned meanwhile.
func (c *Chain) Load(ctx context.Context, head Head) (qhconfig.Config, Record, error) {
	if head.Version == 0 {
		return qhconfig.Config{}, Record{}, nil
	}
	version, err := c.load(ctx, head)
	return version.config, version.record, err
}

func (c *Chain) load(ctx context.Context, head Head) (loaded, error) {
	if head.Version == 0 {
		return loaded{}, nil
	}
	known := c.known()
	if head.RecordDigest == known.digest {
		return known, nil
	}
	version, later, err := c.base(ctx, head, known)
	if err != nil {
		return loaded{}, err
	}
	for _, next := range slices.Backward(later) {
		if version, err = version.apply(next); err != nil {
			return loaded{}, err
		}
	}
	if err := version.check(head); err != nil {
		return loaded{}, err
	}
	c.keep(version)
	return version, nil
}

// named is a record with its digest.
type named struct {
	digest qhid.Digest
	record Record
}

// base walks back from the head to a version that can be had whole: the known
// one, or one with parts. It returns the records after that, newest first.
func (c *Chain) base(ctx context.Context, head Head, known loaded) (loaded, []named, error) {
	var later []named
	for digest := head.RecordDigest; len(later) <= maxDepth; {
		record, err := c.record(ctx, digest)
		if err != nil {
			return loaded{}, nil, err
		}
		next := named{digest: digest, record: record}
		if record.Diff != nil && record.PreviousDigest == known.digest && known.digest != "" {
			return known, append(later, next), nil
		}
		if record.Depth == 0 {
			version, err := c.whole(ctx, next)
			return version, later, err
		}
		later = append(later, next)
		digest = record.PreviousDigest
	}
	return loaded{}, nil, qherr.New(qherr.Internal, nil, "restore the records on the platform",
		"version %d has no parts within %d versions", head.Version, maxDepth)
}

// whole returns the version of a record with parts.
func (c *Chain) whole(ctx context.Context, next named) (loaded, error) {
	parts := make([]part, len(next.record.Parts))
	for i, digest := range next.record.Parts {
		var err error
		if parts[i], err = read[part](ctx, c.store, partPrefix, digest); err != nil {
			return loaded{}, err
		}
	}
	return loaded{digest: next.digest, record: next.record, config: join(parts), parts: next.record.Parts}, nil
}

// apply returns the next version, which is not checked yet.
func (l loaded) apply(next named) (loaded, error) {
	if next.record.Diff == nil {
		return loaded{}, qherr.New(qherr.Internal, nil, "restore the record on the platform",
			"the record of version %d has neither parts nor a difference", next.record.Version)
	}
	parts := l.parts
	if next.record.Depth == 0 {
		parts = next.record.Parts
	}
	config := next.record.Diff.Merge(l.config)
	return loaded{digest: next.digest, record: next.record, config: config, parts: parts}, nil
}

// check returns an error unless the version is the head's and has the digest
// of its record. Whatever it was put together from needs no check of its own.
func (l loaded) check(head Head) error {
	if l.record.Version != head.Version {
		return qherr.New(qherr.Internal, nil, "restore the head on the platform",
			"the head names version %d with the record of version %d", head.Version, l.record.Version)
	}
	if digest := l.config.Digest(); digest != l.record.ConfigDigest {
		return qherr.New(qherr.Internal, nil, "restore the records and parts on the platform",
			"version %d has digest %s, not %s", l.record.Version, digest, l.record.ConfigDigest)
	}
	return nil
}

func (c *Chain) known() loaded {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// keep remembers the version where it is newer.
func (c *Chain) keep(version loaded) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version.record.Version >= c.loaded.record.Version {
		c.loaded = version
	}
}
