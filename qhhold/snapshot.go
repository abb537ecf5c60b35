// Package qhhold holds the configuration version that is in force on a node. A
// version is applied completely or not at all, and never replaced by an older one.
package qhhold

import (
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhroute"
)

// Snapshot is an immutable configuration version with the indexes that calls use.
type Snapshot struct {
	Version  qhid.Version
	Digest   qhid.Digest
	Config   qhconfig.Config
	Services map[qhid.Service]*qhconfig.Service
	Index    *qhroute.Index
	// Keys has the tenant of each key.
	Keys map[qhconfig.KeyDigest]*qhconfig.Tenant
	// Problems are those of the configuration as it was received, which Config
	// no longer has.
	Problems []qhconfig.Problem
}
