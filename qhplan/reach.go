package qhplan

import (
	"context"
	"maps"
	"slices"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhoperate"
)

// Reach tells where a plan will be felt.
type Reach struct {
	// Services are those that the plan changes or whose routes it changes.
	Services []qhid.Service `json:"services"`
	// Node is the node that was asked; empty where none was.
	Node qhid.Address `json:"node,omitempty"`
	// UnknownReason tells why nodes and zones are not known; empty where they are.
	UnknownReason string `json:"unknown,omitempty"`
	qhoperate.Reach
}

// ReachFunc asks a node what it knows of services.
type ReachFunc func(ctx context.Context, services []qhid.Service) (qhid.Address, qhoperate.Reach, error)

// noNodeReason is the reason for an unknown reach.
const noNodeReason = "no node was asked"

// reachOfDiff returns where the diff will be felt. A node that does not answer
// leaves it unknown, and keeps no plan from being made.
func reachOfDiff(ctx context.Context, ask ReachFunc, base qhconfig.Config, diff qhconfig.Diff) Reach {
	access := accessSetOf(base, diff)
	services := maps.Clone(access.writtenServices)
	maps.Copy(services, access.readServices)
	reach := Reach{Services: slices.Sorted(maps.Keys(services)), UnknownReason: noNodeReason}
	if ask == nil {
		return reach
	}
	node, known, err := ask(ctx, reach.Services)
	reach.Node = node
	if err != nil {
		reach.UnknownReason = err.Error()
		return reach
	}
	reach.Reach, reach.UnknownReason = known, ""
	return reach
}
