// Package qhlog builds the logger of a program from its settings.
package qhlog

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhsetting"
)

// In each samplePeriod, the first sampleFirst entries with the same message are
// logged, then one in sampleThereafter. Warnings and errors are always logged.
const (
	samplePeriod     = time.Second
	sampleFirst      = 200
	sampleThereafter = 100
)

// New returns the logger of a program and a cleanup function, which writes the
// queued lines. Output and format follow the settings; the format auto means
// text on a terminal and JSON elsewhere. Logging never blocks on the output;
// see sink. The error is of kind BadInput.
func New(settings qhsetting.Log, name, version string) (*zap.Logger, func(), error) {
	file := os.Stderr
	if settings.Output == "stdout" {
		file = os.Stdout
	}
	queue, stop := newSink(file)
	log, _, err := newLogger(sinkWriter{queue, maxQueuedBytes / 2}, sinkWriter{queue, maxQueuedBytes}, isTerminal(file), settings, name, version)
	if err != nil {
		stop()
		return nil, nil, err
	}
	return log, stop, nil
}

// newForWriter returns a logger that writes to out synchronously.
func newForWriter(out zapcore.WriteSyncer, terminal bool, settings qhsetting.Log, name, version string) (*zap.Logger, func(), error) {
	out = zapcore.Lock(out)
	return newLogger(out, out, terminal, settings, name, version)
}

// newLogger returns a logger that writes levels below warn to lowPriority and
// the others to highPriority.
func newLogger(lowPriority, highPriority zapcore.WriteSyncer, terminal bool, settings qhsetting.Log, name, version string) (*zap.Logger, func(), error) {
	level, err := zapcore.ParseLevel(settings.Level)
	if err != nil {
		return nil, nil, qherr.New(qherr.BadInput, err, "write debug, info, warn or error", "invalid log.level")
	}
	lowPriorityLevels := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= level && l < zapcore.WarnLevel })
	highPriorityLevels := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= level && l >= zapcore.WarnLevel })
	lowPriorityCore := zapcore.NewCore(newEncoder(settings.Format, terminal), lowPriority, lowPriorityLevels)
	core := zapcore.NewTee(
		zapcore.NewSamplerWithOptions(lowPriorityCore, samplePeriod, sampleFirst, sampleThereafter),
		zapcore.NewCore(newEncoder(settings.Format, terminal), highPriority, highPriorityLevels),
	)
	log := zap.New(core).Named(name).With(zap.String("build", version))
	return log, func() { _ = log.Sync() }, nil // Sync fails on a terminal
}

func newEncoder(format string, terminal bool) zapcore.Encoder {
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
