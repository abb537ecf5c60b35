package qhspread

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstatus"
)

// convergence measures the time from when a relay loads a version until it is in
// force on all nodes below, as reported by their summaries. Both times are taken
// on the relay, so clocks of VMs are not compared.
type convergence struct {
	seconds *metrics.Histogram

	mu sync.Mutex
	// version is the version being measured; 0 once it is in force on all nodes.
	version qhid.Version
	started time.Time
}

func newConvergence(set *metrics.Set) *convergence {
	return &convergence{seconds: set.GetOrCreateHistogram("qh_spread_convergence_seconds")}
}

// start starts to measure a version. A measurement in progress is abandoned.
func (c *convergence) start(version qhid.Version, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.started = version, now
}

// observe ends the measurement if the version or a newer one is in force on every
// node that the summary counts.
func (c *convergence) observe(summary qhstatus.Summary, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == 0 || len(summary.Versions) == 0 || summary.Versions[0].Version < c.version {
		return
	}
	c.seconds.Update(now.Sub(c.started).Seconds())
	c.version = 0
}
