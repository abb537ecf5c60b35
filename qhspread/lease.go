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
	// renewalsPerLease is the number of renewals within one lease duration.
	renewalsPerLease = 3
	// renewalCheckInterval is the time between two checks of whether the lease
	// is due for renewal, and so the shortest time between two renewals; leases
	// under three seconds are checked more often.
	renewalCheckInterval = time.Second
	// vacancyCheckLeases is the number of lease durations between two checks
	// for a vacant slot.
	vacancyCheckLeases = 2
	// platformTimeout bounds a call to the platform, except a watch.
	platformTimeout = 3 * time.Second
)

func (s *Spreader) leaseDuration() time.Duration { return time.Duration(s.Settings.LeaseTTL) }

// acquireSlot lists the slots of this availability zone and acquires a vacant
// one. It returns whether this node holds a slot now. Afterwards the keeper
// knows the relays that hold the other slots.
func (s *Spreader) acquireSlot(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := s.keeper.Refresh(ctx); err != nil {
		return false
	}
	s.platformContact.record()
	acquired, err := s.keeper.Acquire(ctx, s.leaseStatus())
	if err != nil || !acquired {
		return false
	}
	s.becomeRoot()
	return true
}

// becomeRoot leaves the parent, since the holder of a slot has none.
func (s *Spreader) becomeRoot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Log.Info("relay slot acquired")
	s.counts.slotsAcquired.Inc()
	if s.parent != nil {
		s.disconnect(s.parent, "relay")
		s.parent = nil
	}
	s.setPath([]qhid.Node{s.self})
	s.signalTopologyChange()
}

// leaseLoop renews the lease of the slot, and does so early if the summary has
// changed.
func (s *Spreader) leaseLoop(ctx context.Context) {
	var last qhstatus.Summary
	var renewed time.Time
	for ctx.Err() == nil {
		sleep(ctx, min(renewalCheckInterval, s.leaseDuration()/renewalsPerLease))
		summary := s.Summary()
		due := time.Since(renewed) >= s.leaseDuration()/renewalsPerLease || !equalSummaries(summary, last)
		if !s.keeper.HeldUnlessTaken() || !due {
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
	held, err := s.keeper.Renew(ctx, s.leaseStatus())
	if err != nil {
		s.Log.Warn("relay lease not renewed", zap.Error(err))
		return false
	}
	s.platformContact.record()
	if !held {
		s.Log.Info("relay slot lost to another node")
		s.signalTopologyChange()
	}
	return held
}

// vacantSlotLoop looks for vacant slots if this node is a child of a root:
// there are few such children, and they are the closest to take over.
func (s *Spreader) vacantSlotLoop(ctx context.Context) {
	for ctx.Err() == nil {
		period := vacancyCheckLeases * s.leaseDuration()
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

// leaseStatus returns the status that a renewal of the lease stores.
func (s *Spreader) leaseStatus() qhlease.HolderStatus {
	members := 0
	for _, entry := range s.Members.View().Entries {
		if entry.Zone == s.zone && entry.State == qhmember.Up {
			members++
		}
	}
	return qhlease.HolderStatus{MemberCount: members, Summary: s.Summary()}
}
