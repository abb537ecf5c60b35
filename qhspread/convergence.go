package qhspread

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstatus"
)

// convergence measures the time from when a relay reads a version until all
// nodes below it hold it, as reported by their summaries. Both times are taken
// on the relay, so clocks of VMs are not compared.
type convergence struct {
	seconds *metrics.Histogram

	mu sync.Mutex
	// version is the version being measured; 0 when all nodes hold it.
	version qhid.Version
	started time.Time
}

func newConvergence(set *metrics.Set) *convergence {
	return &convergence{seconds: set.GetOrCreateHistogram("qh_spread_convergence_seconds")}
}

// start begins to measure a version. A measurement that is still running is
// abandoned.
func (c *convergence) start(version qhid.Version, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.started = version, now
}

// observe ends the measurement if every node below holds the version.
func (c *convergence) observe(summary qhstatus.Summary, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == 0 || len(summary.Versions) == 0 || summary.Versions[0].Version < c.version {
		return
	}
	c.seconds.Update(now.Sub(c.started).Seconds())
	c.version = 0
}
