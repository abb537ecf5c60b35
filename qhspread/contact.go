package qhspread

import (
	"sync/atomic"
	"time"
)

// lastContact records when something was last reached.
type lastContact struct {
	at atomic.Pointer[time.Time]
}

func (c *lastContact) record() {
	now := time.Now()
	c.at.Store(&now)
}

func (c *lastContact) within(d time.Duration) bool {
	at := c.at.Load()
	return at != nil && time.Since(*at) <= d
}
