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

// shards is the number of lists that each kind of object is read in, by the
// first digit of its digest.
const shards = 16

// PruneResult is what Prune deleted.
type PruneResult struct {
	Records int        `json:"records"`
	Parts   int        `json:"parts"`
	Size    qhid.Bytes `json:"size"`
	// NotDeleted counts unused objects that could not be deleted now.
	NotDeleted int `json:"left"`
}

// Prune deletes the records and parts that none of the newest versions uses.
//
// It promises that the newest keep versions stay whole, and that every version
// committed by Commit meanwhile or later is whole, however long its commit was
// paused and whichever answers were lost. It does not promise that all unused
// objects go: those of commits that ended half-way after it began, and those
// whose deletion failed, stay for the next time. A reader of a head older than
// the kept ones meets NotFound and has to read the head again.
//
// The order makes it safe: it lists what there is, then writes the head anew
// so that every commit that began before fails at the head and begins again,
// then deletes what was listed and is not used, each at the revision listed. A
// commit that began after that write gives whatever it uses a new revision.
func (c *Chain) Prune(ctx context.Context, keep int) (PruneResult, error) {
	if keep < 1 {
		return PruneResult{}, qherr.New(qherr.BadInput, nil, "keep at least 1", "%d versions to keep", keep)
	}
	listed, err := c.list(ctx)
	if err != nil {
		return PruneResult{}, err
	}
	head, err := c.fence(ctx)
	if err != nil || head.Version == 0 {
		return PruneResult{}, err
	}
	used, err := c.used(ctx, head, keep)
	if err != nil {
		return PruneResult{}, err
	}
	var pruned PruneResult
	for _, object := range listed {
		if !used[object.key] {
			pruned.add(object, c.store.Delete(ctx, object.key, object.revision))
		}
	}
	return pruned, nil
}

// stored is an object on the platform without its value.
type stored struct {
	key      qhplatform.Key
	revision qhplatform.Revision
	size     qhid.Bytes
}

func (p *PruneResult) add(object stored, err error) {
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

// list returns all records and parts.
func (c *Chain) list(ctx context.Context) ([]stored, error) {
	var all []stored
	for _, prefix := range []qhplatform.Key{recordPrefix, partPrefix} {
		for shard := range shards {
			objects, err := c.store.List(ctx, prefix+qhplatform.Key(fmt.Sprintf("%x", shard)))
			if err != nil {
				return nil, err
			}
			for _, object := range objects {
				all = append(all, stored{key: object.Key, revision: object.Revision, size: qhid.Bytes(len(object.Value))})
			}
		}
	}
	return all, nil
}

// fence writes the head anew as it is, so that its revision grows, and returns
// it. Only an answered write counts: it shows that the head was the newest.
func (c *Chain) fence(ctx context.Context) (Head, error) {
	wait := newWait()
	var err error
	for range maxTries {
		var head Head
		head, err = c.Read(ctx)
		if err != nil || head.Version == 0 {
			return Head{}, err
		}
		head.Revision, err = c.move(ctx, head, head)
		if err == nil {
			return head, nil
		}
		if kind := qherr.KindOf(err); kind != qherr.Conflict && kind != qherr.Unknown {
			return Head{}, err
		}
		if !qhgroup.Sleep(ctx, wait.NextBackOff()) {
			break
		}
	}
	return Head{}, qherr.New(qherr.Unavailable, err, "prune again later", "the head was not written anew, and nothing was deleted")
}

// used returns the keys of the objects that the newest versions use: their
// records, those back to the parts of the oldest, and these parts.
func (c *Chain) used(ctx context.Context, head Head, keep int) (map[qhplatform.Key]bool, error) {
	used := make(map[qhplatform.Key]bool)
	whole := false
	for digest := head.RecordDigest; digest != "" && (keep > 0 || !whole); keep-- {
		record, err := c.record(ctx, digest)
		if qherr.Is(err, qherr.NotFound) && whole {
			break // pruned before, when fewer were kept
		}
		if err != nil {
			return nil, err
		}
		used[recordPrefix+qhplatform.Key(digest)] = true
		for _, part := range record.Parts {
			used[partPrefix+qhplatform.Key(part)] = true
		}
		whole = record.Depth == 0
		digest = record.PreviousDigest
	}
	if !whole {
		return nil, qherr.New(qherr.Internal, nil, "restore the records on the platform", "the oldest kept version is not whole; nothing was deleted")
	}
	return used, nil
}
