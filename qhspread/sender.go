package qhspread

import (
	"context"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhwire"
)

const (
	// hintPause is how long a root waits before it tells another root of a new
	// version, which that one normally has from the platform by then.
	hintPause = 300 * time.Millisecond
	// hintJitter bounds a random part of the wait, in which one of two roots
	// tells the other first and spares it the same.
	hintJitter = 700 * time.Millisecond
)

// sender sends to one neighbor what waits for it.
type sender struct {
	*Spreader
	to *neighbor
	// sent is when the last news went.
	sent time.Time
	// due is when another root is told of the newest version; zero where it has it.
	due time.Time
}

// run sends until the link ends. The first news after a quiet time goes at
// once, later ones wait for the batch.
func (s *sender) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.to.link.Done():
			return
		case <-s.to.wake:
		case <-timer.C:
		}
		if path := s.to.takePath(); path != nil {
			_ = s.to.link.Notify(ctx, qhwire.KindPath, qhwire.Path{Path: path}) // a failure ends the link
		}
		wait := min(s.versions(ctx), s.news(ctx))
		timer.Reset(wait)
	}
}

// idle is how long a sender sleeps with nothing to do.
const idle = time.Hour

// news sends the entries that wait, or returns how long they wait yet.
func (s *sender) news(ctx context.Context) time.Duration {
	if wait := s.batch - time.Since(s.sent); wait > 0 && !s.to.hurry() {
		return wait
	}
	for _, news := range s.to.news() {
		s.sent = time.Now()
		_ = s.to.link.Notify(ctx, qhwire.KindNews, news)
	}
	return idle
}

// versions brings a child to the newest version by diffs, and tells any other
// peer that there is one. It returns how long the telling waits yet.
func (s *sender) versions(ctx context.Context) time.Duration {
	newest, _ := s.content.known()
	version, lacks := s.to.lacks(newest)
	if !lacks {
		s.due = time.Time{}
		return idle
	}
	if s.to.role == roleRoot {
		return s.hint(ctx)
	}
	diffs, ok := []qhconfig.Diff(nil), false
	if s.to.role == roleChild && version > 0 {
		diffs, ok = s.content.since(version)
	}
	if !ok {
		s.tell(ctx)
		return idle
	}
	for _, diff := range diffs {
		_ = s.to.link.Notify(ctx, qhwire.KindDiff, diff)
		s.to.has(diff.Next)
	}
	return idle
}

func (s *sender) hint(ctx context.Context) time.Duration {
	if s.due.IsZero() {
		s.due = time.Now().Add(hintPause + jitter(hintJitter))
	}
	if wait := time.Until(s.due); wait > 0 {
		return wait
	}
	s.due = time.Time{}
	s.tell(ctx)
	return idle
}

// tell tells the peer which version it can pull.
func (s *sender) tell(ctx context.Context) {
	newest, _ := s.content.known()
	_ = s.to.link.Notify(ctx, qhwire.KindHave, qhwire.Have{Version: newest})
	s.to.has(newest)
}
