// Package qhtarget implements the test target of integration tests and the
// demo. It has a limited number of slots, a warm-up time and faults that can be
// injected, echoes each call in the response, and records every call that it
// executed.
package qhtarget

import (
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
)

// Options configures a Target.
type Options struct {
	ID      qhid.Target
	Service qhid.Service
	Zone    qhid.Zone
	// Node is the base URL of the node's announce API; if empty, the target is
	// not announced.
	Node string
	// Slots is the maximum number of calls executed at a time. Further calls are
	// shed with status 503.
	Slots int
	// MaxConnections is the announced maximum number of open connections. The
	// target does not enforce it.
	MaxConnections int
	// ServiceTime is how long the execution of a call takes.
	ServiceTime time.Duration
	// WarmUp is how long after its start the target is slow and announces the
	// state cold.
	WarmUp time.Duration
	// ShutdownDelay is how long the target still accepts calls after its
	// announcement was withdrawn, since nodes may have sent calls before they
	// learned of the withdrawal.
	ShutdownDelay time.Duration
	Log           *zap.Logger
}
