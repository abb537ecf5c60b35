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

// Of each message that tells what went well, the first sampleFirst of a
// sampleTick are written, then one in sampleRest. What failed is always written.
const (
	sampleTick  = time.Second
	sampleFirst = 200
	sampleRest  = 100
)

// New returns the logger of the program and its clean-up, which writes out what
// is held back. Lines go to the output of the settings: JSON, or text on a
// terminal. Writing never waits for the output; see sink. The error is of the
// kind BadInput.
func New(settings qhsetting.Log, name, version string) (*zap.Logger, func(), error) {
	file := os.Stderr
	if settings.Output == "stdout" {
		file = os.Stdout
	}
	held, stop := newSink(file)
	log, _, err := newOver(writer{held, sinkBytes / 2}, writer{held, sinkBytes}, isTerminal(file), settings, name, version)
	if err != nil {
		stop()
		return nil, nil, err
	}
	return log, stop, nil
}

func newAt(out zapcore.WriteSyncer, terminal bool, settings qhsetting.Log, name, version string) (*zap.Logger, func(), error) {
	out = zapcore.Lock(out)
	return newOver(out, out, terminal, settings, name, version)
}

// newOver returns a logger that writes what went well to one place and what
// failed to another.
func newOver(well, failed zapcore.WriteSyncer, terminal bool, settings qhsetting.Log, name, version string) (*zap.Logger, func(), error) {
	level, err := zapcore.ParseLevel(settings.Level)
	if err != nil {
		return nil, nil, qherr.New(qherr.BadInput, err, "write debug, info, warn or error", "log.level")
	}
	below := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= level && l < zapcore.WarnLevel })
	above := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= level && l >= zapcore.WarnLevel })
	routine := zapcore.NewCore(encoder(settings.Format, terminal), well, below)
	core := zapcore.NewTee(
		zapcore.NewSamplerWithOptions(routine, sampleTick, sampleFirst, sampleRest),
		zapcore.NewCore(encoder(settings.Format, terminal), failed, above),
	)
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
