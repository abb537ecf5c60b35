package qhspread

import (
	"sync/atomic"
	"time"
)

// contact remembers when something was last in reach.
type contact struct {
	at atomic.Pointer[time.Time]
}

func (c *contact) note() {
	now := time.Now()
	c.at.Store(&now)
}

func (c *contact) within(d time.Duration) bool {
	at := c.at.Load()
	return at != nil && time.Since(*at) <= d
}
