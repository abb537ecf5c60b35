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
	// renewals is how many times a lease is renewed in its time.
	renewals = 3
	// minRenewal is the shortest time between two renewals.
	minRenewal = time.Second
	// vacancyLeases is how many lease times pass between two looks for a free slot.
	vacancyLeases = 2
	// platformTimeout bounds a call to the platform but for a watch.
	platformTimeout = 3 * time.Second
)

func (s *Spreader) lease() time.Duration { return time.Duration(s.Settings.LeaseTTL) }

// claim looks at the slots of this availability zone and takes a free one. It
// returns whether this node has one now. The relays that hold the others are
// known after it.
func (s *Spreader) claim(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := s.keeper.Refresh(ctx); err != nil {
		return false
	}
	s.platform.note()
	claimed, err := s.keeper.Acquire(ctx, s.status())
	if err != nil || !claimed {
		return false
	}
	s.becomeRoot()
	return true
}

// becomeRoot leaves the parent, since the holder of a slot has none.
func (s *Spreader) becomeRoot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Log.Info("relay slot taken")
	s.counts.slots.Inc()
	if s.parent != nil {
		s.drop(s.parent, "relay")
		s.parent = nil
	}
	s.setPath([]qhid.Node{s.self})
	s.nudge()
}

// leaseLoop renews the slot, sooner where the summary has changed.
func (s *Spreader) leaseLoop(ctx context.Context) {
	var last qhstatus.Summary
	var renewed time.Time
	for ctx.Err() == nil {
		pause(ctx, min(minRenewal, s.lease()/renewals))
		summary := s.Summary()
		due := time.Since(renewed) >= s.lease()/renewals || !equal(summary, last)
		if !s.keeper.PresumedHeld() || !due {
			continue
		}
		if s.renew(ctx) {
			last, renewed = summary, time.Now()
		}
	}
}

func (s *Spreader) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	held, err := s.keeper.Renew(ctx, s.status())
	if err != nil {
		s.Log.Warn("relay slot not renewed", zap.Error(err))
		return false
	}
	s.platform.note()
	if !held {
		s.Log.Info("relay slot taken by another node")
		s.nudge()
	}
	return held
}

// vacancyLoop looks for free slots, if this node is a child of a root: those are
// few, and nearest to take over.
func (s *Spreader) vacancyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		period := vacancyLeases * s.lease()
		pause(ctx, period/2+jitter(period))
		if s.depth() == 1 && !s.isLeaving() {
			s.claim(ctx)
		}
	}
}

func (s *Spreader) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// status returns what a renewal tells.
func (s *Spreader) status() qhlease.Status {
	members := 0
	for _, entry := range s.Members.View().Entries {
		if entry.Zone == s.zone && entry.State == qhmember.Up {
			members++
		}
	}
	return qhlease.Status{MemberCount: members, Summary: s.Summary()}
}
