package qhspread

import (
	"context"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhwire"
)

const (
	// hintDelay is how long a root waits before it announces a new version to
	// another root, which normally has it from the platform by then.
	hintDelay = 300 * time.Millisecond
	// hintJitter bounds a random addition to hintDelay, so that one of two
	// roots announces the version first and the other need not.
	hintJitter = 700 * time.Millisecond
)

// sender sends pending updates to one neighbor.
type sender struct {
	*Spreader
	neighbor *neighbor
	// lastBatch is when the last membership update was sent.
	lastBatch time.Time
	// hintDue is when another root is sent the newest version number; zero if
	// it has that version.
	hintDue time.Time
}

// run sends until the link closes. The first membership update after a quiet
// time is sent at once, later ones wait for the batch delay.
func (s *sender) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.neighbor.link.Done():
			return
		case <-s.neighbor.wake:
		case <-timer.C:
		}
		if path := s.neighbor.takePath(); path != nil {
			_ = s.neighbor.link.Notify(ctx, qhwire.KindPath, qhwire.PathUpdate{Path: path}) // a failure closes the link
		}
		delay := min(s.sendVersions(ctx), s.sendUpdates(ctx))
		timer.Reset(delay)
	}
}

// idleWait is the timer of a sender with nothing to do.
const idleWait = time.Hour

// sendUpdates sends the pending entries, or returns how long they have to wait.
func (s *sender) sendUpdates(ctx context.Context) time.Duration {
	if delay := s.batchDelay - time.Since(s.lastBatch); delay > 0 && !s.neighbor.isUrgent() {
		return delay
	}
	for _, update := range s.neighbor.takeUpdates() {
		s.lastBatch = time.Now()
		_ = s.neighbor.link.Notify(ctx, qhwire.KindMembership, update)
	}
	return idleWait
}

// sendVersions sends diffs to a child that is behind and announces the newest
// version to any other peer that is behind. It returns how long an announcement
// has to wait.
func (s *sender) sendVersions(ctx context.Context) time.Duration {
	newest, _ := s.versions.latest()
	version, behind := s.neighbor.versionLag(newest)
	if !behind {
		s.hintDue = time.Time{}
		return idleWait
	}
	if s.neighbor.role == roleRoot {
		return s.sendHint(ctx)
	}
	diffs, ok := []qhconfig.Diff(nil), false
	if s.neighbor.role == roleChild && version > 0 {
		diffs, ok = s.versions.diffsSince(version)
	}
	if !ok {
		s.announceVersion(ctx)
		return idleWait
	}
	for _, diff := range diffs {
		_ = s.neighbor.link.Notify(ctx, qhwire.KindDiff, diff)
		s.neighbor.recordVersion(diff.Next)
	}
	return idleWait
}

func (s *sender) sendHint(ctx context.Context) time.Duration {
	if s.hintDue.IsZero() {
		s.hintDue = time.Now().Add(hintDelay + jitter(hintJitter))
	}
	if delay := time.Until(s.hintDue); delay > 0 {
		return delay
	}
	s.hintDue = time.Time{}
	s.announceVersion(ctx)
	return idleWait
}

// announceVersion sends the number of the newest version, which the peer can
// then pull.
func (s *sender) announceVersion(ctx context.Context) {
	newest, _ := s.versions.latest()
	_ = s.neighbor.link.Notify(ctx, qhwire.KindVersion, qhwire.KnownVersion{Version: newest})
	s.neighbor.recordVersion(newest)
}
