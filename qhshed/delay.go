package qhshed

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedulerLatencies is the runtime's histogram of the times that goroutines have
// waited for the processor, in seconds.
const schedulerLatencies = "/sched/latencies:seconds"

// NewDelayMeter returns a function that returns the mean time for which goroutines of
// this process have waited for the processor since it was called before. It is not
// safe for concurrent use.
func NewDelayMeter() func() time.Duration {
	sample := []metrics.Sample{{Name: schedulerLatencies}}
	var before []uint64
	return func() time.Duration {
		metrics.Read(sample)
		if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
			return 0 // a runtime without this metric; nothing is refused then
		}
		histogram := sample[0].Value.Float64Histogram()
		mean := meanSince(histogram, before)
		before = append(before[:0], histogram.Counts...)
		return mean
	}
}

// meanSince returns the mean of the values that were added to the histogram since it
// had the given counts.
func meanSince(histogram *metrics.Float64Histogram, before []uint64) time.Duration {
	var count, sum float64
	for i, total := range histogram.Counts {
		added := float64(total)
		if i < len(before) {
			added -= float64(before[i])
		}
		low, high := histogram.Buckets[i], histogram.Buckets[i+1]
		switch {
		case math.IsInf(low, -1):
			low = high
		case math.IsInf(high, 1):
			high = low
		}
		count += added
		sum += added * (low + high) / 2
	}
	if count == 0 {
		return 0
	}
	return time.Duration(sum / count * float64(time.Second))
}
