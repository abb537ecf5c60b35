package qhbalance

import (
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	// failuresToEject is the number of consecutive failures that cause an
	// ejection.
	failuresToEject = 5
	// The duration of an ejection doubles from minEjection to maxEjection with
	// each consecutive one.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// maxUnreachableEjection bounds the ejection of unreachable endpoints. It is
	// shorter than maxEjection because they become reachable as soon as a network
	// partition heals.
	maxUnreachableEjection = 4 * time.Second
	// maxEjectedPercent bounds the percentage of a service's endpoints that are
	// ejected. One endpoint may always be ejected if there are others.
	maxEjectedPercent = 50
	// panicThresholdPercent is the percentage of usable endpoints below which a
	// group is in panic mode: ejections and down nodes are ignored.
	panicThresholdPercent = 50
	// leavingDuration is how long an endpoint gets no calls after it refused
	// one because it is leaving. By then the announcement of its state has
	// arrived.
	leavingDuration = 3 * time.Second
	// A response is overdue after overdueFactor times the average latency, and
	// at least minOverdue. A call that ends at its deadline before that is not
	// counted as a failure.
	minOverdue    = 200 * time.Millisecond
	overdueFactor = 5
	// priorWeight is the weight of the previous average in the moving averages; a
	// new value has weight 1.
	priorWeight = 7
	// reportedLoadTTL is the age at which a reported load expires. Its weight
	// decreases linearly until then.
	reportedLoadTTL = 2 * time.Second
	// reportedLoadBits is the number of bits of the load in
	// EndpointStats.ReportedLoad.
	reportedLoadBits = 16
)

// RecordResponse records a successful response and its latency.
func RecordResponse(endpoint *qhmember.Endpoint, elapsed time.Duration) {
	stats := endpoint.Stats
	stats.ConsecutiveFailures.Store(0)
	stats.ConsecutiveEjections.Store(0)
	updateErrorRate(stats, 0)
	old := stats.Latency.Load()
	if old == 0 {
		old = int64(elapsed)
	}
	// Concurrent responses may overwrite each other's update, which only delays
	// the average.
	stats.Latency.Store((old*priorWeight + int64(elapsed)) / (priorWeight + 1))
}

// errorRateScale is an error rate of 1 in the unit of EndpointStats.ErrorRate.
const errorRateScale = 1000

// RecordServerError records a response that reports an error of the target.
func RecordServerError(endpoint *qhmember.Endpoint) { updateErrorRate(endpoint.Stats, errorRateScale) }

func updateErrorRate(stats *qhmember.EndpointStats, sample int64) {
	old := stats.ErrorRate.Load()
	stats.ErrorRate.Store((old*priorWeight + sample) / (priorWeight + 1))
}

// RecordFailure records a failed call. It returns the duration of the ejection
// and true if the endpoint was ejected for it.
func (b *Balancer) RecordFailure(view *qhmember.View, service qhid.Service, endpoint *qhmember.Endpoint, now time.Time) (time.Duration, bool) {
	stats := endpoint.Stats
	stats.Errors.Add(1)
	if stats.ConsecutiveFailures.Add(1) < failuresToEject {
		return 0, false
	}
	return b.eject(view, service, endpoint, now, maxEjection)
}

// RecordUnreachable records a failed connection attempt. The endpoint is ejected
// immediately, because nothing accepts calls there. It returns the same values as
// RecordFailure.
func (b *Balancer) RecordUnreachable(view *qhmember.View, service qhid.Service, endpoint *qhmember.Endpoint, now time.Time) (time.Duration, bool) {
	endpoint.Stats.Errors.Add(1)
	endpoint.Stats.UnreachableUntil.Store(now.Add(unreachableMemory).UnixNano())
	return b.eject(view, service, endpoint, now, maxUnreachableEjection)
}

// eject ejects an endpoint if the share of ejected endpoints stays within
// maxEjectedPercent. It returns the same values as RecordFailure.
func (b *Balancer) eject(view *qhmember.View, service qhid.Service, endpoint *qhmember.Endpoint, now time.Time, maxDuration time.Duration) (time.Duration, bool) {
	stats := endpoint.Stats
	if isEjected(endpoint, now) || !canEject(b.pools.forService(view, service).all, now) {
		return 0, false
	}
	old := stats.EjectedUntil.Load()
	// 1<<5 s exceeds maxEjection; the bound of 5 prevents an overflow.
	duration := min(minEjection<<min(stats.ConsecutiveEjections.Load(), 5), maxDuration)
	if !stats.EjectedUntil.CompareAndSwap(old, now.Add(duration).UnixNano()) {
		return 0, false
	}
	stats.ConsecutiveEjections.Add(1)
	stats.ConsecutiveFailures.Store(failuresToEject - 1) // the next failure ejects again
	return duration, true
}

// RecordFullFor records that the endpoint takes no calls for a time.
func RecordFullFor(endpoint *qhmember.Endpoint, duration time.Duration, now time.Time) {
	endpoint.Stats.FullUntil.Store(now.Add(duration).UnixNano())
}

// isFull reports whether the endpoint counts as full.
func isFull(endpoint *qhmember.Endpoint, now time.Time) bool {
	return endpoint.Stats.FullUntil.Load() > now.UnixNano()
}

// IsOverdue reports whether a call that ended at its deadline counts as a
// failure of the endpoint, because it had waited much longer than the average
// latency.
func IsOverdue(endpoint *qhmember.Endpoint, waited time.Duration) bool {
	return waited >= max(minOverdue, overdueFactor*time.Duration(endpoint.Stats.Latency.Load()))
}

// RecordLeaving records that the endpoint accepts no new calls, ahead of the
// announcement of its node.
func RecordLeaving(endpoint *qhmember.Endpoint, now time.Time) {
	endpoint.Stats.LeavingUntil.Store(now.Add(leavingDuration).UnixNano())
}

// canEject reports whether maxEjectedPercent allows one more ejection.
func canEject(all []*qhmember.Endpoint, now time.Time) bool {
	ejectedCount := 1
	for _, endpoint := range all {
		if isEjected(endpoint, now) {
			ejectedCount++
		}
	}
	return len(all) > 1 && (ejectedCount == 1 || ejectedCount*100 <= len(all)*maxEjectedPercent)
}

// RecordReportedLoad records the load that the target's node reported.
func RecordReportedLoad(endpoint *qhmember.Endpoint, load int, now time.Time) {
	load = min(max(load, 0), 1<<reportedLoadBits-1)
	endpoint.Stats.ReportedLoad.Store(now.UnixMilli()<<reportedLoadBits | int64(load))
}

// reportedLoad returns the reported load, reduced linearly by its age.
func reportedLoad(endpoint *qhmember.Endpoint, now time.Time) int64 {
	packed := endpoint.Stats.ReportedLoad.Load()
	if packed == 0 {
		return 0
	}
	age := max(now.UnixMilli()-packed>>reportedLoadBits, 0)
	remaining := reportedLoadTTL.Milliseconds() - age
	if remaining <= 0 {
		return 0
	}
	return (packed & (1<<reportedLoadBits - 1)) * remaining / reportedLoadTTL.Milliseconds()
}
