package qhlease

import (
	"time"

	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstatus"
)

// observation is the last known state of one lease and when this node read it. It
// relies on this node's clock only: a lease has expired if its object did not change
// for longer than the TTL while this node kept reading it.
type observation struct {
	revision qhplatform.Revision
	lease    qhstatus.RelayLease
	// firstSeen is when this node first saw the revision.
	firstSeen time.Time
	// lastRead is when this node last read the object.
	lastRead time.Time
}

// update returns the observation after a read of the object.
func (o observation) update(object qhplatform.Object, lease qhstatus.RelayLease, now time.Time) observation {
	if object.Revision < o.revision {
		o.lastRead = now
		return o // a stale read
	}
	if object.Revision > o.revision {
		o = observation{revision: object.Revision, lease: lease, firstSeen: now}
	}
	o.lastRead = now
	return o
}

// isFree reports whether the slot is free: it has no holder, or the lease had not
// changed for longer than the TTL at the last read.
func (o observation) isFree(ttl time.Duration) bool {
	return o.revision == 0 || o.lease.Holder == "" || o.lastRead.Sub(o.firstSeen) > ttl
}
