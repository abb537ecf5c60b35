// Package qhrollout determines on how many nodes a configuration version is in
// force, from the reports of the availability zones' relays on the platform.
package qhrollout

import (
	"cmp"
	"slices"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhlease"
	"quetzalhaven.dev/qhstatus"
)

// Report is the rollout status of a version.
type Report struct {
	// Version is the version whose rollout is reported, usually the newest one.
	Version qhid.Version `json:"version"`
	// Nodes is the number of known nodes. InForce is the number of nodes on which
	// Version or a newer version is in force.
	Nodes   int `json:"nodes"`
	InForce int `json:"inforce"`
	// RefusingNodes is the number of nodes that refuse a version; Refusals lists some
	// of them.
	RefusingNodes int                `json:"refused,omitempty"`
	Refusals      []qhstatus.Refusal `json:"refusals,omitempty"`
	// Zones are ordered by name.
	Zones []ZoneReport `json:"zones"`
}

// ZoneReport is the part of a report for one availability zone.
type ZoneReport struct {
	Zone    qhid.Zone `json:"zone"`
	Nodes   int       `json:"nodes"`
	InForce int       `json:"inforce"`
	// Versions has the number of nodes by the version in force on them.
	Versions []qhstatus.VersionCount `json:"versions"`
	// Silent lists the slots whose relay did not renew within the timeout. Their
	// earlier reports are not counted.
	Silent []qhlease.Slot `json:"silent,omitempty"`
	// Pending is set while a relay has not renewed since the first poll, so that
	// its nodes are not counted yet.
	Pending bool `json:"-"`
}

// Complete reports whether the version is in force on every known node.
func (r Report) Complete() bool {
	return len(r.Zones) > 0 && !slices.ContainsFunc(r.Zones, func(zone ZoneReport) bool {
		return zone.Pending || zone.Nodes == 0 || zone.InForce < zone.Nodes
	})
}

// Pending reports whether a relay has not renewed since the first poll, so that the
// counts are incomplete.
func (r Report) Pending() bool {
	return slices.ContainsFunc(r.Zones, func(zone ZoneReport) bool { return zone.Pending })
}

// Stalled reports whether every node that lacks the version refuses a version.
func (r Report) Stalled() bool {
	return !r.Pending() && r.RefusingNodes > 0 && r.InForce+r.RefusingNodes >= r.Nodes
}

// ReportOf returns the report for a single summary, for example of one node and the
// nodes below it in the distribution tree.
func ReportOf(version qhid.Version, zone qhid.Zone, summary qhstatus.Summary) Report {
	builder := newBuilder(version)
	builder.add(zone, 0, summary)
	return builder.report()
}

// builder aggregates summaries into a report.
type builder struct {
	version       qhid.Version
	zones         map[qhid.Zone]*zoneTotals
	refusingNodes int
	refusals      []qhstatus.Refusal
}

// zoneTotals aggregates the summaries of one availability zone.
type zoneTotals struct {
	// members is the largest member count reported by a relay of the zone.
	members        int
	nodesByVersion map[qhid.Version]int
	silent         []qhlease.Slot
	pending        bool
}

func newBuilder(version qhid.Version) *builder {
	return &builder{version: version, zones: make(map[qhid.Zone]*zoneTotals)}
}

func (b *builder) totalsOf(zone qhid.Zone) *zoneTotals {
	totals := b.zones[zone]
	if totals == nil {
		totals = &zoneTotals{nodesByVersion: make(map[qhid.Version]int)}
		b.zones[zone] = totals
	}
	return totals
}

func (b *builder) add(zone qhid.Zone, members int, summary qhstatus.Summary) {
	totals := b.totalsOf(zone)
	totals.members = max(totals.members, members)
	for _, count := range summary.Versions {
		totals.nodesByVersion[count.Version] += count.Nodes
	}
	b.refusingNodes += summary.RefusingNodes
	b.refusals = append(b.refusals, summary.Refusals...)
}

func (b *builder) report() Report {
	report := Report{Version: b.version, RefusingNodes: b.refusingNodes, Refusals: b.refusals, Zones: []ZoneReport{}}
	for name, totals := range b.zones {
		zone := totals.report(name, b.version)
		report.Nodes += zone.Nodes
		report.InForce += zone.InForce
		report.Zones = append(report.Zones, zone)
	}
	slices.SortFunc(report.Zones, func(a, b ZoneReport) int { return cmp.Compare(a.Zone, b.Zone) })
	slices.SortFunc(report.Refusals, func(a, b qhstatus.Refusal) int { return cmp.Compare(a.Node, b.Node) })
	return report
}

func (t *zoneTotals) report(name qhid.Zone, version qhid.Version) ZoneReport {
	zone := ZoneReport{Zone: name, Versions: []qhstatus.VersionCount{}, Silent: t.silent, Pending: t.pending}
	counted := 0
	for inForce, nodes := range t.nodesByVersion {
		counted += nodes
		if inForce >= version {
			zone.InForce += nodes
		}
		zone.Versions = append(zone.Versions, qhstatus.VersionCount{Version: inForce, Nodes: nodes})
	}
	zone.Nodes = max(t.members, counted)
	slices.SortFunc(zone.Versions, func(a, b qhstatus.VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	slices.Sort(zone.Silent)
	return zone
}
