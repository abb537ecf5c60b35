package qhplatform

import (
	"time"

	"quetzalhaven.dev/qhid"
)

// Operation names a kind of call to the platform.
type Operation string

// The operations.
const (
	OpGet    Operation = "get"
	OpCreate Operation = "create"
	OpUpdate Operation = "update"
	OpDelete Operation = "delete"
	OpList   Operation = "list"
	OpWatch  Operation = "watch"
	OpFollow Operation = "follow"
)

func (o Operation) writes() bool { return o == OpCreate || o == OpUpdate || o == OpDelete }

// waits tells whether the platform holds the call until something changes.
func (o Operation) waits() bool { return o == OpWatch || o == OpFollow }

// Counts is what a Memory was asked. A watch counts as one call however long it waits.
type Counts struct {
	// Calls counts by operation, refused ones included.
	Calls map[Operation]int `json:"calls"`
	// Total adds up Calls.
	Total int `json:"total"`
	// Refused counts calls above the rate.
	Refused int `json:"refused"`
	// PeakRate is the most calls of one second by the clock.
	PeakRate int `json:"peak"`
	// WaitingWatches is how many watches wait now.
	WaitingWatches int `json:"waiting"`
	// BytesWritten and Read add up the sizes of values.
	BytesWritten qhid.Bytes `json:"written"`
	BytesRead    qhid.Bytes `json:"read"`
	// Objects and Stored are the number and size of what is held now.
	Objects     int        `json:"objects"`
	BytesStored qhid.Bytes `json:"stored"`
}

// second counts the calls of one second by the clock.
type second struct {
	at    int64
	calls int
}

func (c *Counts) add(op Operation, now time.Time, current *second) {
	c.Calls[op]++
	c.Total++
	if at := now.Unix(); at != current.at {
		*current = second{at: at}
	}
	current.calls++
	c.PeakRate = max(c.PeakRate, current.calls)
}
