// Package qhrollout tells how far a configuration version is in force, from
// what the relays of the availability zones put on the platform.
package qhrollout

import (
	"cmp"
	"slices"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhlease"
	"quetzalhaven.dev/qhstatus"
)

// Report tells how far a version is in force.
type Report struct {
	// Version is the one that is asked about, the head as it was read.
	Version qhid.Version `json:"version"`
	// Nodes counts the nodes that are known, InForce those at Version or above.
	Nodes   int `json:"nodes"`
	InForce int `json:"inforce"`
	// RefusingNodes counts the nodes that keep a version out, Refusals names some.
	RefusingNodes int                `json:"refused,omitempty"`
	Refusals      []qhstatus.Refusal `json:"refusals,omitempty"`
	// Zones are ordered by id.
	Zones []Zone `json:"zones"`
}

// Zone is the part of a report for one availability zone.
type Zone struct {
	Zone    qhid.Zone `json:"zone"`
	Nodes   int       `json:"nodes"`
	InForce int       `json:"inforce"`
	// Versions counts nodes by the version that they hold.
	Versions []qhstatus.VersionCount `json:"versions"`
	// Silent are the slots whose relay did not renew while the report was
	// made. What they told before is not counted.
	Silent []qhlease.Slot `json:"silent,omitempty"`
	// Pending tells that a relay may still renew.
	Pending bool `json:"-"`
}

// Complete tells whether the version is in force on every node that is known.
func (r Report) Complete() bool {
	return len(r.Zones) > 0 && !slices.ContainsFunc(r.Zones, func(zone Zone) bool {
		return zone.Pending || zone.Nodes == 0 || zone.InForce < zone.Nodes
	})
}

// Pending tells whether some relay may still renew.
func (r Report) Pending() bool {
	return slices.ContainsFunc(r.Zones, func(zone Zone) bool { return zone.Pending })
}

// Stalled tells whether every node that lacks the version refuses one.
func (r Report) Stalled() bool {
	return !r.Pending() && r.RefusingNodes > 0 && r.InForce+r.RefusingNodes >= r.Nodes
}

// ReportOf returns the report of one summary, such as that of a node and all below it.
func ReportOf(version qhid.Version, zone qhid.Zone, summary qhstatus.Summary) Report {
	builder := newBuilder(version)
	builder.add(zone, 0, summary)
	return builder.report()
}

// builder adds up summaries.
type builder struct {
	version       qhid.Version
	zones         map[qhid.Zone]*zoneTotals
	refusingNodes int
	refusals      []qhstatus.Refusal
}

// zoneTotals adds up the summaries of one availability zone.
type zoneTotals struct {
	// members is the most that a relay of the zone knows.
	members int
	nodes   map[qhid.Version]int
	silent  []qhlease.Slot
	pending bool
}

func newBuilder(version qhid.Version) *builder {
	return &builder{version: version, zones: make(map[qhid.Zone]*zoneTotals)}
}

func (b *builder) totalsOf(zone qhid.Zone) *zoneTotals {
	sum := b.zones[zone]
	if sum == nil {
		sum = &zoneTotals{nodes: make(map[qhid.Version]int)}
		b.zones[zone] = sum
	}
	return sum
}

func (b *builder) add(zone qhid.Zone, members int, summary qhstatus.Summary) {
	sum := b.totalsOf(zone)
	sum.members = max(sum.members, members)
	for _, count := range summary.Versions {
		sum.nodes[count.Version] += count.Nodes
	}
	b.refusingNodes += summary.RefusingNodes
	b.refusals = append(b.refusals, summary.Refusals...)
}

func (b *builder) report() Report {
	report := Report{Version: b.version, RefusingNodes: b.refusingNodes, Refusals: b.refusals, Zones: []Zone{}}
	for name, sum := range b.zones {
		zone := sum.report(name, b.version)
		report.Nodes += zone.Nodes
		report.InForce += zone.InForce
		report.Zones = append(report.Zones, zone)
	}
	slices.SortFunc(report.Zones, func(a, b Zone) int { return cmp.Compare(a.Zone, b.Zone) })
	slices.SortFunc(report.Refusals, func(a, b qhstatus.Refusal) int { return cmp.Compare(a.Node, b.Node) })
	return report
}

func (s *zoneTotals) report(name qhid.Zone, version qhid.Version) Zone {
	zone := Zone{Zone: name, Versions: []qhstatus.VersionCount{}, Silent: s.silent, Pending: s.pending}
	counted := 0
	for held, nodes := range s.nodes {
		counted += nodes
		if held >= version {
			zone.InForce += nodes
		}
		zone.Versions = append(zone.Versions, qhstatus.VersionCount{Version: held, Nodes: nodes})
	}
	zone.Nodes = max(s.members, counted)
	slices.SortFunc(zone.Versions, func(a, b qhstatus.VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	slices.Sort(zone.Silent)
	return zone
}
