package qhspread

import "github.com/VictoriaMetrics/metrics"

// spreadMetrics holds the metrics of a spreader.
type spreadMetrics struct {
	// newEntries counts membership entries that were new, duplicates counts
	// entries and diffs that were known already.
	newEntries, duplicates *metrics.Counter
	// repairs counts the differences from a peer that led to a repair by
	// anti-entropy or by a pull.
	repairs *metrics.Counter
	// refutations counts the new entries with which this node refuted claims
	// about itself.
	refutations *metrics.Counter
	// markedDown counts nodes that this node marked down, inconclusive counts
	// checks in which an unresponsive node was not marked down because too few
	// other nodes responded.
	markedDown, inconclusive *metrics.Counter
	// slotsAcquired counts relay slots that this node acquired.
	slotsAcquired *metrics.Counter
	// digestMismatches counts peers with different content for the same
	// version.
	digestMismatches *metrics.Counter
}

func newSpreadMetrics(s *Spreader) *spreadMetrics {
	set := s.Metrics
	set.GetOrCreateGauge("qh_spread_links", func() float64 {
		return float64(len(s.filterNeighbors(func(*neighbor) bool { return true })))
	})
	set.GetOrCreateGauge("qh_spread_depth", func() float64 { return float64(s.depth()) })
	return &spreadMetrics{
		newEntries:       set.GetOrCreateCounter("qh_spread_entries_total"),
		duplicates:       set.GetOrCreateCounter("qh_spread_duplicates_total"),
		repairs:          set.GetOrCreateCounter("qh_spread_repairs_total"),
		refutations:      set.GetOrCreateCounter("qh_spread_refuted_total"),
		markedDown:       set.GetOrCreateCounter("qh_spread_downs_total"),
		inconclusive:     set.GetOrCreateCounter("qh_spread_doubts_total"),
		slotsAcquired:    set.GetOrCreateCounter("qh_spread_slots_total"),
		digestMismatches: set.GetOrCreateCounter("qh_spread_forks_total"),
	}
}
