package main

import (
	"context"
	"fmt"
)

// holdSite implements --hold: it starts a fleet without a configuration, prints
// its addresses and keeps it running until ctx is cancelled.
func holdSite(ctx context.Context, bin, name string) error {
	site, stop, err := startSite(ctx, bin, name)
	if err != nil {
		return err
	}
	defer stop()
	if err := site.WaitMembers(ctx); err != nil {
		return err
	}
	settings := site.Nodes[0].Settings
	fmt.Printf("export QHCTL_PLATFORM=%s QHCTL_NODE=%s CALLERS=%s\n", site.PlatformURL, settings.Listen.Operators, settings.Listen.Callers)
	for _, node := range site.Nodes {
		addresses := node.Settings.Listen
		fmt.Printf("# %-12s %-10s callers %s, operators %s, pid %d\n", node.Settings.ID, node.Settings.Zone, addresses.Callers, addresses.Operators, node.PID)
	}
	fmt.Println("# running until interrupted")
	<-ctx.Done()
	return nil
}
