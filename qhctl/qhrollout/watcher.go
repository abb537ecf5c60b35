package qhrollout

import (
	"context"
	"time"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhlease"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstatus"
)

// Options configures a Watcher.
type Options struct {
	Store qhplatform.Store
	// Version is the version whose rollout is watched.
	Version qhid.Version
	// RenewalTimeout is the time without renewal after which a relay counts as
	// silent. It must be longer than the renewal period of every relay.
	RenewalTimeout time.Duration
	// Now returns the current time; nil uses time.Now.
	Now func() time.Time
}

// Watcher polls the relay leases. It counts only reports renewed since its first
// poll, because an older report may come from a relay that no longer exists.
type Watcher struct {
	Options
	slots map[qhplatform.Key]slotState
}

// slotState is the last observed state of one relay slot.
type slotState struct {
	relay qhstatus.RelayLease
	// renewedAt is when the last renewal was first observed.
	renewedAt time.Time
	// renewed reports whether the slot was renewed since the first poll.
	renewed bool
}

// NewWatcher returns a Watcher that has not polled yet.
func NewWatcher(options Options) *Watcher {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Watcher{Options: options, slots: make(map[qhplatform.Key]slotState)}
}

// Poll reads the relay leases once and returns the current report.
func (w *Watcher) Poll(ctx context.Context) (Report, error) {
	objects, err := w.Store.List(ctx, qhlease.Prefix)
	if err != nil {
		return Report{}, err
	}
	now := w.Now()
	builder := newBuilder(w.Version)
	for _, object := range objects {
		zone, slot, relay, err := qhlease.ParseRelay(object)
		if err != nil || relay.Holder == "" {
			continue // the slot is free or cannot be decoded
		}
		state := w.slots[object.Key].update(relay, now)
		w.slots[object.Key] = state
		switch {
		case now.Sub(state.renewedAt) >= w.RenewalTimeout:
			totals := builder.totalsOf(zone)
			totals.silent = append(totals.silent, slot)
		case state.renewed:
			builder.add(zone, relay.MemberCount, relay.Summary)
		default:
			builder.totalsOf(zone).pending = true
		}
	}
	return builder.report(), nil
}

// update returns the state of the slot after another poll.
func (s slotState) update(relay qhstatus.RelayLease, now time.Time) slotState {
	firstPoll := s.renewedAt.IsZero()
	if !firstPoll && relay.RenewalCount == s.relay.RenewalCount && relay.FencingToken == s.relay.FencingToken {
		return s
	}
	return slotState{relay: relay, renewedAt: now, renewed: !firstPoll}
}

// Collect polls until every relay has renewed or counts as silent, or ctx ends.
func (w *Watcher) Collect(ctx context.Context, period time.Duration) (Report, error) {
	for {
		report, err := w.Poll(ctx)
		if err != nil || !report.Pending() || !qhgroup.Sleep(ctx, period) {
			return report, err
		}
	}
}

// Wait polls until the version is in force on every node, or every node that lacks
// it refuses it, or ctx ends. Failed polls are retried. If no poll succeeded, Wait
// returns the error of the last one that was not cut off by the end of ctx.
func (w *Watcher) Wait(ctx context.Context, period time.Duration) (Report, error) {
	var last Report
	var failed error
	for polled := false; ; {
		report, err := w.Poll(ctx)
		if err == nil {
			last, polled, failed = report, true, nil
		} else if !polled && (failed == nil || ctx.Err() == nil) {
			failed = err
		}
		if last.Complete() || last.Stalled() || !qhgroup.Sleep(ctx, period) {
			return last, failed
		}
	}
}
