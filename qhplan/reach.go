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
	// Unknown tells why nodes and zones are not known; empty where they are.
	Unknown string `json:"unknown,omitempty"`
	qhoperate.Reach
}

// AskReach asks a node what it knows of services.
type AskReach func(ctx context.Context, services []qhid.Service) (qhid.Address, qhoperate.Reach, error)

// noNode is the reason for an unknown reach.
const noNode = "no node was asked"

// reachOf returns where the diff will be felt. A node that does not answer
// leaves it unknown, and keeps no plan from being made.
func reachOf(ctx context.Context, ask AskReach, base qhconfig.Config, diff qhconfig.Diff) Reach {
	touched := touchedBy(base, diff)
	services := maps.Clone(touched.services)
	maps.Copy(services, touched.used)
	reach := Reach{Services: slices.Sorted(maps.Keys(services)), Unknown: noNode}
	if ask == nil {
		return reach
	}
	node, known, err := ask(ctx, reach.Services)
	reach.Node = node
	if err != nil {
		reach.Unknown = err.Error()
		return reach
	}
	reach.Reach, reach.Unknown = known, ""
	return reach
}
