// Package qhhead keeps the chain of configuration versions on the platform.
//
// One head object names the newest record. A record has what a version changed
// and names the record before it, and every few versions it also names the
// parts that hold the whole configuration. Records and parts are stored under
// the digests of their bytes and are written first. The head is moved last, by
// a conditional update, so that a reader of the head finds all of a version.
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

// Keys of the chain's objects on the platform.
const (
	headKey                     = qhplatform.Key("head")
	recordPrefix qhplatform.Key = "record/"
	partPrefix   qhplatform.Key = "part/"
)

// Head names the newest version.
type Head struct {
	Version qhid.Version `json:"version"`
	// RecordDigest is the digest of the version's record.
	RecordDigest qhid.Digest `json:"record"`
	// Plan is the plan that made the version.
	Plan qhid.Plan `json:"plan"`
	// Revision is that of the head object; 0 where the version is not the
	// newest any more. It also grows when old versions are pruned.
	Revision qhplatform.Revision `json:"revision,omitempty"`
}

// same tells whether both name the same version.
func (h Head) same(other Head) bool {
	return h.Version == other.Version && h.RecordDigest == other.RecordDigest
}

// Record is what the platform keeps of one version.
type Record struct {
	Version qhid.Version `json:"version"`
	Plan    qhid.Plan    `json:"plan"`
	Author  string       `json:"author"`
	Reason  string       `json:"reason,omitempty"`
	Time    time.Time    `json:"time"`
	// PreviousDigest is the digest of the record before; empty for the first.
	PreviousDigest qhid.Digest `json:"previous,omitempty"`
	// ConfigDigest is the digest of the whole configuration.
	ConfigDigest qhid.Digest `json:"config"`
	// Depth is how many versions back the parts were written; 0 for this one.
	Depth int `json:"depth,omitempty"`
	// Parts are the digests of the parts of the configuration, where Depth is 0.
	Parts []qhid.Digest `json:"parts,omitempty"`
	// Diff is what the version changed. It is always there where Depth is not 0,
	// and may be left out for its size otherwise.
	Diff *qhconfig.Diff `json:"diff,omitempty"`
}

// Options are the options of New.
type Options struct {
	Store qhplatform.Store
}

// Chain reads and moves the chain of versions. It is safe for several goroutines.
type Chain struct {
	store qhplatform.Store
	// partSize is the size that parts have on average at most.
	partSize qhid.Bytes
	// maxDiff bounds the difference that a record has in it.
	maxDiff qhid.Bytes

	mu sync.Mutex
	// loaded is the version that was loaded or committed last.
	loaded loaded
}

// loaded is a version with its configuration.
type loaded struct {
	digest qhid.Digest
	record Record
	config qhconfig.Config
	// parts are those of the record Depth versions back.
	parts []qhid.Digest
}

// New returns the chain on the store.
func New(opts Options) *Chain {
	return &Chain{store: opts.Store, partSize: partSize, maxDiff: maxDiff}
}

// Read returns the head as the platform tells it, or a zero Head where no
// version was ever committed. The platform may tell an old head.
func (c *Chain) Read(ctx context.Context) (Head, error) {
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
		return Head{}, qherr.New(qherr.Internal, err, "use a release that can read it", "the head on the platform cannot be read")
	}
	head.Revision = object.Revision
	return head, nil
}

func encodeHead(head Head) ([]byte, error) {
	head.Revision = 0
	return json.Marshal(head)
}

// Watch waits until the platform has a newer version than after and returns
// its head. A watch that ends without news is backed by a read, so that one
// that went silent delays news by the watch's bound and does not hide it.
// An error of kind Unavailable is returned for the caller to wait before it
// watches again.
func (c *Chain) Watch(ctx context.Context, after Head) (Head, error) {
	revision := after.Revision
	for ctx.Err() == nil {
		object, err := c.store.Watch(ctx, headKey, revision)
		silent := qherr.Is(err, qherr.Unavailable) && ctx.Err() == nil
		if qherr.Is(err, qherr.NotFound) || silent {
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
	return Head{}, qherr.New(qherr.Unavailable, ctx.Err(), "watch again", "the watch of the head was ended")
}

// History returns the records from the head's back, newest first, at most
// limit. It ends early where older ones were pruned.
func (c *Chain) History(ctx context.Context, head Head, limit int) ([]Record, error) {
	var records []Record
	for digest := head.RecordDigest; digest != "" && len(records) < limit; {
		record, err := c.record(ctx, digest)
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

// record returns the record of the digest, or NotFound.
func (c *Chain) record(ctx context.Context, digest qhid.Digest) (Record, error) {
	return read[Record](ctx, c.store, recordPrefix, digest)
}

// read returns an object that is stored under its digest, or NotFound.
func read[T any](ctx context.Context, store qhplatform.Store, prefix qhplatform.Key, digest qhid.Digest) (T, error) {
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
		return none, qherr.New(qherr.Internal, err, "use a release that can read it", "%s%s cannot be read", prefix, digest)
	}
	return value, nil
}
