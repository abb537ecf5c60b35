// Package qhhold keeps the configuration version that a node holds: all of a
// version or none of it, and never an older one than before.
package qhhold

import (
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhroute"
)

// Snapshot is one version as the path of a call reads it. It is never changed.
type Snapshot struct {
	Version  qhid.Version
	Digest   qhid.Digest
	Config   qhconfig.Config
	Services map[qhid.Service]*qhconfig.Service
	Index    *qhroute.Index
}
