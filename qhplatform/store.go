// Package qhplatform reaches the platform's object API. Another transport to
// the platform replaces this package only.
package qhplatform

import (
	"context"
	"time"

	"quetzalhaven.dev/qhid"
)

// Key names an object. Its segments are separated by slashes.
type Key string

// Revision orders the writes of one object. It only grows; 0 is no object.
type Revision uint64

// MaxValueSize is the largest value that the platform holds.
const MaxValueSize qhid.Bytes = 1 << 20

// Object is one object as the platform holds it.
type Object struct {
	Key      Key      `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
}

// Listing is the objects whose keys begin with a prefix.
type Listing struct {
	// Objects are ordered by key.
	Objects []Object `json:"objects"`
	// Revision is the revision that the whole listing is of; changes are followed from it.
	Revision Revision `json:"at"`
	// ContinueAfter is the last key of a part that others follow; empty for the last part.
	ContinueAfter Key `json:"-"`
}

// Changes is what happened to the objects whose keys begin with a prefix.
type Changes struct {
	// Objects have their newest states, in the order of the changes. One without
	// a value was deleted.
	Objects []Object `json:"objects"`
	// Revision is the revision to go on from.
	Revision Revision `json:"at"`
}

// Store is the platform's object API. The errors are of the kinds of qherr:
// NotFound, Conflict (the condition did not hold, nothing was written),
// Unavailable (nothing was written), Unknown (the answer was lost: a write may
// or may not be in effect, a reader has to look) and BadInput (too large).
type Store struct {
	// Get returns the object, or NotFound.
	Get func(ctx context.Context, key Key) (Object, error)
	// Create writes a new object, or returns Conflict where one exists.
	Create func(ctx context.Context, key Key, value []byte) (Revision, error)
	// Update replaces the object if it is at the revision, else Conflict.
	Update func(ctx context.Context, key Key, value []byte, at Revision) (Revision, error)
	// Delete removes the object if it is at the revision, else Conflict.
	Delete func(ctx context.Context, key Key, at Revision) error
	// List returns the objects whose keys begin with prefix, ordered by key.
	List func(ctx context.Context, prefix Key) ([]Object, error)
	// ListAt is List with the revision of the whole.
	ListAt func(ctx context.Context, prefix Key) (Listing, error)
	// Follow waits for changes after the revision and returns them, or none
	// where nothing changed within the platform's bound. It returns Conflict
	// where the platform no longer knows that history: list again then. wait is
	// how long the platform is asked to hold the call; 0 for its usual time.
	Follow func(ctx context.Context, prefix Key, after Revision, wait time.Duration) (Changes, error)
	// Watch waits until the object has a revision above after and returns it,
	// or returns NotFound where nothing changed within the platform's bound
	// (the caller then asks again). A waiting watch counts as one call.
	Watch func(ctx context.Context, key Key, after Revision) (Object, error)
}
