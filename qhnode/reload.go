package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhsetting"
)

// settingsPollInterval is how often the settings file is checked for changes
// without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings returns a channel that receives the settings after each change
// of the file, which is checked on SIGHUP and periodically. Invalid settings
// are logged and not sent.
func watchSettings(group *qhgroup.Group, path string, log *zap.Logger) <-chan qhsetting.Node {
	updates := make(chan qhsetting.Node)
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	lastText, _ := os.ReadFile(path) // the caller has just read it
	ticker := time.NewTicker(settingsPollInterval)
	reload := func() {
		text, err := os.ReadFile(path)
		if err == nil && bytes.Equal(text, lastText) {
			return
		}
		lastText = text
		settings, err := qhsetting.LoadNode(path)
		if err != nil {
			log.Error("cannot reload the settings; the node keeps the previous ones", zap.Error(err))
			return
		}
		select {
		case updates <- settings:
		case <-group.Context().Done():
		}
	}
	group.Go(func(ctx context.Context) {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-sighup:
				reload()
			case <-ticker.C:
				reload()
			}
		}
	})
	return updates
}
