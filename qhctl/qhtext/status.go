package qhtext

import (
	"fmt"
	"strings"

	"quetzalhaven.dev/qhctl/qhrollout"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstatus"
)

// Status writes on how many nodes a version is in force, by availability zone, and
// the refusals.
func (w *Writer) Status(report qhrollout.Report) {
	w.Line("%s", Headline(report))
	rows := make([][]string, len(report.Zones))
	for i, zone := range report.Zones {
		rows[i] = []string{string(zone.Zone), fmt.Sprint(zone.Nodes), fmt.Sprint(zone.InForce), versionCounts(zone), zoneNote(zone)}
	}
	if len(rows) > 0 {
		w.Table([]string{"zone", "nodes", "in force", "versions", "note"}, rows)
	}
	for _, refusal := range report.Refusals {
		w.Line("refused by %s: version %d: %s", refusal.Node, refusal.Version, refusal.Reason)
	}
}

// Headline returns a one-line summary of the status of a version.
func Headline(report qhrollout.Report) string {
	if report.Version == 0 {
		return "no version was confirmed yet"
	}
	if report.Nodes == 0 {
		return fmt.Sprintf("version %d: no relay of any availability zone reports", report.Version)
	}
	text := fmt.Sprintf("version %d: in force on %d of %s", report.Version, report.InForce, plural(report.Nodes, "node"))
	if silent := silentZones(report); len(silent) > 0 {
		text += "; no reports from " + joinNames(silent)
	}
	if report.RefusingNodes > 0 {
		text += "; " + refusalSummary(report)
	}
	return text
}

// silentZones returns the availability zones for which no relay reports.
func silentZones(report qhrollout.Report) []qhid.Zone {
	var silent []qhid.Zone
	for _, zone := range report.Zones {
		if zone.Nodes == 0 {
			silent = append(silent, zone.Zone)
		}
	}
	return silent
}

func refusalSummary(report qhrollout.Report) string {
	verb := "refuse"
	if report.RefusingNodes == 1 {
		verb = "refuses"
	}
	text := fmt.Sprintf("%d %s", report.RefusingNodes, verb)
	if len(report.Refusals) > 0 {
		text += ": " + formatRefusal(report.Refusals[0])
	}
	return text
}

func formatRefusal(refusal qhstatus.Refusal) string {
	return fmt.Sprintf("%s, version %d, %s", refusal.Node, refusal.Version, refusal.Reason)
}

// IncompleteZones lists the availability zones that lack the version, on one line.
func IncompleteZones(report qhrollout.Report) string {
	var parts []string
	for _, zone := range report.Zones {
		switch {
		case zone.Nodes == 0:
			parts = append(parts, fmt.Sprintf("%s: no reports", zone.Zone))
		case zone.InForce < zone.Nodes:
			parts = append(parts, fmt.Sprintf("%s: %d of %d", zone.Zone, zone.InForce, zone.Nodes))
		}
	}
	return strings.Join(parts, ", ")
}

// versionCounts lists the number of nodes by the version in force on them, and the
// number of known nodes that no relay has counted.
func versionCounts(zone qhrollout.ZoneReport) string {
	var parts []string
	counted := 0
	for _, count := range zone.Versions {
		counted += count.Nodes
		if count.Version == 0 {
			parts = append(parts, fmt.Sprintf("%d on none", count.Nodes))
			continue
		}
		parts = append(parts, fmt.Sprintf("%d on %d", count.Nodes, count.Version))
	}
	if zone.Nodes > counted {
		parts = append(parts, fmt.Sprintf("%d not counted", zone.Nodes-counted))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

func zoneNote(zone qhrollout.ZoneReport) string {
	switch {
	case len(zone.Silent) > 0:
		return fmt.Sprintf("%s silent", plural(len(zone.Silent), "relay slot"))
	case zone.Pending:
		return "a relay has not renewed yet"
	default:
		return "-"
	}
}
