// Package qhhead stores the chain of configuration versions on the platform.
//
// A single head object names the newest record. A record holds the diff of a
// version and names the previous record. Every few versions a record also names
// the parts that hold the full configuration. Records and parts are stored
// under the digests of their bytes and are written first. The head is written
// last, by a conditional update, so that a reader of the head finds all objects
// of its version.
package qhhead

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// Keys of the objects on the platform.
const (
	headKey                     = qhplatform.Key("head")
	recordPrefix qhplatform.Key = "record/"
	partPrefix   qhplatform.Key = "part/"
)

// Head names a version, usually the newest.
type Head struct {
	Version qhid.Version `json:"version"`
	// RecordDigest is the digest of the version's record.
	RecordDigest qhid.Digest `json:"record"`
	// Plan is the plan that created the version.
	Plan qhid.Plan `json:"plan"`
	// Revision is the revision of the head object; 0 if the version is no
	// longer the newest. Pruning old versions increases it too.
	Revision qhplatform.Revision `json:"revision,omitempty"`
}

// sameVersion reports whether both heads name the same version.
func (h Head) sameVersion(other Head) bool {
	return h.Version == other.Version && h.RecordDigest == other.RecordDigest
}

// Record describes one version on the platform.
type Record struct {
	Version qhid.Version `json:"version"`
	Plan    qhid.Plan    `json:"plan"`
	Author  string       `json:"author"`
	Reason  string       `json:"reason,omitempty"`
	Time    time.Time    `json:"time"`
	// PreviousDigest is the digest of the previous record; empty for the first.
	PreviousDigest qhid.Digest `json:"previous,omitempty"`
	// ConfigDigest is the digest of the full configuration.
	ConfigDigest qhid.Digest `json:"config"`
	// Depth is the number of versions since the parts were written; 0 if this
	// version wrote them.
	Depth int `json:"depth,omitempty"`
	// Parts lists the digests of the parts of the configuration if Depth is 0.
	Parts []qhid.Digest `json:"parts,omitempty"`
	// Diff is the difference from the previous version. It is always set if
	// Depth is not 0, and may be omitted for its size otherwise.
	Diff *qhconfig.Diff `json:"diff,omitempty"`
}

// Options configures a chain.
type Options struct {
	Store qhplatform.Store
}

// Chain reads and extends the chain of versions. It is safe for concurrent use.
type Chain struct {
	store qhplatform.Store
	// maxMeanPartSize bounds the mean size of the parts of a configuration.
	maxMeanPartSize qhid.Bytes
	// maxInlineDiff is the largest encoded diff that is stored in a record.
	maxInlineDiff qhid.Bytes

	mu sync.Mutex
	// cached is the version that was loaded or committed last.
	cached loadedVersion
}

// loadedVersion is a version with its record and its full configuration.
type loadedVersion struct {
	digest qhid.Digest
	record Record
	config qhconfig.Config
	// parts are the digests of the parts that were written record.Depth
	// versions before.
	parts []qhid.Digest
}

// New returns the chain that is kept in a store.
func New(opts Options) *Chain {
	return &Chain{store: opts.Store, maxMeanPartSize: maxMeanPartSize, maxInlineDiff: maxInlineDiff}
}

// ReadHead returns the head as the platform returns it, which may be out of date,
// or a zero Head if no version was ever committed.
func (c *Chain) ReadHead(ctx context.Context) (Head, error) {
	object, err := c.store.Get(ctx, headKey)
	if qherr.Is(err, qherr.NotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, err
	}
	return decodeHead(object)
}

func decodeHead(object qhplatform.Object) (Head, error) {
	head, err := qhconfig.Decode[Head](object.Value)
	if err != nil || head.Version == 0 {
		return Head{}, qherr.New(qherr.Internal, err, "use a release that can read it", "the head on the platform cannot be decoded")
	}
	head.Revision = object.Revision
	return head, nil
}

func encodeHead(head Head) ([]byte, error) {
	head.Revision = 0
	return json.Marshal(head)
}

// WatchHead waits until the platform has a newer version than after and returns
// its head. If a watch ends without an event or fails, the head is read, so that a
// watch that stopped delivering events delays a version by the timeout of the
// watch but does not hide it. After an error of kind Unavailable, the caller
// should wait before it watches again.
func (c *Chain) WatchHead(ctx context.Context, after Head) (Head, error) {
	revision := after.Revision
	for ctx.Err() == nil {
		object, err := c.store.WatchObject(ctx, headKey, revision)
		watchFailed := qherr.Is(err, qherr.Unavailable) && ctx.Err() == nil
		if qherr.Is(err, qherr.NotFound) || watchFailed {
			object, err = c.store.Get(ctx, headKey)
		}
		if qherr.Is(err, qherr.NotFound) {
			continue
		}
		if err != nil {
			return Head{}, err
		}
		head, err := decodeHead(object)
		if err != nil {
			return Head{}, err
		}
		if head.Version > after.Version {
			return head, nil
		}
		revision = max(revision, head.Revision)
	}
	return Head{}, qherr.New(qherr.Unavailable, ctx.Err(), "watch again", "the watch of the head was cancelled")
}

// History returns up to limit records, starting at the head's and going back in
// time. It returns fewer if older records were pruned.
func (c *Chain) History(ctx context.Context, head Head, limit int) ([]Record, error) {
	var records []Record
	for digest := head.RecordDigest; digest != "" && len(records) < limit; {
		record, err := c.readRecord(ctx, digest)
		if qherr.Is(err, qherr.NotFound) {
			return records, nil
		}
		if err != nil {
			return nil, err
		}
		records = append(records, record)
		digest = record.PreviousDigest
	}
	return records, nil
}

// readRecord returns the record with the digest, or an error of kind NotFound.
func (c *Chain) readRecord(ctx context.Context, digest qhid.Digest) (Record, error) {
	return readObject[Record](ctx, c.store, recordPrefix, digest)
}

// readObject returns the object stored under the digest, or an error of kind
// NotFound.
func readObject[T any](ctx context.Context, store qhplatform.Store, prefix qhplatform.Key, digest qhid.Digest) (T, error) {
	var none T
	object, err := store.Get(ctx, prefix+qhplatform.Key(digest))
	if err != nil {
		return none, err
	}
	if digestOf(object.Value) != digest {
		return none, qherr.New(qherr.Internal, nil, "restore it on the platform",
			"%s%s on the platform does not have its digest", prefix, digest)
	}
	value, err := qhconfig.Decode[T](object.Value)
	if err != nil {
		return none, qherr.New(qherr.Internal, err, "use a release that can read it", "%s%s on the platform cannot be decoded", prefix, digest)
	}
	return value, nil
}
