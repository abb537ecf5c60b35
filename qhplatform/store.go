// Package qhplatform is a client of the platform's object API, and a fake platform,
// an in-memory implementation of that API for tests and demos. The platform is the
// users' system that runs the VMs; its object API stores the objects of this
// product. HTTPOptions.Codec adapts the client to another HTTP form of the API;
// package platform has such a codec.
package qhplatform

import (
	"context"
	"time"

	"quetzalhaven.dev/qhid"
)

// Key names an object. It consists of segments separated by slashes.
type Key string

// Revision orders the writes of a store: each write gets a greater one. An object
// has the revision of its last write, a listing that of the store. 0 stands for no
// object.
type Revision uint64

// Era counts the times that a store was restored from a copy. A restore takes back
// the writes since the copy, acknowledged or not, and their revisions are assigned
// again, so that revisions of different eras cannot be compared. 0 stands for a
// store that does not tell its era.
type Era uint64

// MaxValueSize is the size of the largest value that the platform stores.
const MaxValueSize qhid.Bytes = 1 << 20

// Object is an object as the platform stores it.
type Object struct {
	Key   Key    `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Status is what the product says of the object; nil if it says nothing.
	Status   []byte   `json:"status,omitempty"`
	Revision Revision `json:"revision"`
}

// Listing is the set of objects whose keys begin with a prefix.
type Listing struct {
	// Objects are ordered by key.
	Objects []Object `json:"objects"`
	// Revision is the revision of the store. WatchPrefix continues from it.
	Revision Revision `json:"at"`
	// Era is the era of Revision.
	Era Era `json:"-"`
	// ContinueAfter is the last key of this page if there are more pages, else
	// empty.
	ContinueAfter Key `json:"-"`
	// Unreadable has an error for each object that cannot be decoded and is left out.
	Unreadable []error `json:"-"`
}

// Changes is the set of changed objects whose keys begin with a prefix.
type Changes struct {
	// Objects has the latest state of each changed object, in the order of the
	// changes. An object without a value was deleted.
	Objects []Object `json:"objects"`
	// Revision is the revision from which the next WatchPrefix continues.
	Revision Revision `json:"at"`
	// Era is the era of Revision.
	Era Era `json:"-"`
	// Unreadable has an error for each change that cannot be decoded and is left out.
	Unreadable []error `json:"-"`
}

// Store is the platform's object API. Errors are of these kinds of qherr: NotFound,
// Conflict (the condition did not hold, nothing was written), Unavailable (nothing
// was written), Unknown (the response was lost: a write may have taken effect, and
// the caller has to read to find out) and BadInput (invalid key or too large
// value).
type Store struct {
	// Get returns the object, or NotFound.
	Get func(ctx context.Context, key Key) (Object, error)
	// Create writes a new object, or returns Conflict if it exists.
	Create func(ctx context.Context, key Key, value []byte) (Revision, error)
	// Update replaces the object if it has the given revision, else it returns
	// Conflict.
	Update func(ctx context.Context, key Key, value []byte, revision Revision) (Revision, error)
	// UpdateStatus replaces the status of the object if the object has the given
	// revision, else it returns Conflict. The object gets a new revision.
	UpdateStatus func(ctx context.Context, key Key, status []byte, revision Revision) (Revision, error)
	// Delete removes the object if it has the given revision, else it returns
	// Conflict.
	Delete func(ctx context.Context, key Key, revision Revision) error
	// List returns the objects whose keys begin with prefix, ordered by key.
	List func(ctx context.Context, prefix Key) ([]Object, error)
	// ListAt is List with the revision of the listing.
	ListAt func(ctx context.Context, prefix Key) (Listing, error)
	// WatchPrefix waits until objects whose keys begin with prefix change after the
	// revision, and returns the changes, or none if nothing changed within wait. It
	// returns Conflict if the platform no longer has the history since that
	// revision; the caller then has to list again. The platform is asked to hold
	// the call for wait, or for the store's default if wait is 0.
	WatchPrefix func(ctx context.Context, prefix Key, after Revision, wait time.Duration) (Changes, error)
	// WatchObject waits until the object has a revision above after and returns it,
	// or returns NotFound if nothing changed within the platform's limit (the
	// caller then repeats the call). A waiting watch counts as one call.
	WatchObject func(ctx context.Context, key Key, after Revision) (Object, error)
}
