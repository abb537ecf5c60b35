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

// pullTimeout bounds the answer to a pull, which may be a whole version.
const pullTimeout = 5 * time.Second

// took passes on a version that this node has just taken.
func (s *Spreader) took(from *qhwire.Link, version qhid.Version) {
	if n := s.find(from); n != nil {
		n.has(version)
	}
	s.pokeAll()
}

func (s *Spreader) onDiff(_ context.Context, link *qhwire.Link, diff qhconfig.Diff) {
	if n := s.find(link); n != nil {
		n.has(diff.Next)
	}
	newer, err := s.content.takeDiff(diff)
	switch {
	case err != nil:
		s.counts.repairs.Inc()
		s.pull(link, diff.Next)
	case newer:
		s.took(link, diff.Next)
	default:
		s.counts.duplicates.Inc()
	}
}

func (s *Spreader) onHave(_ context.Context, link *qhwire.Link, have qhwire.Have) {
	if n := s.find(link); n != nil {
		n.has(have.Version)
	}
	s.pull(link, have.Version)
}

func (s *Spreader) onPull(_ context.Context, _ *qhwire.Link, have qhwire.Have) (qhwire.Content, error) {
	return s.content.answer(have.Version)
}

func (s *Spreader) onContent(_ context.Context, link *qhwire.Link, sent qhwire.Content) {
	s.takeContent(link, sent)
}

func (s *Spreader) takeContent(link *qhwire.Link, sent qhwire.Content) {
	newer, err := s.content.take(sent)
	if err != nil {
		s.Log.Warn("version from a peer not taken", zap.String("peer", link.Remote()),
			zap.Uint64("version", uint64(sent.Version)), zap.Error(err))
	}
	if newer {
		s.took(link, sent.Version)
	}
}

// pull asks a peer for a version where this node lacks it. One pull runs at a
// time; what is told meanwhile is asked for after it.
func (s *Spreader) pull(link *qhwire.Link, version qhid.Version) {
	known, _ := s.content.known()
	if version <= known || !s.want(link, version) {
		return
	}
	s.group.Go(func(ctx context.Context) {
		for wanted := link; wanted != nil; wanted = s.wanted() {
			if err := s.pullFrom(ctx, wanted); err != nil {
				s.Log.Info("pull fails, the exchange repeats it", zap.Error(err))
			}
		}
	})
}

// pullFrom asks a peer for what this node lacks, and once more for the whole
// where diffs do not fit.
func (s *Spreader) pullFrom(ctx context.Context, link *qhwire.Link) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	known, _ := s.content.known()
	sent, err := qhwire.Call[qhwire.Content](ctx, link, qhwire.KindPull, qhwire.Have{Version: known})
	if err != nil {
		return err
	}
	newer, err := s.content.take(sent)
	if qherr.Is(err, qherr.Conflict) {
		sent, err = qhwire.Call[qhwire.Content](ctx, link, qhwire.KindPull, qhwire.Have{})
		if err != nil {
			return err
		}
		newer, err = s.content.take(sent)
	}
	if newer {
		s.took(link, sent.Version)
	}
	return err
}

// want notes a version to be pulled, and returns false where a pull runs.
func (s *Spreader) want(link *qhwire.Link, version qhid.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pulling {
		s.next = pullable{link: link, version: version}
		return false
	}
	s.pulling = true
	return true
}

// wanted returns whom to ask after a pull, or nil where nothing is lacking; the
// pull has ended then.
func (s *Spreader) wanted() *qhwire.Link {
	known, _ := s.content.known()
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.next
	s.next = pullable{}
	if next.version > known {
		return next.link
	}
	s.pulling = false
	return nil
}

// pullable is a version that a peer has.
type pullable struct {
	link    *qhwire.Link
	version qhid.Version
}
