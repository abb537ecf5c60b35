package qhspread

import (
	"sync/atomic"
	"time"
)

// lastContact is the time of the last response of the platform.
type lastContact struct {
	at atomic.Pointer[time.Time]
}

func (c *lastContact) record() {
	now := time.Now()
	c.at.Store(&now)
}

// within reports whether there was a response within the last d.
func (c *lastContact) within(d time.Duration) bool {
	at := c.at.Load()
	return at != nil && time.Since(*at) <= d
}
