package qhask

import (
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
)

// Decision is a decision of a node about a call.
type Decision = qhdecision.Decision

// State is the part of a node's dump that describes the node and its
// configuration.
type State struct {
	Node    qhid.Node      `json:"node"`
	Zone    qhid.Zone      `json:"zone"`
	Build   string         `json:"build"`
	Started time.Time      `json:"started"`
	State   qhmember.State `json:"state"`
	// Ready is "yes", or why the node does not accept calls.
	Ready  string        `json:"ready"`
	Config ConfigInForce `json:"held"`
}

// ConfigInForce describes the version in force on a node, and the newer versions
// that the node refused.
type ConfigInForce struct {
	Version  qhid.Version       `json:"version"`
	Digest   qhid.Digest        `json:"digest"`
	Services int                `json:"services"`
	Routes   int                `json:"routes"`
	Refusals []qhstatus.Refusal `json:"refusals,omitempty"`
	// Problems are those of the configuration as the node received it. Its invalid
	// parts are left out or restricted.
	Problems []qhconfig.Problem `json:"problems,omitempty"`
}
