package qhplatform

import (
	"time"

	"quetzalhaven.dev/qhid"
)

// Counts has the totals of the calls to a fake platform. A watch counts as one call
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
