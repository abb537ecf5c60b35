package qhproxy

import (
	"fmt"
	"math/bits"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"quetzalhaven.dev/qhdecision"
)

// addedBuckets is the number of buckets of the added time: bucket i counts what
// is below 2^i microseconds, the last one everything.
const addedBuckets = 22

// counts are the counters of calls. Counting takes no lock.
type counts struct {
	set       *metrics.Set
	calls     *metrics.Counter
	repeats   *metrics.Counter
	ejections *metrics.Counter
	broken    *metrics.Counter
	cut       *metrics.Counter
	// refusals has a counter for each refusal.
	refusals sync.Map // of refusal to *metrics.Counter
	// added counts calls by the time that the mesh added, each in one bucket.
	added [addedBuckets]atomic.Uint64
}

// refusal is what refusals are counted by.
type refusal struct {
	reason  qhdecision.Reason
	outcome string
}

func newCounts(set *metrics.Set) *counts {
	c := &counts{
		set:       set,
		calls:     set.NewCounter("qh_calls_total"),
		repeats:   set.NewCounter("qh_call_repeats_total"),
		ejections: set.NewCounter("qh_call_ejections_total"),
		broken:    set.NewCounter("qh_call_broken_total"),
		cut:       set.NewCounter("qh_call_cut_total"),
	}
	for i := range addedBuckets {
		set.NewGauge(`qh_call_added_seconds_bucket{le="`+bucketBound(i)+`"}`, func() float64 { return float64(c.addedUpTo(i)) })
	}
	set.NewGauge("qh_call_added_seconds_count", func() float64 { return float64(c.addedUpTo(addedBuckets - 1)) })
	return c
}

// refused counts a call that the node answered itself.
func (c *counts) refused(f *failure) {
	key := refusal{reason: f.Reason, outcome: f.Outcome}
	counter, ok := c.refusals.Load(key)
	if !ok {
		name := fmt.Sprintf("qh_call_refusals_total{reason=%q,outcome=%q}", key.reason, key.outcome)
		counter, _ = c.refusals.LoadOrStore(key, c.set.GetOrCreateCounter(name))
	}
	counter.(*metrics.Counter).Inc()
}

// add counts a call by the time that the mesh added to it.
func (c *counts) add(added time.Duration) {
	i := bits.Len64(uint64(max(added.Microseconds(), 0)))
	c.added[min(i, addedBuckets-1)].Add(1)
}

// addedUpTo returns how many calls are in bucket i or below.
func (c *counts) addedUpTo(i int) uint64 {
	var sum uint64
	for j := range i + 1 {
		sum += c.added[j].Load()
	}
	return sum
}

// bucketBound returns the upper bound of bucket i in seconds.
func bucketBound(i int) string {
	if i == addedBuckets-1 {
		return "+Inf"
	}
	bound := time.Duration(1<<i) * time.Microsecond
	return strconv.FormatFloat(bound.Seconds(), 'g', -1, 64)
}
