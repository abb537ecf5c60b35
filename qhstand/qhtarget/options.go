// Package qhtarget is a target for tests and the demo: it has slots, a cold
// start and faults that can be switched, echoes what it was asked, and keeps a
// record of every call that ran.
package qhtarget

import (
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
)

// Options are the options of New.
type Options struct {
	ID      qhid.Target
	Service qhid.Service
	Zone    qhid.Zone
	// Node is the base URL where the target announces itself; empty for nowhere.
	Node string
	// Slots is how many calls run at a time. Calls above are shed with 503.
	Slots int
	// Connections is announced as the bound of open connections.
	Connections int
	// Time is how long a call runs.
	Time time.Duration
	// Cold is how long after its start the target is slow.
	Cold time.Duration
	// Linger is how long the target goes on taking calls after it was taken
	// back, for those that are on their way.
	Linger time.Duration
	Log    *zap.Logger
}
