package qhhold

import "github.com/VictoriaMetrics/metrics"

// offerCounters counts the results of applying versions.
type offerCounters struct {
	applied, stale, refused, conflicting, inapplicable *metrics.Counter
}

func newOfferCounters(set *metrics.Set, holder *Holder) offerCounters {
	set.GetOrCreateGauge("qh_config_version", func() float64 { return float64(holder.Version()) })
	return offerCounters{
		applied:      set.GetOrCreateCounter(`qh_config_offers_total{result="applied"}`),
		stale:        set.GetOrCreateCounter(`qh_config_offers_total{result="stale"}`),
		refused:      set.GetOrCreateCounter(`qh_config_offers_total{result="refused"}`),
		conflicting:  set.GetOrCreateCounter(`qh_config_offers_total{result="forked"}`),
		inapplicable: set.GetOrCreateCounter(`qh_config_offers_total{result="unbased"}`),
	}
}
