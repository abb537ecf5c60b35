package qhspread

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhlease"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhstatus"
)

const (
	// renewalsPerTTL is the number of renewals within the TTL of the lease.
	renewalsPerTTL = 3
	// renewalCheckInterval is the time between two checks of whether the lease
	// is due for renewal, and so the shortest time between two renewals. Leases
	// with a TTL under three seconds are checked more often.
	renewalCheckInterval = time.Second
	// freeSlotCheckTTLs is the mean time between two checks for a free slot, in
	// TTLs.
	freeSlotCheckTTLs = 2
	// platformTimeout bounds a call to the platform, except a watch.
	platformTimeout = 3 * time.Second
)

func (s *Spreader) leaseTTL() time.Duration { return time.Duration(s.Settings.LeaseTTL) }

// acquireSlot lists the slots of this availability zone and acquires a free one.
// It reports whether this node now holds a slot. Afterwards s.leases knows the
// relays that hold the other slots.
func (s *Spreader) acquireSlot(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := s.leases.Refresh(ctx); err != nil {
		return false
	}
	s.platformContact.record()
	acquired, err := s.leases.Acquire(ctx, s.holderStatus())
	if err != nil || !acquired {
		return false
	}
	s.becomeRelay()
	return true
}

// becomeRelay disconnects from the parent, since a relay has none.
func (s *Spreader) becomeRelay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Log.Info("relay slot acquired")
	s.metrics.slotsAcquired.Inc()
	if s.parent != nil {
		s.disconnect(s.parent, "relay")
		s.parent = nil
	}
	s.setPath([]qhid.Node{s.self})
	s.signalTopologyChange()
}

// leaseLoop renews the lease while this node holds a slot, and renews it early if
// the summary has changed.
func (s *Spreader) leaseLoop(ctx context.Context) {
	var last qhstatus.Summary
	var renewed time.Time
	for ctx.Err() == nil {
		sleep(ctx, min(renewalCheckInterval, s.leaseTTL()/renewalsPerTTL))
		summary := s.Summary()
		due := time.Since(renewed) >= s.leaseTTL()/renewalsPerTTL || !equalSummaries(summary, last)
		if !s.leases.HoldsIgnoringExpiry() || !due {
			continue
		}
		if s.renewLease(ctx) {
			last, renewed = summary, time.Now()
		}
	}
}

func (s *Spreader) renewLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	held, err := s.leases.Renew(ctx, s.holderStatus())
	if err != nil {
		s.Log.Warn("cannot renew relay lease", zap.Error(err))
		return false
	}
	s.platformContact.record()
	if !held {
		s.Log.Info("relay slot taken over by another node")
		s.signalTopologyChange()
	}
	return held
}

// freeSlotLoop looks for free slots while this node is a child of a root. Deeper
// nodes look only when they have no parent (see attach). Since children of roots
// are few, this keeps the number of calls to the platform low.
func (s *Spreader) freeSlotLoop(ctx context.Context) {
	for ctx.Err() == nil {
		period := freeSlotCheckTTLs * s.leaseTTL()
		sleep(ctx, period/2+jitter(period))
		if s.depth() == 1 && !s.isLeaving() {
			s.acquireSlot(ctx)
		}
	}
}

func (s *Spreader) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// holderStatus returns the status that is stored with the lease.
func (s *Spreader) holderStatus() qhlease.HolderStatus {
	members := 0
	for _, entry := range s.Members.View().Entries {
		if entry.Zone == s.zone && entry.State == qhmember.Up {
			members++
		}
	}
	return qhlease.HolderStatus{MemberCount: members, Summary: s.Summary()}
}
