package qhhead

import (
	"context"
	"slices"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// maxDepth is the number of versions after which the parts are written again. It
// bounds the records read to load a version.
const maxDepth = 16

// Load returns the configuration and the record of the head's version. It reads
// the records back to the version that was loaded or committed last, or to a
// version with parts, whichever is found first. An error of kind NotFound means
// that the version was pruned meanwhile.
func (c *Chain) Load(ctx context.Context, head Head) (qhconfig.Config, Record, error) {
	if head.Version == 0 {
		return qhconfig.Config{}, Record{}, nil
	}
	version, err := c.loadVersion(ctx, head)
	return version.config, version.record, err
}

func (c *Chain) loadVersion(ctx context.Context, head Head) (loadedVersion, error) {
	if head.Version == 0 {
		return loadedVersion{}, nil
	}
	cached := c.cachedVersion()
	if head.RecordDigest == cached.digest {
		return cached, nil
	}
	version, laterRecords, err := c.findBase(ctx, head, cached)
	if err != nil {
		return loadedVersion{}, err
	}
	for _, stored := range slices.Backward(laterRecords) {
		if version, err = version.apply(stored); err != nil {
			return loadedVersion{}, err
		}
	}
	if err := version.verify(head); err != nil {
		return loadedVersion{}, err
	}
	c.cacheVersion(version)
	return version, nil
}

// storedRecord is a record with its digest.
type storedRecord struct {
	digest qhid.Digest
	record Record
}

// findBase walks back from the head to a version whose full configuration is
// available: the cached one, or one with parts. It also returns the records
// after that version, newest first.
func (c *Chain) findBase(ctx context.Context, head Head, cached loadedVersion) (loadedVersion, []storedRecord, error) {
	var laterRecords []storedRecord
	for digest := head.RecordDigest; len(laterRecords) <= maxDepth; {
		record, err := c.readRecord(ctx, digest)
		if err != nil {
			return loadedVersion{}, nil, err
		}
		stored := storedRecord{digest: digest, record: record}
		if record.Diff != nil && record.PreviousDigest == cached.digest && cached.digest != "" {
			return cached, append(laterRecords, stored), nil
		}
		if record.Depth == 0 {
			version, err := c.loadFull(ctx, stored)
			return version, laterRecords, err
		}
		laterRecords = append(laterRecords, stored)
		digest = record.PreviousDigest
	}
	return loadedVersion{}, nil, qherr.New(qherr.Internal, nil, "restore the records on the platform",
		"version %d has no parts within %d versions", head.Version, maxDepth)
}

// loadFull returns the version of a record with parts.
func (c *Chain) loadFull(ctx context.Context, stored storedRecord) (loadedVersion, error) {
	parts := make([]part, len(stored.record.Parts))
	for i, digest := range stored.record.Parts {
		var err error
		if parts[i], err = readObject[part](ctx, c.store, partPrefix, digest); err != nil {
			return loadedVersion{}, err
		}
	}
	return loadedVersion{digest: stored.digest, record: stored.record, config: joinParts(parts), parts: stored.record.Parts}, nil
}

// apply returns the version of the record that follows v. The result is not
// verified yet.
func (v loadedVersion) apply(stored storedRecord) (loadedVersion, error) {
	if stored.record.Diff == nil {
		return loadedVersion{}, qherr.New(qherr.Internal, nil, "restore the record on the platform",
			"the record of version %d has neither parts nor a diff", stored.record.Version)
	}
	parts := v.parts
	if stored.record.Depth == 0 {
		parts = stored.record.Parts
	}
	config := stored.record.Diff.Merge(v.config)
	return loadedVersion{digest: stored.digest, record: stored.record, config: config, parts: parts}, nil
}

// verify returns an error unless the version is the head's and its
// configuration has the digest in its record. The digest covers the result, so
// the objects that it was built from need no check of their own.
func (v loadedVersion) verify(head Head) error {
	if v.record.Version != head.Version {
		return qherr.New(qherr.Internal, nil, "restore the head on the platform",
			"the head names version %d with the record of version %d", head.Version, v.record.Version)
	}
	if digest := v.config.Digest(); digest != v.record.ConfigDigest {
		return qherr.New(qherr.Internal, nil, "restore the records and parts on the platform",
			"version %d has digest %s, expected %s", v.record.Version, digest, v.record.ConfigDigest)
	}
	return nil
}

func (c *Chain) cachedVersion() loadedVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cached
}

// cacheVersion replaces the cached version if the given one is not older.
func (c *Chain) cacheVersion(version loadedVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version.record.Version >= c.cached.record.Version {
		c.cached = version
	}
}
