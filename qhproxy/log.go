package qhproxy

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"quetzalhaven.dev/qhdecision"
)

// The sampling of the log: of each message, so many in each tick, and then one
// in so many.
const (
	logTick  = time.Second
	logFirst = 10
	logThen  = 1000
)

// sampled returns the log with its messages sampled.
func sampled(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, logTick, logFirst, logThen)
	}))
}

// logRefusal writes why a call was answered by the mesh itself.
func (p *Proxy) logRefusal(f *failure, d qhdecision.Decision) {
	p.Log.Info("call refused",
		zap.String("request", string(d.Request)),
		zap.String("reason", string(f.Reason)),
		zap.String("outcome", f.Outcome),
		zap.String("route", string(d.Route)),
		zap.String("detail", f.Detail),
	)
}
