package qhproxy

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"quetzalhaven.dev/qhdecision"
)

// logDecision logs a decision with its reason and the inputs to it: refusals,
// truncated responses, retries and cancellations as warnings, all others as
// info. The messages are "call chosen", "call refused", "call repeated",
// "call ejected", "call broken", "call answered", "call drained" and
// "call cut". The message "call ejected" names the call that caused an
// ejection, and "endpoint ejected" (observeError) the duration of the ejection.
// The messages "call drained" and "call cut" are about the shutdown of the node
// and have no request ID.
func (p *Proxy) logDecision(d *qhdecision.Decision) {
	level := zapcore.InfoLevel
	switch d.Kind {
	case qhdecision.Refused, qhdecision.Truncated, qhdecision.Retried, qhdecision.Cancelled:
		level = zapcore.WarnLevel
	}
	entry := p.Log.Check(level, "call "+string(d.Kind))
	if entry == nil {
		return
	}
	fields := make([]zap.Field, 0, maxDecisionFields)
	addString := func(key, value string) {
		if value != "" {
			fields = append(fields, zap.String(key, value))
		}
	}
	addString("request", string(d.Request))
	addString("reason", string(d.Reason))
	addString("outcome", d.Outcome)
	addString("route", string(d.Route))
	addString("service", string(d.Service))
	addString("target", string(d.Target))
	addString("at", string(d.Node))
	addString("rather", string(d.RunnerUp))
	addString("detail", d.Detail)
	if d.Version != 0 {
		fields = append(fields, zap.Uint64("version", uint64(d.Version)))
	}
	if d.Attempt > 0 {
		fields = append(fields, zap.Int("attempt", d.Attempt))
	}
	if d.Status > 0 {
		fields = append(fields, zap.Int("status", d.Status), zap.Duration("took", d.ResponseTime))
	}
	entry.Write(fields...)
}

// maxDecisionFields is an upper bound of the fields of one log entry.
const maxDecisionFields = 14
