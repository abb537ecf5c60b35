package qhproxy

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

// rateLimitTTL is how long a rate limit holds after the last response that named it.
// Single responses without it do not end it.
const rateLimitTTL = time.Second

// rateLimitMemory is how long the rate limit of a target is remembered that no longer
// responds.
const rateLimitMemory = time.Minute

// namedLimit is the rate limit that a target named in its responses.
type namedLimit struct {
	rate qhid.CallsPerSecond
	// namedAt is the time of the last response that named it.
	namedAt time.Time
}

// targetLimits has the rate limits that targets named in responses that passed
// through this node. It is safe for concurrent use.
type targetLimits struct {
	mu     sync.Mutex
	limits map[qhid.Target]namedLimit
}

func newTargetLimits() *targetLimits {
	return &targetLimits{limits: make(map[qhid.Target]namedLimit)}
}

// get returns the known rate limit of a target, or false.
func (l *targetLimits) get(target qhid.Target) (qhid.CallsPerSecond, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, ok := l.limits[target]
	return limit.rate, ok
}

// record records whether a response of the target named a rate limit. It returns the
// limit that was known before and whether the known limit changed.
func (l *targetLimits) record(target qhid.Target, rate qhid.CallsPerSecond, named bool, now time.Time) (before qhid.CallsPerSecond, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, isKnown := l.limits[target]
	switch {
	case named:
		if !isKnown {
			maps.DeleteFunc(l.limits, func(_ qhid.Target, limit namedLimit) bool { return now.Sub(limit.namedAt) > rateLimitMemory })
		}
		l.limits[target] = namedLimit{rate: rate, namedAt: now}
		return known.rate, !isKnown || known.rate != rate
	case isKnown && now.Sub(known.namedAt) >= rateLimitTTL:
		delete(l.limits, target)
		return known.rate, true
	default:
		return known.rate, false
	}
}

// count returns the number of targets with a known rate limit.
func (l *targetLimits) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits)
}

// observeTarget reads what the headers of a response say about its target.
func (p *Proxy) observeTarget(target qhid.Target, header http.Header) {
	p.observeLimit(target, header)
	leaving, err := p.Dialect.Leaving(header)
	if err != nil {
		p.Log.Warn("mark of a leaving target cannot be decoded and is ignored", zap.String("target", string(target)), zap.Error(err))
	}
	if leaving && p.OnTargetLeaving != nil {
		p.OnTargetLeaving(target)
	}
}

// observeLimit reads the rate limit that a response of a target names, and logs
// changes.
func (p *Proxy) observeLimit(target qhid.Target, header http.Header) {
	rate, named, err := p.Dialect.RateLimit(header)
	if err != nil {
		p.Log.Warn("rate limit of a target cannot be decoded and is ignored", zap.String("target", string(target)), zap.Error(err))
	}
	before, changed := p.limits.record(target, rate, named, time.Now())
	if changed {
		p.Log.Info("rate limit of a target changed", zap.String("target", string(target)), zap.Bool("named", named),
			zap.Float64("rate", float64(rate)), zap.Float64("before", float64(before)))
	}
}

// setRateLimitHeader tells the target's node the known rate limit of the target, and
// removes that of an earlier attempt.
func (p *Proxy) setRateLimitHeader(header http.Header, target qhid.Target) {
	delete(header, qhheader.NodeRateLimit)
	if rate, ok := p.limits.get(target); ok {
		header[qhheader.NodeRateLimit] = []string{strconv.FormatFloat(float64(rate), 'g', -1, 64)}
	}
}
