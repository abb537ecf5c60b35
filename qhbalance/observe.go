package qhbalance

import (
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	// failuresToEject is how many calls in a row have to fail.
	failuresToEject = 5
	// ejectBase and ejectMax bound the time of an ejection, which doubles.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// unreachMax bounds that of an endpoint that can't be connected to, which a cut
	// that ends makes whole again.
	unreachMax = 4 * time.Second
	// ejectCap bounds the ejected endpoints of a service in hundredths; one
	// may always be ejected where there are others.
	ejectCap = 50
	// doubtShare is the share of usable endpoints in hundredths below which
	// ejections and lost nodes are ignored.
	doubtShare = 50
	// leaveSpan is how long an endpoint that refused as leaving gets no calls; by
	// then its announcement is known.
	leaveSpan = 3 * time.Second
	// overdueMin and overdueTimes say when an answer is overdue: after the time
	// and after so many times the usual latency.
	overdueMin   = 200 * time.Millisecond
	overdueTimes = 5
	// latencyWeight is the weight of older answers in the moving average.
	latencyWeight = 7
	// hintAge is how long a reported load counts; it fades until then.
	hintAge = 2 * time.Second
	// hintBits is the size of a load in a packed hint.
	hintBits = 16
)

// RecordResponse notes an answer that took the time.
func RecordResponse(endpoint *qhmember.Endpoint, took time.Duration) {
	observed := endpoint.Stats
	observed.ConsecutiveFailures.Store(0)
	observed.ConsecutiveEjections.Store(0)
	noteFault(observed, 0)
	old := observed.Latency.Load()
	if old == 0 {
		old = int64(took)
	}
	// A concurrent answer may be lost from the average, which is harmless.
	observed.Latency.Store((old*latencyWeight + int64(took)) / (latencyWeight + 1))
}

// faultScale is a share of 1 in the unit of Observed.Faults.
const faultScale = 1000

// RecordServerError notes an answer that is an error of the target.
func RecordServerError(endpoint *qhmember.Endpoint) { noteFault(endpoint.Stats, faultScale) }

func noteFault(observed *qhmember.EndpointStats, fault int64) {
	old := observed.ErrorRate.Load()
	observed.ErrorRate.Store((old*latencyWeight + fault) / (latencyWeight + 1))
}

// RecordFailure notes a call that failed and tells whether the endpoint was ejected for
// it, and for how long.
func (b *Balancer) RecordFailure(view *qhmember.View, service qhid.Service, endpoint *qhmember.Endpoint, now time.Time) (time.Duration, bool) {
	observed := endpoint.Stats
	observed.Errors.Add(1)
	if observed.ConsecutiveFailures.Add(1) < failuresToEject {
		return 0, false
	}
	return b.eject(view, service, endpoint, now, ejectMax)
}

// RecordUnreachable notes a call for which no connection was made: nothing takes calls
// there now, so the endpoint is ejected at once. It returns what Fail returns.
func (b *Balancer) RecordUnreachable(view *qhmember.View, service qhid.Service, endpoint *qhmember.Endpoint, now time.Time) (time.Duration, bool) {
	endpoint.Stats.Errors.Add(1)
	return b.eject(view, service, endpoint, now, unreachMax)
}

// eject takes an endpoint out of use for a time, as long as that stays within the cap.
func (b *Balancer) eject(view *qhmember.View, service qhid.Service, endpoint *qhmember.Endpoint, now time.Time, most time.Duration) (time.Duration, bool) {
	observed := endpoint.Stats
	if ejected(endpoint, now) || !mayEject(b.pools.of(view, service).all, now) {
		return 0, false
	}
	old := observed.EjectedUntil.Load()
	span := min(ejectBase<<min(observed.ConsecutiveEjections.Load(), 5), most)
	if !observed.EjectedUntil.CompareAndSwap(old, now.Add(span).UnixNano()) {
		return 0, false
	}
	observed.ConsecutiveEjections.Add(1)
	observed.ConsecutiveFailures.Store(failuresToEject - 1) // the next failure ejects again
	return span, true
}

// fullSpan is how long an endpoint of another availability zone that had no free
// slot counts as full.
const fullSpan = time.Second

// RecordFull notes that the endpoint had no free slot.
func RecordFull(endpoint *qhmember.Endpoint, now time.Time) {
	endpoint.Stats.FullUntil.Store(now.Add(fullSpan).UnixNano())
}

// IsOverdue tells whether a call that ended at its deadline had waited so long
// that the endpoint is to blame.
func IsOverdue(endpoint *qhmember.Endpoint, waited time.Duration) bool {
	return waited >= max(overdueMin, overdueTimes*time.Duration(endpoint.Stats.Latency.Load()))
}

// RecordLeaving notes that the endpoint takes no new calls, before its node's
// announcement says so.
func RecordLeaving(endpoint *qhmember.Endpoint, now time.Time) {
	until := now.Add(leaveSpan).UnixNano()
	if endpoint.Stats.EjectedUntil.Load() < until {
		endpoint.Stats.EjectedUntil.Store(until)
	}
}

// mayEject tells whether one more ejection stays within the cap.
func mayEject(all []*qhmember.Endpoint, now time.Time) bool {
	out := 1
	for _, endpoint := range all {
		if ejected(endpoint, now) {
			out++
		}
	}
	return len(all) > 1 && (out == 1 || out*100 <= len(all)*ejectCap)
}

// RecordReportedLoad notes the load that a target's node reported.
func RecordReportedLoad(endpoint *qhmember.Endpoint, load int, now time.Time) {
	load = min(max(load, 0), 1<<hintBits-1)
	endpoint.Stats.ReportedLoad.Store(now.UnixMilli()<<hintBits | int64(load))
}

// hintedLoad returns the reported load, which fades with its age.
func hintedLoad(endpoint *qhmember.Endpoint, now time.Time) int64 {
	hint := endpoint.Stats.ReportedLoad.Load()
	if hint == 0 {
		return 0
	}
	age := max(now.UnixMilli()-hint>>hintBits, 0)
	left := hintAge.Milliseconds() - age
	if left <= 0 {
		return 0
	}
	return (hint & (1<<hintBits - 1)) * left / hintAge.Milliseconds()
}
