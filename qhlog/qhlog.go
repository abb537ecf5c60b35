// Package qhlog makes the logger of a program from its settings.
package qhlog

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhsetting"
)

// Of each message, the first sampleFirst of a sampleTick are written, then one
// in sampleRest.
const (
	sampleTick  = time.Second
	sampleFirst = 100
	sampleRest  = 100
)

// New returns the logger of the program and its clean-up, which writes out what
// is held back. Lines go to standard error: JSON, or text on a terminal. The
// error is of the kind BadInput.
func New(settings qhsetting.Log, name, version string) (*zap.Logger, func(), error) {
	return newAt(os.Stderr, isTerminal(os.Stderr), settings, name, version)
}

func newAt(out zapcore.WriteSyncer, terminal bool, settings qhsetting.Log, name, version string) (*zap.Logger, func(), error) {
	level, err := zapcore.ParseLevel(settings.Level)
	if err != nil {
		return nil, nil, qherr.New(qherr.BadInput, err, "write debug, info, warn or error", "log.level")
	}
	core := zapcore.NewCore(encoder(settings.Format, terminal), zapcore.Lock(out), level)
	core = zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleRest)
	log := zap.New(core).Named(name).With(zap.String("build", version))
	return log, func() { _ = log.Sync() }, nil // a terminal can't be synced
}

func encoder(format string, terminal bool) zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.NameKey = "program"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	if format == "console" || format == "auto" && terminal {
		config.EncodeLevel = zapcore.CapitalLevelEncoder
		return zapcore.NewConsoleEncoder(config)
	}
	return zapcore.NewJSONEncoder(config)
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
