package qhspread

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
)

const (
	// firstWatchRetry and lastWatchRetry bound the jitter after a failed watch.
	firstWatchRetry = 250 * time.Millisecond
	lastWatchRetry  = 5 * time.Second
	// watchLeases is how many lease times bound one watch. A read follows it, so
	// that a watch that went silent hides nothing.
	watchLeases = 2
	// loadTimeout bounds the reading of a whole version.
	loadTimeout = 20 * time.Second
)

// watchLoop watches the head while this node holds a relay slot.
func (s *Spreader) watchLoop(ctx context.Context) {
	var seen qhhead.Head
	retry := firstWatchRetry
	for ctx.Err() == nil {
		if !s.keeper.PresumedHeld() {
			pause(ctx, firstWatchRetry)
			continue
		}
		head, err := s.watchHead(ctx, seen)
		if err == nil {
			err = s.load(ctx, head)
		}
		if err == nil || qherr.Is(err, qherr.NotFound) {
			s.platform.note()
		}
		if err == nil {
			seen = head // only now, so that a load that failed is tried again
			retry = firstWatchRetry
			continue
		}
		pause(ctx, jitter(retry))
		retry = min(2*retry, lastWatchRetry)
	}
}

// watchHead returns the head once it is newer than the one that was seen, or as
// it is where the bound of a watch has passed without news.
func (s *Spreader) watchHead(ctx context.Context, seen qhhead.Head) (qhhead.Head, error) {
	watched, cancel := context.WithTimeout(ctx, watchLeases*s.lease())
	defer cancel()
	head, err := s.Chain.Watch(watched, seen)
	if err == nil || watched.Err() == nil {
		return head, err
	}
	asked, cancelAsked := context.WithTimeout(ctx, platformTimeout)
	defer cancelAsked()
	return s.Chain.Read(asked)
}

// readHead takes the version of the head once.
func (s *Spreader) readHead(ctx context.Context) {
	asked, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	head, err := s.Chain.Read(asked)
	if err != nil {
		return // the next attempt asks again
	}
	s.platform.note()
	_ = s.load(ctx, head) // logged there
}

// load takes the version of a head where this node lacks it. An older head than
// what this node has changes nothing.
func (s *Spreader) load(ctx context.Context, head qhhead.Head) error {
	if known, _ := s.content.known(); head.Version <= known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	config, record, err := s.Chain.Load(ctx, head)
	if err != nil {
		s.Log.Warn("version cannot be read from the platform", zap.Uint64("version", uint64(head.Version)), zap.Error(err))
		return err
	}
	newer, err := s.takeLoaded(config, record)
	if newer {
		s.converged.begin(head.Version, time.Now())
		s.pokeAll()
	}
	return err
}

// takeLoaded takes a version by its diff where that fits, which costs less than
// to compare the whole.
func (s *Spreader) takeLoaded(config qhconfig.Config, record qhhead.Record) (bool, error) {
	if record.Diff != nil {
		if newer, err := s.content.takeDiff(*record.Diff); err == nil {
			return newer, nil
		}
	}
	return s.content.takeWhole(record.Version, record.ConfigDigest, config)
}
