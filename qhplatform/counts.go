package qhplatform

import (
	"time"

	"quetzalhaven.dev/qhid"
)

// Operation is a kind of call to the platform.
type Operation string

// Operations of the object API. OpFollow watches a prefix, OpWatch a single object.
const (
	OpGet         Operation = "get"
	OpCreate      Operation = "create"
	OpUpdate      Operation = "update"
	OpDelete      Operation = "delete"
	OpList        Operation = "list"
	OpWatchObject Operation = "watch"
	OpWatchPrefix Operation = "follow"
)

func (o Operation) isWrite() bool { return o == OpCreate || o == OpUpdate || o == OpDelete }

// isWatch reports whether the platform holds the call until something changes.
func (o Operation) isWatch() bool { return o == OpWatchObject || o == OpWatchPrefix }

// Counts has the totals of the calls to a Memory. A watch counts as one call
// however long it waits.
type Counts struct {
	// Calls has the number of calls per operation, refused ones included.
	Calls map[Operation]int `json:"calls"`
	// Total is the sum of Calls.
	Total int `json:"total"`
	// Refused is the number of calls above the rate limit.
	Refused int `json:"refused"`
	// PeakRate is the highest number of calls within one second of the clock.
	PeakRate int `json:"peak"`
	// WaitingWatches is the number of watches that currently wait.
	WaitingWatches int `json:"waiting"`
	// BytesWritten and BytesRead are the total sizes of the values.
	BytesWritten qhid.Bytes `json:"written"`
	BytesRead    qhid.Bytes `json:"read"`
	// Objects and BytesStored are the number and the size of the objects currently
	// stored.
	Objects     int        `json:"objects"`
	BytesStored qhid.Bytes `json:"stored"`
}

// secondCounter counts the calls within one second of the clock.
type secondCounter struct {
	unixSecond int64
	calls      int
}

func (c *Counts) add(op Operation, now time.Time, current *secondCounter) {
	c.Calls[op]++
	c.Total++
	if unixSecond := now.Unix(); unixSecond != current.unixSecond {
		*current = secondCounter{unixSecond: unixSecond}
	}
	current.calls++
	c.PeakRate = max(c.PeakRate, current.calls)
}
