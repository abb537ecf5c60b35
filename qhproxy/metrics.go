package qhproxy

import (
	"github.com/VictoriaMetrics/metrics"
)

// counts are the counters of calls.
type counts struct {
	set       *metrics.Set
	calls     *metrics.Counter
	repeats   *metrics.Counter
	ejections *metrics.Counter
	broken    *metrics.Counter
}

func newCounts(set *metrics.Set) *counts {
	return &counts{
		set:       set,
		calls:     set.NewCounter("qh_calls_total"),
		repeats:   set.NewCounter("qh_call_repeats_total"),
		ejections: set.NewCounter("qh_call_ejections_total"),
		broken:    set.NewCounter("qh_call_broken_total"),
	}
}

// refused counts a call that the node answered itself.
func (c *counts) refused(f *failure) {
	c.set.GetOrCreateCounter(`qh_call_refusals_total{reason="` + string(f.Reason) + `",outcome="` + f.Outcome + `"}`).Inc()
}
