package qhspread

import (
	"context"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhwire"
)

const (
	// rootNoticeDelay is how long a root waits before it sends a version notice
	// to another root, which normally has the version from the platform by then.
	rootNoticeDelay = 300 * time.Millisecond
	// rootNoticeJitter bounds the random addition to rootNoticeDelay, so that one
	// of two roots sends its notice first and the other need not send one.
	rootNoticeJitter = 700 * time.Millisecond
)

// sender sends pending updates to one neighbor.
type sender struct {
	*Spreader
	neighbor *neighbor
	// lastUpdate is when the last membership update was sent.
	lastUpdate time.Time
	// noticeDue is when to send a version notice to another root; zero if no
	// notice is scheduled.
	noticeDue time.Time
}

// run sends until the link closes. A membership update is sent at once if the
// batch delay has passed since the last one, else after the rest of that delay.
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
		delay := min(s.sendVersions(ctx), s.sendMembershipUpdates(ctx))
		timer.Reset(delay)
	}
}

// idleWait is how long a sender without pending updates sleeps unless it is woken.
const idleWait = time.Hour

// sendMembershipUpdates sends the pending entries, or returns the delay until they
// may be sent. Urgent entries are sent at once.
func (s *sender) sendMembershipUpdates(ctx context.Context) time.Duration {
	if delay := s.batchDelay - time.Since(s.lastUpdate); delay > 0 && !s.neighbor.isUrgent() {
		return delay
	}
	for _, update := range s.neighbor.takeUpdates() {
		s.lastUpdate = time.Now()
		_ = s.neighbor.link.Notify(ctx, qhwire.KindMembership, update)
	}
	return idleWait
}

// sendVersions sends a peer with an older version the diffs if it is a child and
// they are still kept, else a version notice. It returns the delay until a notice
// may be sent.
func (s *sender) sendVersions(ctx context.Context) time.Duration {
	newest, _ := s.versions.latest()
	version, behind := s.neighbor.versionLag(newest)
	if !behind {
		s.noticeDue = time.Time{}
		return idleWait
	}
	if s.neighbor.role == roleRoot {
		return s.sendRootNotice(ctx)
	}
	diffs, ok := []qhconfig.Diff(nil), false
	if s.neighbor.role == roleChild && version > 0 {
		diffs, ok = s.versions.diffsSince(version)
	}
	if !ok {
		s.sendVersionNotice(ctx)
		return idleWait
	}
	for _, diff := range diffs {
		_ = s.neighbor.link.Notify(ctx, qhwire.KindDiff, diff)
		s.neighbor.recordVersion(diff.Next)
	}
	return idleWait
}

// sendRootNotice sends a version notice to another root once it is due, or returns
// the delay until then.
func (s *sender) sendRootNotice(ctx context.Context) time.Duration {
	if s.noticeDue.IsZero() {
		s.noticeDue = time.Now().Add(rootNoticeDelay + jitter(rootNoticeJitter))
	}
	if delay := time.Until(s.noticeDue); delay > 0 {
		return delay
	}
	s.noticeDue = time.Time{}
	s.sendVersionNotice(ctx)
	return idleWait
}

// sendVersionNotice sends the number of the newest known version, which the peer
// can then pull.
func (s *sender) sendVersionNotice(ctx context.Context) {
	newest, _ := s.versions.latest()
	_ = s.neighbor.link.Notify(ctx, qhwire.KindVersion, qhwire.KnownVersion{Version: newest})
	s.neighbor.recordVersion(newest)
}
