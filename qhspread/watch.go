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
	// initialWatchBackoff and maxWatchBackoff bound the backoff after a failed
	// watch; the wait has full jitter.
	initialWatchBackoff = 250 * time.Millisecond
	maxWatchBackoff     = 5 * time.Second
	// watchTimeoutTTLs is the timeout of one watch, in TTLs of the lease. The
	// head is read after it, so that a watch that stopped delivering events hides
	// no version.
	watchTimeoutTTLs = 2
	// loadTimeout bounds loading a full configuration.
	loadTimeout = 20 * time.Second
)

// watchLoop watches the head while this node holds a relay slot.
func (s *Spreader) watchLoop(ctx context.Context) {
	var seen qhhead.Head
	backoff := initialWatchBackoff
	for ctx.Err() == nil {
		if !s.leases.HoldsIgnoringExpiry() {
			sleep(ctx, initialWatchBackoff)
			continue
		}
		head, err := s.watchHead(ctx, seen)
		if err == nil {
			err = s.loadVersion(ctx, head)
		}
		if err == nil || qherr.Is(err, qherr.NotFound) {
			s.platformContact.record()
		}
		if err == nil {
			seen = head // set after the load, so that a failed load is retried
			backoff = initialWatchBackoff
			continue
		}
		sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// watchHead returns the head once it is newer than seen, or the current head
// when the watch has timed out.
func (s *Spreader) watchHead(ctx context.Context, seen qhhead.Head) (qhhead.Head, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeoutTTLs*s.leaseTTL())
	defer cancel()
	head, err := s.Chain.WatchHead(watchCtx, seen)
	if err == nil || watchCtx.Err() == nil {
		return head, err
	}
	readCtx, cancelRead := context.WithTimeout(ctx, platformTimeout)
	defer cancelRead()
	return s.Chain.ReadHead(readCtx)
}

// loadNewestVersion reads the head from the platform and loads its version.
func (s *Spreader) loadNewestVersion(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	head, err := s.Chain.ReadHead(readCtx)
	if err != nil {
		return // the next attempt reads it again
	}
	s.platformContact.record()
	_ = s.loadVersion(ctx, head) // loadVersion logs the failure
}

// loadVersion loads the version of a head if it is newer than the newest known
// version.
func (s *Spreader) loadVersion(ctx context.Context, head qhhead.Head) error {
	if known, _ := s.versions.latest(); head.Version <= known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	config, record, err := s.Chain.Load(ctx, head)
	if err != nil {
		s.Log.Warn("cannot load version from the platform", zap.Uint64("version", uint64(head.Version)), zap.Error(err))
		return err
	}
	newer, err := s.applyLoaded(config, record)
	if newer {
		s.convergence.start(head.Version, time.Now())
		s.wakeSenders()
	}
	return err
}

// applyLoaded applies a version by its diff if the diff starts at the newest known
// version, which is cheaper than comparing full configurations.
func (s *Spreader) applyLoaded(config qhconfig.Config, record qhhead.Record) (bool, error) {
	if record.Diff != nil {
		if newer, err := s.versions.applyDiff(*record.Diff); err == nil {
			return newer, nil
		}
	}
	return s.versions.applyFull(record.Version, record.ConfigDigest, config)
}
