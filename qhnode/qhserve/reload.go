package qhserve

import (
	"context"

	"go.uber.org/zap"
)

// watchSettings stores updated settings until the context ends.
func (n *Node) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case settings := <-n.SettingsUpdates:
			n.latestSettings.Store(&settings)
			n.Log.Info("settings reloaded; only beside and seeds take effect without a restart",
				zap.String("beside", string(n.localService())), zap.Int("seeds", len(settings.Seeds)))
		}
	}
}
