package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsite"
)

// change is what it took to put one version in force.
type change struct {
	version qhid.Version
	// window is how long the control bytes were counted.
	window  time.Duration
	inForce qhsite.InForce
	// control has the control bytes of each node in the window.
	control []qhsite.Control
}

func newChange(version qhid.Version, window time.Duration, inForce qhsite.InForce, before, after []qhsite.Control) change {
	c := change{version: version, window: window, inForce: inForce}
	for i := range after {
		c.control = append(c.control, after[i].Sub(before[i]))
	}
	return c
}

// controls returns the control bytes of every node since it started.
func controls(ctx context.Context, site *qhsite.Site) ([]qhsite.Control, error) {
	list := make([]qhsite.Control, len(site.Nodes))
	for i, node := range site.Nodes {
		var err error
		if list[i], err = node.Control(ctx); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// report prints the figures of this run.
func (d *demo) report(ctx context.Context) error {
	before, err := controls(ctx, d.site)
	if err != nil {
		return err
	}
	time.Sleep(idle)
	after, err := controls(ctx, d.site)
	if err != nil {
		return err
	}
	d.say("\nFigures of this run. Control bytes are what a node sent to other nodes.\n")
	d.say("Convergence time, from the start of confirm to the last node:")
	for _, c := range d.changes {
		d.say("  version %d: %s (bytes counted for %s)", c.version, round(c.inForce.Last()), round(c.window))
	}
	d.say("")
	table := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "node\t"
	for _, c := range d.changes {
		header += fmt.Sprintf("version %d\t", c.version)
	}
	_, _ = fmt.Fprintln(table, header+"idle a second\t") // nobody reads any more
	for i, node := range d.site.Nodes {
		row := string(node.Settings.ID) + "\t"
		for _, c := range d.changes {
			row += fmt.Sprintf("%d B\t", c.control[i].Sent)
		}
		rate := float64(after[i].Sub(before[i]).Sent) / idle.Seconds()
		_, _ = fmt.Fprintf(table, "%s%.0f B\t\n", row, rate) // nobody reads any more
	}
	return table.Flush()
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// counts shows how many calls each service answered.
func counts(services map[qhid.Service]int) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(services)) {
		list = append(list, fmt.Sprintf("%s %d", name, services[name]))
	}
	return strings.Join(list, ", ")
}
