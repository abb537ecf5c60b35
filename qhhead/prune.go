package qhhead

import (
	"context"
	"fmt"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// listShards is the number of list calls per kind of object, one for each first
// digit of the digests.
const listShards = 16

// PruneResult reports what Prune deleted.
type PruneResult struct {
	Records int        `json:"records"`
	Parts   int        `json:"parts"`
	Size    qhid.Bytes `json:"size"`
	// NotDeleted is the number of unused objects whose deletion failed.
	NotDeleted int `json:"left"`
}

// Prune deletes the records and parts that are not used by the newest versions.
//
// It guarantees that the newest keep versions remain complete, and that every
// version committed by Commit during or after the prune is complete, however
// long its commit was paused and whichever responses were lost. It does not
// guarantee that all unused objects are deleted: those of commits that failed
// after the prune began, and those whose deletion failed, remain until the next
// prune. Loading a version older than the kept ones returns an error of kind
// NotFound, and the reader has to read the head again.
//
// The order of the steps makes this safe: Prune lists all objects, then
// rewrites the head so that every commit that began before fails at the head
// and starts over, then deletes the unused objects, each only at the listed
// revision. A commit that starts after the rewrite gives every object that it
// uses a new revision.
func (c *Chain) Prune(ctx context.Context, keep int) (PruneResult, error) {
	if keep < 1 {
		return PruneResult{}, qherr.New(qherr.BadInput, nil, "keep at least 1", "%d is not a valid number of versions to keep", keep)
	}
	listed, err := c.listObjects(ctx)
	if err != nil {
		return PruneResult{}, err
	}
	head, err := c.bumpHeadRevision(ctx)
	if err != nil || head.Version == 0 {
		return PruneResult{}, err
	}
	usedKeys, err := c.usedKeys(ctx, head, keep)
	if err != nil {
		return PruneResult{}, err
	}
	var pruned PruneResult
	for _, object := range listed {
		if !usedKeys[object.key] {
			pruned.add(object, c.store.Delete(ctx, object.key, object.revision))
		}
	}
	return pruned, nil
}

// storedObject is an object on the platform without its value.
type storedObject struct {
	key      qhplatform.Key
	revision qhplatform.Revision
	size     qhid.Bytes
}

func (p *PruneResult) add(object storedObject, err error) {
	switch {
	case err != nil:
		p.NotDeleted++
		return
	case strings.HasPrefix(string(object.key), string(partPrefix)):
		p.Parts++
	default:
		p.Records++
	}
	p.Size += object.size
}

// listObjects returns all records and parts.
func (c *Chain) listObjects(ctx context.Context) ([]storedObject, error) {
	var all []storedObject
	for _, prefix := range []qhplatform.Key{recordPrefix, partPrefix} {
		for shard := range listShards {
			objects, err := c.store.List(ctx, prefix+qhplatform.Key(fmt.Sprintf("%x", shard)))
			if err != nil {
				return nil, err
			}
			for _, object := range objects {
				all = append(all, storedObject{key: object.Key, revision: object.Revision, size: qhid.Bytes(len(object.Value))})
			}
		}
	}
	return all, nil
}

// bumpHeadRevision rewrites the unchanged head to increase its revision, and
// returns it. It retries until a write is acknowledged, because only that proves
// that the head was the newest.
func (c *Chain) bumpHeadRevision(ctx context.Context) (Head, error) {
	delays := newBackoff()
	var err error
	for range maxAttempts {
		var head Head
		head, err = c.ReadHead(ctx)
		if err != nil || head.Version == 0 {
			return Head{}, err
		}
		head.Revision, err = c.writeHead(ctx, head, head)
		if err == nil {
			return head, nil
		}
		if kind := qherr.KindOf(err); kind != qherr.Conflict && kind != qherr.Unknown {
			return Head{}, err
		}
		if !qhgroup.Sleep(ctx, delays.NextBackOff()) {
			break
		}
	}
	return Head{}, qherr.New(qherr.Unavailable, err, "prune again later", "the head cannot be rewritten; nothing was deleted")
}

// usedKeys returns the keys of the objects that the newest keep versions use:
// their records, the records back to the parts of the oldest, and these parts.
func (c *Chain) usedKeys(ctx context.Context, head Head, keep int) (map[qhplatform.Key]bool, error) {
	usedKeys := make(map[qhplatform.Key]bool)
	complete := false
	for digest := head.RecordDigest; digest != "" && (keep > 0 || !complete); keep-- {
		record, err := c.readRecord(ctx, digest)
		if qherr.Is(err, qherr.NotFound) && complete {
			break // pruned earlier with a smaller keep
		}
		if err != nil {
			return nil, err
		}
		usedKeys[recordPrefix+qhplatform.Key(digest)] = true
		for _, part := range record.Parts {
			usedKeys[partPrefix+qhplatform.Key(part)] = true
		}
		complete = record.Depth == 0
		digest = record.PreviousDigest
	}
	if !complete {
		return nil, qherr.New(qherr.Internal, nil, "restore the records on the platform", "the oldest kept version is not complete; nothing was deleted")
	}
	return usedKeys, nil
}
