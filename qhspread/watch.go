package qhspread

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
)

const (
	// firstWatchRetry and lastWatchRetry bound the jitter after a failed watch.
	firstWatchRetry = 250 * time.Millisecond
	lastWatchRetry  = 5 * time.Second
	// watchPeriod bounds one watch, so that a silent one is asked again.
	watchPeriod = 12 * time.Second
	// loadTimeout bounds the reading of a whole version.
	loadTimeout = 20 * time.Second
)

// watchLoop watches the head while this node holds a relay slot.
func (s *Spreader) watchLoop(ctx context.Context) {
	var seen qhhead.Head
	retry := firstWatchRetry
	for ctx.Err() == nil {
		if !s.keeper.Kept() {
			pause(ctx, firstWatchRetry)
			continue
		}
		head, quiet, err := s.watchHead(ctx, seen)
		if quiet {
			continue
		}
		if err == nil {
			seen = head
			err = s.load(ctx, head)
		}
		if err == nil || qherr.Is(err, qherr.NotFound) {
			s.platform.note()
			retry = firstWatchRetry
			continue
		}
		pause(ctx, jitter(retry))
		retry = min(2*retry, lastWatchRetry)
	}
}

// watchHead returns the head once it differs from the one that was seen, or true
// where the bound of a watch has passed without news.
func (s *Spreader) watchHead(ctx context.Context, seen qhhead.Head) (qhhead.Head, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, watchPeriod)
	defer cancel()
	head, err := s.Chain.Watch(ctx, seen)
	return head, err != nil && ctx.Err() != nil, err
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
	newer, err := s.content.takeWhole(head.Version, record.Config, config)
	if newer {
		s.converged.begin(head.Version, time.Now())
		s.pokeAll()
	}
	return err
}
