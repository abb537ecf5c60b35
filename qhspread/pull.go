package qhspread

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhwire"
)

// pullTimeout bounds a pull, whose response may be a full configuration.
const pullTimeout = 5 * time.Second

// propagateVersion passes on a version that was received on a link and applied: it
// records that the peer has the version and wakes the senders of all neighbors.
func (s *Spreader) propagateVersion(from *qhwire.Link, version qhid.Version) {
	if n := s.neighborOn(from); n != nil {
		n.recordVersion(version)
	}
	s.wakeSenders()
}

func (s *Spreader) onDiff(_ context.Context, link *qhwire.Link, diff qhconfig.Diff) {
	if n := s.neighborOn(link); n != nil {
		n.recordVersion(diff.Next)
	}
	newer, err := s.versions.applyDiff(diff)
	switch {
	case err != nil:
		s.metrics.repairs.Inc()
		s.pull(link, diff.Next)
	case newer:
		s.propagateVersion(link, diff.Next)
	default:
		s.metrics.duplicates.Inc()
	}
}

func (s *Spreader) onVersion(_ context.Context, link *qhwire.Link, notice qhwire.KnownVersion) {
	if n := s.neighborOn(link); n != nil {
		n.recordVersion(notice.Version)
	}
	s.pull(link, notice.Version)
}

func (s *Spreader) onPull(_ context.Context, _ *qhwire.Link, request qhwire.KnownVersion) (qhwire.VersionContent, error) {
	return s.versions.contentSince(request.Version)
}

func (s *Spreader) onContent(_ context.Context, link *qhwire.Link, content qhwire.VersionContent) {
	s.applyContent(link, content)
}

func (s *Spreader) applyContent(link *qhwire.Link, content qhwire.VersionContent) {
	newer, err := s.versions.apply(content)
	if err != nil {
		s.Log.Warn("cannot apply version from peer", zap.String("peer", link.RemoteAddress()),
			zap.Uint64("version", uint64(content.Version)), zap.Error(err))
	}
	if newer {
		s.propagateVersion(link, content.Version)
	}
}

// pull requests a version from a peer if this node lacks it. Only one pull runs at
// a time. Of the pulls requested meanwhile, the last one follows.
func (s *Spreader) pull(link *qhwire.Link, version qhid.Version) {
	known, _ := s.versions.latest()
	if version <= known || !s.startPull(link, version) {
		return
	}
	s.group.Go(func(ctx context.Context) {
		for next := link; next != nil; next = s.nextPullLink() {
			if err := s.pullFrom(ctx, next); err != nil {
				s.Log.Info("cannot pull version from peer; anti-entropy will retry", zap.Error(err))
			}
		}
	})
}

// pullFrom requests the versions after this node's newest known one from a peer,
// and the full configuration if the diffs in the response do not apply.
func (s *Spreader) pullFrom(ctx context.Context, link *qhwire.Link) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	known, _ := s.versions.latest()
	content, err := qhwire.Request[qhwire.VersionContent](ctx, link, qhwire.KindPull, qhwire.KnownVersion{Version: known})
	if err != nil {
		return err
	}
	newer, err := s.versions.apply(content)
	if qherr.Is(err, qherr.Conflict) {
		content, err = qhwire.Request[qhwire.VersionContent](ctx, link, qhwire.KindPull, qhwire.KnownVersion{})
		if err != nil {
			return err
		}
		newer, err = s.versions.apply(content)
	}
	if newer {
		s.propagateVersion(link, content.Version)
	}
	return err
}

// startPull returns true if no pull runs. Otherwise it stores the source of the
// next pull.
func (s *Spreader) startPull(link *qhwire.Link, version qhid.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pulling {
		s.nextPull = pullSource{link: link, version: version}
		return false
	}
	s.pulling = true
	return true
}

// nextPullLink ends a pull. It returns the link of the next pull, or nil if there
// is none or this node has its version already.
func (s *Spreader) nextPullLink() *qhwire.Link {
	known, _ := s.versions.latest()
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.nextPull
	s.nextPull = pullSource{}
	if next.version > known {
		return next.link
	}
	s.pulling = false
	return nil
}

// pullSource is a version and the link to a peer that has it.
type pullSource struct {
	link    *qhwire.Link
	version qhid.Version
}
