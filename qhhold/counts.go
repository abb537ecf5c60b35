package qhhold

import "github.com/VictoriaMetrics/metrics"

// applyCounters counts the results of the attempts to apply a version.
type applyCounters struct {
	applied, stale, refused, conflicting, inapplicable *metrics.Counter
}

func newApplyCounters(set *metrics.Set, holder *Holder) applyCounters {
	set.GetOrCreateGauge("qh_config_version", func() float64 { return float64(holder.Version()) })
	set.GetOrCreateGauge("qh_config_problems", func() float64 {
		snapshot := holder.Current()
		if snapshot == nil {
			return 0
		}
		return float64(len(snapshot.Problems))
	})
	return applyCounters{
		applied:      set.GetOrCreateCounter(`qh_config_offers_total{result="applied"}`),
		stale:        set.GetOrCreateCounter(`qh_config_offers_total{result="stale"}`),
		refused:      set.GetOrCreateCounter(`qh_config_offers_total{result="refused"}`),
		conflicting:  set.GetOrCreateCounter(`qh_config_offers_total{result="forked"}`),
		inapplicable: set.GetOrCreateCounter(`qh_config_offers_total{result="unbased"}`),
	}
}
