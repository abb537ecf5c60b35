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

// durationBuckets is the number of buckets of a duration's distribution. Bucket i counts
// durations below 2^i microseconds; the last one has no upper bound.
const durationBuckets = 22

// durations counts durations by bucket. The buckets are not cumulative.
type durations [durationBuckets]atomic.Uint64

// newDurations returns a distribution with the metrics name_bucket and name_count.
func newDurations(set *metrics.Set, name string) *durations {
	d := &durations{}
	for i := range durationBuckets {
		set.NewGauge(name+`_bucket{le="`+bucketBound(i)+`"}`, func() float64 { return float64(d.upTo(i)) })
	}
	set.NewGauge(name+"_count", func() float64 { return float64(d.upTo(durationBuckets - 1)) })
	return d
}

// add counts a duration.
func (d *durations) add(duration time.Duration) {
	i := bits.Len64(uint64(max(duration.Microseconds(), 0)))
	d[min(i, durationBuckets-1)].Add(1)
}

// upTo returns the number of durations in bucket i and below.
func (d *durations) upTo(i int) uint64 {
	var sum uint64
	for j := range i + 1 {
		sum += d[j].Load()
	}
	return sum
}

// counters has the metrics of calls. Counting takes no lock.
type counters struct {
	set                *metrics.Set
	calls              *metrics.Counter
	retries            *metrics.Counter
	ejections          *metrics.Counter
	truncatedResponses *metrics.Counter
	// invalidResponses counts what targets of this VM sent that is not a response.
	invalidResponses *metrics.Counter
	cancelled        *metrics.Counter
	// failures has one counter of failed calls for each reason and outcome.
	failures sync.Map // failureKey to *metrics.Counter
	// addedLatency is the latency that the nodes added to calls.
	addedLatency *durations
	// forwardedAge is how long forwarded calls were delayed on their way to this node.
	forwardedAge *durations
	// forwardedHeld is how long this node held forwarded calls before it sent them to
	// their targets.
	forwardedHeld *durations
}

// failureKey has the labels of the metric qh_call_refusals_total.
type failureKey struct {
	reason  qhdecision.Reason
	outcome string
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		set:                set,
		calls:              set.NewCounter("qh_calls_total"),
		retries:            set.NewCounter("qh_call_repeats_total"),
		ejections:          set.NewCounter("qh_call_ejections_total"),
		truncatedResponses: set.NewCounter("qh_call_broken_total"),
		invalidResponses:   set.NewCounter("qh_call_invalid_responses_total"),
		cancelled:          set.NewCounter("qh_call_cut_total"),
		addedLatency:       newDurations(set, "qh_call_added_seconds"),
		forwardedAge:       newDurations(set, "qh_forwarded_age_seconds"),
		forwardedHeld:      newDurations(set, "qh_forwarded_held_seconds"),
	}
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

// bucketBound returns the upper bound of bucket i in seconds, as the value of
// the le label.
func bucketBound(i int) string {
	if i == durationBuckets-1 {
		return "+Inf"
	}
	bound := time.Duration(1<<i) * time.Microsecond
	return strconv.FormatFloat(bound.Seconds(), 'g', -1, 64)
}
