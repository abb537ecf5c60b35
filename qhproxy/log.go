package qhproxy

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"quetzalhaven.dev/qhdecision"
)

// logDecision writes one line for a decision on a call: what was decided, why,
// and what it was decided by. What went well is at the level info, what failed
// at warn.
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
	text := func(key, value string) {
		if value != "" {
			fields = append(fields, zap.String(key, value))
		}
	}
	text("request", string(d.Request))
	text("reason", string(d.Reason))
	text("outcome", d.Outcome)
	text("route", string(d.Route))
	text("service", string(d.Service))
	text("target", string(d.Target))
	text("at", string(d.Node))
	text("rather", string(d.RunnerUp))
	text("detail", d.Detail)
	if d.Version != 0 {
		fields = append(fields, zap.Uint64("version", uint64(d.Version)))
	}
	if d.Attempt > 0 {
		fields = append(fields, zap.Int("attempt", d.Attempt))
	}
	if d.Status > 0 {
		fields = append(fields, zap.Int("status", d.Status), zap.Duration("took", d.Took))
	}
	entry.Write(fields...)
}

// maxDecisionFields is the most fields of a line.
const maxDecisionFields = 14
