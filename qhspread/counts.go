package qhspread

import "github.com/VictoriaMetrics/metrics"

// counts are the metrics of a spreader.
type counts struct {
	// entries counts entries that were new, duplicates entries and diffs that were not.
	entries, duplicates *metrics.Counter
	// repairs counts what an exchange or a pull found lacking.
	repairs *metrics.Counter
	// refuted counts answers to what others said of this node.
	refuted *metrics.Counter
	// downs counts nodes marked down by this one, doubts the times it did not.
	downs, doubts *metrics.Counter
	// slots counts relay slots taken.
	slots *metrics.Counter
	// forks counts peers with other content for the same version.
	forks *metrics.Counter
}

func newCounts(s *Spreader) *counts {
	set := s.Metrics
	set.GetOrCreateGauge("qh_spread_links", func() float64 {
		return float64(len(s.list(func(*neighbor) bool { return true })))
	})
	set.GetOrCreateGauge("qh_spread_depth", func() float64 { return float64(s.depth()) })
	return &counts{
		entries:    set.GetOrCreateCounter("qh_spread_entries_total"),
		duplicates: set.GetOrCreateCounter("qh_spread_duplicates_total"),
		repairs:    set.GetOrCreateCounter("qh_spread_repairs_total"),
		refuted:    set.GetOrCreateCounter("qh_spread_refuted_total"),
		downs:      set.GetOrCreateCounter("qh_spread_downs_total"),
		doubts:     set.GetOrCreateCounter("qh_spread_doubts_total"),
		slots:      set.GetOrCreateCounter("qh_spread_slots_total"),
		forks:      set.GetOrCreateCounter("qh_spread_forks_total"),
	}
}
