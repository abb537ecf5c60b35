package qhlease

import (
	"time"

	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstatus"
)

// observation is what this node has seen of one lease. It relies on this node's
// clock only: a lease has expired if its object did not change for the TTL while
// this node kept reading it.
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

// expired reports whether the slot is free: it has no holder, or the lease had not
// changed for the TTL at the last read.
func (o observation) expired(ttl time.Duration) bool {
	return o.revision == 0 || o.lease.Holder == "" || o.lastRead.Sub(o.firstSeen) > ttl
}
