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

// addedLatencyBuckets is the number of buckets of the latency that the nodes
// add to calls. Bucket i counts latencies below 2^i microseconds; the last one
// has no upper bound.
const addedLatencyBuckets = 22

// counters has the metrics of calls. Counting takes no lock.
type counters struct {
	set                *metrics.Set
	calls              *metrics.Counter
	retries            *metrics.Counter
	ejections          *metrics.Counter
	truncatedResponses *metrics.Counter
	cancelled          *metrics.Counter
	// failures has one counter of failed calls for each reason and outcome.
	failures sync.Map // failureKey to *metrics.Counter
	// addedLatency counts calls by the latency that the nodes added. Buckets
	// are not cumulative.
	addedLatency [addedLatencyBuckets]atomic.Uint64
}

// failureKey has the labels of the metric qh_call_refusals_total.
type failureKey struct {
	reason  qhdecision.Reason
	outcome string
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set:                set,
		calls:              set.NewCounter("qh_calls_total"),
		retries:            set.NewCounter("qh_call_repeats_total"),
		ejections:          set.NewCounter("qh_call_ejections_total"),
		truncatedResponses: set.NewCounter("qh_call_broken_total"),
		cancelled:          set.NewCounter("qh_call_cut_total"),
	}
	for i := range addedLatencyBuckets {
		set.NewGauge(`qh_call_added_seconds_bucket{le="`+bucketBound(i)+`"}`, func() float64 { return float64(c.addedLatencyUpTo(i)) })
	}
	set.NewGauge("qh_call_added_seconds_count", func() float64 { return float64(c.addedLatencyUpTo(addedLatencyBuckets - 1)) })
	return c
}

// countFailure counts a call to which the node responded itself.
func (c *counters) countFailure(f *failure) {
	key := failureKey{reason: f.Reason, outcome: f.Outcome}
	counter, ok := c.failures.Load(key)
	if !ok {
		name := fmt.Sprintf("qh_call_refusals_total{reason=%q,outcome=%q}", key.reason, key.outcome)
		counter, _ = c.failures.LoadOrStore(key, c.set.GetOrCreateCounter(name))
	}
	counter.(*metrics.Counter).Inc()
}

// countAddedLatency counts a call by the latency that the nodes added to it.
func (c *counters) countAddedLatency(added time.Duration) {
	i := bits.Len64(uint64(max(added.Microseconds(), 0)))
	c.addedLatency[min(i, addedLatencyBuckets-1)].Add(1)
}

// addedLatencyUpTo returns the number of calls in bucket i and below.
func (c *counters) addedLatencyUpTo(i int) uint64 {
	var sum uint64
	for j := range i + 1 {
		sum += c.addedLatency[j].Load()
	}
	return sum
}

// bucketBound returns the upper bound of bucket i in seconds, as the value of
// the le label.
func bucketBound(i int) string {
	if i == addedLatencyBuckets-1 {
		return "+Inf"
	}
	bound := time.Duration(1<<i) * time.Microsecond
	return strconv.FormatFloat(bound.Seconds(), 'g', -1, 64)
}
