package qhoperate

import (
	"slices"
	"strings"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// AffectedCounts holds the numbers of nodes and targets that a change of services
// affects, as known by one node.
type AffectedCounts struct {
	// Nodes counts all nodes that are not down; every node applies each
	// version.
	Nodes int `json:"nodes"`
	// Zones are ordered by name.
	Zones []ZoneCounts `json:"zones"`
}

// ZoneCounts holds the affected nodes and targets of one availability zone.
type ZoneCounts struct {
	Zone  qhid.Zone `json:"zone"`
	Nodes int       `json:"nodes"`
	// Targets counts the targets of the requested services.
	Targets int `json:"targets"`
}

// CountAffected counts the nodes of the view that are not down, and their
// targets of the services.
func CountAffected(view *qhmember.View, services []qhid.Service) AffectedCounts {
	zones := make(map[qhid.Zone]*ZoneCounts)
	counts := AffectedCounts{Zones: []ZoneCounts{}}
	for i := range view.Entries {
		entry := &view.Entries[i]
		if entry.State == qhmember.Down {
			continue
		}
		zone := zones[entry.Zone]
		if zone == nil {
			zone = &ZoneCounts{Zone: entry.Zone}
			zones[entry.Zone] = zone
		}
		zone.Nodes++
		zone.Targets += countTargets(entry, services)
		counts.Nodes++
	}
	for _, zone := range zones {
		counts.Zones = append(counts.Zones, *zone)
	}
	slices.SortFunc(counts.Zones, func(a, b ZoneCounts) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return counts
}

func countTargets(entry *qhmember.Entry, services []qhid.Service) int {
	count := 0
	for _, target := range entry.Targets {
		if slices.Contains(services, target.Service) {
			count++
		}
	}
	return count
}
