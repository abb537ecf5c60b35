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

// Options are the parts that a Watcher uses.
type Options struct {
	Store qhplatform.Store
	// Version is the one that is asked about.
	Version qhid.Version
	// RenewalTimeout is how long a relay may take to renew. It is longer than the
	// longest renewal period in use.
	RenewalTimeout time.Duration
	// Now is the clock; nil for the system's.
	Now func() time.Time
}

// Watcher looks at the relay objects. It counts only what relays told since its
// first look: what was told before may come from a relay that is gone.
type Watcher struct {
	Options
	slots map[qhplatform.Key]slotState
}

// slotState is what was seen of one slot.
type slotState struct {
	relay qhstatus.RelayLease
	// renewedAt is when its last renewal was first seen.
	renewedAt time.Time
	// renewed tells that it was renewed since the first look.
	renewed bool
}

// NewWatcher returns a watcher that has seen nothing.
func NewWatcher(options Options) *Watcher {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Watcher{Options: options, slots: make(map[qhplatform.Key]slotState)}
}

// Poll reads the relay objects and returns what is known so far.
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
			continue // a slot that nobody can read or hold counts for nothing
		}
		seen := w.slots[object.Key].update(relay, now)
		w.slots[object.Key] = seen
		switch {
		case now.Sub(seen.renewedAt) >= w.RenewalTimeout:
			sum := builder.totalsOf(zone)
			sum.silent = append(sum.silent, slot)
		case seen.renewed:
			builder.add(zone, relay.MemberCount, relay.Summary)
		default:
			builder.totalsOf(zone).pending = true
		}
	}
	return builder.report(), nil
}

// update returns the observation after another look at the slot.
func (s slotState) update(relay qhstatus.RelayLease, now time.Time) slotState {
	first := s.renewedAt.IsZero()
	if !first && relay.RenewalCount == s.relay.RenewalCount && relay.FencingToken == s.relay.FencingToken {
		return s
	}
	return slotState{relay: relay, renewedAt: now, renewed: !first}
}

// Collect looks until every relay has renewed or has been silent for too long.
func (w *Watcher) Collect(ctx context.Context, period time.Duration) (Report, error) {
	for {
		report, err := w.Poll(ctx)
		if err != nil || !report.Pending() || !qhgroup.Sleep(ctx, period) {
			return report, err
		}
	}
}

// Wait looks until the version is in force everywhere, or is kept out by every
// node that lacks it, or ctx ends. A look that fails is followed by another.
// The error is that of the last look where none succeeded.
func (w *Watcher) Wait(ctx context.Context, period time.Duration) (Report, error) {
	var last Report
	var failed error
	for looked := false; ; {
		report, err := w.Poll(ctx)
		if err == nil {
			last, looked, failed = report, true, nil
		} else if !looked {
			failed = err
		}
		if last.Complete() || last.Stalled() || !qhgroup.Sleep(ctx, period) {
			return last, failed
		}
	}
}
