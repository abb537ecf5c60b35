package qhhold

import "github.com/VictoriaMetrics/metrics"

// counts are the holder's metrics.
type counts struct {
	applied, stale, refused, forked, unbased *metrics.Counter
}

func newCounts(set *metrics.Set, holder *Holder) counts {
	set.GetOrCreateGauge("qh_config_version", func() float64 { return float64(holder.Version()) })
	return counts{
		applied: set.GetOrCreateCounter(`qh_config_offers_total{result="applied"}`),
		stale:   set.GetOrCreateCounter(`qh_config_offers_total{result="stale"}`),
		refused: set.GetOrCreateCounter(`qh_config_offers_total{result="refused"}`),
		forked:  set.GetOrCreateCounter(`qh_config_offers_total{result="forked"}`),
		unbased: set.GetOrCreateCounter(`qh_config_offers_total{result="unbased"}`),
	}
}
