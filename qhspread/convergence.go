package qhspread

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstatus"
)

// convergence times how long a version takes from a relay that reads it to the
// last node below it, as the relay hears of it. It compares no clocks of VMs.
type convergence struct {
	seconds *metrics.Histogram

	mu sync.Mutex
	// version is the newest that was begun; 0 once it is everywhere.
	version qhid.Version
	began   time.Time
}

func newConvergence(set *metrics.Set) *convergence {
	return &convergence{seconds: set.GetOrCreateHistogram("qh_spread_convergence_seconds")}
}

// begin notes that a version was read. One that is not everywhere yet is given
// up for it.
func (c *convergence) begin(version qhid.Version, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.began = version, now
}

// see looks whether every node below holds the version, and times it once.
func (c *convergence) see(summary qhstatus.Summary, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == 0 || len(summary.Versions) == 0 || summary.Versions[0].Version < c.version {
		return
	}
	c.seconds.Update(now.Sub(c.began).Seconds())
	c.version = 0
}
