package main

import (
	"context"
	"fmt"
)

// holdFleet starts a fleet that holds no configuration yet, tells how to reach
// it and keeps it until the context ends.
func holdFleet(ctx context.Context, bin, name string) error {
	site, stop, err := start(ctx, bin, name)
	if err != nil {
		return err
	}
	defer stop()
	if err := site.WaitMembers(ctx); err != nil {
		return err
	}
	first := site.Nodes[0].Settings
	fmt.Printf("export QHCTL_PLATFORM=%s QHCTL_NODE=%s CALLERS=%s\n", site.Platform, first.Listen.Operators, first.Listen.Callers)
	for _, node := range site.Nodes {
		listen := node.Settings.Listen
		fmt.Printf("# %-12s %-10s callers %s, operators %s, pid %d\n", node.Settings.ID, node.Settings.Zone, listen.Callers, listen.Operators, node.ID)
	}
	fmt.Println("# running until interrupted")
	<-ctx.Done()
	return nil
}
