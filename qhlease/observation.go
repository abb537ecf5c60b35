package qhlease

import (
	"time"

	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstatus"
)

// observation is what one node has seen of one lease. It judges by this node's
// clock alone: a lease has lapsed when its object stood still for the lease time
// while this node looked.
type observation struct {
	revision qhplatform.Revision
	relay    qhstatus.RelayLease
	// since is when this node first saw the revision.
	since time.Time
	// seen is when this node last looked.
	seen time.Time
}

// see returns the observation after a look at the object.
func (o observation) see(object qhplatform.Object, relay qhstatus.RelayLease, now time.Time) observation {
	if object.Revision < o.revision {
		o.seen = now
		return o // an old answer
	}
	if object.Revision > o.revision {
		o = observation{revision: object.Revision, relay: relay, since: now}
	}
	o.seen = now
	return o
}

// lapsed tells whether the last look found a lease that stood still for so long.
func (o observation) lapsed(lease time.Duration) bool {
	return o.revision == 0 || o.relay.Holder == "" || o.seen.Sub(o.since) > lease
}
