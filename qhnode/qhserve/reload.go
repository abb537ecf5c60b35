package qhserve

import (
	"context"

	"go.uber.org/zap"
)

// reload takes settings that changed.
func (n *Node) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case settings := <-n.Reloaded:
			n.latest.Store(&settings)
			n.Log.Info("settings read again; those but beside and seeds take effect at the next start",
				zap.String("beside", string(n.beside())), zap.Int("seeds", len(settings.Seeds)))
		}
	}
}
