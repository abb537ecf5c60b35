package qhask

import (
	"time"

	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
)

// Decision is one decision of a node about a call.
type Decision = qhdecision.Decision

// State is the part of a node's dump that tells what it holds and why.
type State struct {
	Node    qhid.Node      `json:"node"`
	Zone    qhid.Zone      `json:"zone"`
	Build   string         `json:"build"`
	Started time.Time      `json:"started"`
	State   qhmember.State `json:"state"`
	// Ready is "yes" or why the node takes no calls.
	Ready  string     `json:"ready"`
	Config HeldConfig `json:"held"`
}

// HeldConfig tells which version a node holds, and which it keeps out.
type HeldConfig struct {
	Version  qhid.Version       `json:"version"`
	Digest   qhid.Digest        `json:"digest"`
	Services int                `json:"services"`
	Routes   int                `json:"routes"`
	Refusals []qhstatus.Refusal `json:"refusals,omitempty"`
}
