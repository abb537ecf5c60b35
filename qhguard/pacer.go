package qhguard

import (
	"time"

	"quetzalhaven.dev/qhid"
)

const (
	// paceBurst is the time of whose calls as many may be sent at once after a
	// pause, besides one.
	paceBurst = 250 * time.Millisecond
	// minPace is the lowest rate at which a target is called, whatever its limit.
	// Its responses tell when the limit ends.
	minPace qhid.CallsPerSecond = 0.25
)

// pacer says when the calls of a target with a rate limit may be sent: one at a time
// at the rate of the limit, and a few at once after a pause. The zero value has no
// limit.
type pacer struct {
	// rate is 0 without a limit.
	rate qhid.CallsPerSecond
	// credit is the number of calls that might be sent at creditTime; less than 1
	// means that the next call has to wait.
	credit     float64
	creditTime time.Time
}

// limit sets the limit, which holds from now on.
func (p *pacer) limit(rate qhid.CallsPerSecond, now time.Time) {
	if p.rate == 0 {
		p.credit = 1
	} else {
		p.credit = p.creditAt(now)
	}
	p.rate, p.creditTime = max(rate, minPace), now
}

// unlimit ends the limit.
func (p *pacer) unlimit() { *p = pacer{} }

// isLimited reports whether there is a limit.
func (p *pacer) isLimited() bool { return p.rate > 0 }

// creditAt returns the number of calls that may be sent at the given time.
func (p *pacer) creditAt(now time.Time) float64 {
	maxCredit := 1 + float64(p.rate)*paceBurst.Seconds()
	return min(p.credit+float64(p.rate)*max(now.Sub(p.creditTime), 0).Seconds(), maxCredit)
}

// wait returns how long after now a call may be sent that has the given number of
// calls ahead of it.
func (p *pacer) wait(now time.Time, ahead int) time.Duration {
	if !p.isLimited() {
		return 0
	}
	missing := float64(ahead+1) - p.creditAt(now)
	if missing <= 0 {
		return 0
	}
	// Rounded up, so that a call that has waited may be sent.
	return time.Duration(missing/float64(p.rate)*float64(time.Second)) + time.Microsecond
}

// take records that a call is sent.
func (p *pacer) take(now time.Time) {
	if !p.isLimited() {
		return
	}
	p.credit, p.creditTime = p.creditAt(now)-1, now
}
