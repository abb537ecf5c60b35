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

// reloadPeriod is how often the settings file is compared, for changes without
// a signal.
const reloadPeriod = 2 * time.Second

// watchSettings returns the settings each time that SIGHUP or a look finds the
// file changed. Bad settings are logged, and the node goes on with those it has.
func watchSettings(group *qhgroup.Group, path string, log *zap.Logger) <-chan qhsetting.Node {
	changed := make(chan qhsetting.Node)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	last, _ := os.ReadFile(path) // it was read a moment ago
	ticker := time.NewTicker(reloadPeriod)
	look := func() {
		now, err := os.ReadFile(path)
		if err == nil && bytes.Equal(now, last) {
			return
		}
		last = now
		settings, err := qhsetting.LoadNode(path)
		if err != nil {
			log.Error("settings not taken", zap.Error(err))
			return
		}
		select {
		case changed <- settings:
		case <-group.Context().Done():
		}
	}
	group.Go(func(ctx context.Context) {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				look()
			case <-ticker.C:
				look()
			}
		}
	})
	return changed
}
