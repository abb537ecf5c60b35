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

// changeReport holds the convergence times and control bytes of one version.
type changeReport struct {
	version qhid.Version
	// window is the duration over which the control bytes were counted.
	window     time.Duration
	applyTimes qhsite.ApplyTimes
	// controlTraffic has the control bytes of each node in the window, in the
	// order of Site.Nodes.
	controlTraffic []qhsite.ControlTraffic
}

func newChangeReport(version qhid.Version, window time.Duration, applyTimes qhsite.ApplyTimes, before, after []qhsite.ControlTraffic) changeReport {
	c := changeReport{version: version, window: window, applyTimes: applyTimes}
	for i := range after {
		c.controlTraffic = append(c.controlTraffic, after[i].Sub(before[i]))
	}
	return c
}

// readControlTraffic returns the control bytes of each node since its start, in
// the order of Site.Nodes.
func readControlTraffic(ctx context.Context, site *qhsite.Site) ([]qhsite.ControlTraffic, error) {
	result := make([]qhsite.ControlTraffic, len(site.Nodes))
	for i, node := range site.Nodes {
		var err error
		if result[i], err = node.ControlTraffic(ctx); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// printReport prints the convergence times and control bytes of this run.
func (d *demo) printReport(ctx context.Context) error {
	before, err := readControlTraffic(ctx, d.site)
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	after, err := readControlTraffic(ctx, d.site)
	if err != nil {
		return err
	}
	d.printf("\nMeasurements of this run. Control bytes are the bytes that a node sent to other nodes.\n")
	d.printf("Convergence time, from the start of confirm until the version was in force on the last node:")
	for _, c := range d.changes {
		d.printf("  version %d: %s (control bytes counted for %s)", c.version, roundDuration(c.applyTimes.Max()), roundDuration(c.window))
	}
	d.printf("")
	table := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "node\t"
	for _, c := range d.changes {
		header += fmt.Sprintf("version %d\t", c.version)
	}
	_, _ = fmt.Fprintln(table, header+"idle per second\t") // fails only if the reader of the output is gone
	for i, node := range d.site.Nodes {
		row := string(node.Settings.ID) + "\t"
		for _, c := range d.changes {
			row += fmt.Sprintf("%d B\t", c.controlTraffic[i].Sent)
		}
		rate := float64(after[i].Sub(before[i]).Sent) / idleTime.Seconds()
		_, _ = fmt.Fprintf(table, "%s%.0f B\t\n", row, rate) // fails only if the reader of the output is gone
	}
	return table.Flush()
}

func roundDuration(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// formatCounts formats the number of calls by service, ordered by service.
func formatCounts(services map[qhid.Service]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(services)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, services[name]))
	}
	return strings.Join(parts, ", ")
}
