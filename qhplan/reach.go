package qhplan

import (
	"context"
	"maps"
	"slices"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhoperate"
)

// Reach describes the services, nodes and targets that a plan affects. The
// embedded counts are set unless UnknownReason is.
type Reach struct {
	// Services are the services that the plan changes or whose routes it changes.
	Services []qhid.Service `json:"services"`
	// Node is the address of the node that was queried; empty if none was.
	Node qhid.Address `json:"node,omitempty"`
	// UnknownReason is why the affected nodes and targets are not known; empty if
	// they are.
	UnknownReason string `json:"unknown,omitempty"`
	qhoperate.AffectedCounts
}

// ReachFunc queries a node for the reach of services. It returns the address of
// the node, also with an error.
type ReachFunc func(ctx context.Context, services []qhid.Service) (qhid.Address, qhoperate.AffectedCounts, error)

// noNodeReason is the reason for an unknown reach if no node is configured.
const noNodeReason = "no node was asked"

// reachOfDiff returns the reach of a diff to base. If the query fails, the reach
// is unknown, which does not prevent the plan.
func reachOfDiff(ctx context.Context, query ReachFunc, base qhconfig.Config, diff qhconfig.Diff) Reach {
	access := accessSetOf(base, diff)
	services := maps.Clone(access.writtenServices)
	maps.Copy(services, access.readServices)
	reach := Reach{Services: slices.Sorted(maps.Keys(services)), UnknownReason: noNodeReason}
	if query == nil {
		return reach
	}
	node, result, err := query(ctx, reach.Services)
	reach.Node = node
	if err != nil {
		reach.UnknownReason = err.Error()
		return reach
	}
	reach.AffectedCounts, reach.UnknownReason = result, ""
	return reach
}
