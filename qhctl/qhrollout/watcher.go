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
	// Patience is how long a relay may take to renew. It is longer than the
	// longest renewal period in use.
	Patience time.Duration
	// Now is the clock; nil for the system's.
	Now func() time.Time
}

// Watcher looks at the relay objects. It counts only what relays told since its
// first look: what was told before may come from a relay that is gone.
type Watcher struct {
	Options
	slots map[qhplatform.Key]observed
}

// observed is what was seen of one slot.
type observed struct {
	relay qhstatus.RelayLease
	// since is when its last renewal was first seen.
	since time.Time
	// fresh tells that it was renewed since the first look.
	fresh bool
}

// NewWatcher returns a watcher that has seen nothing.
func NewWatcher(options Options) *Watcher {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Watcher{Options: options, slots: make(map[qhplatform.Key]observed)}
}

// Look reads the relay objects and returns what is known so far.
func (w *Watcher) Look(ctx context.Context) (Report, error) {
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
		seen := w.slots[object.Key].next(relay, now)
		w.slots[object.Key] = seen
		switch {
		case now.Sub(seen.since) >= w.Patience:
			sum := builder.zone(zone)
			sum.silent = append(sum.silent, slot)
		case seen.fresh:
			builder.add(zone, relay.MemberCount, relay.Summary)
		default:
			builder.zone(zone).pending = true
		}
	}
	return builder.report(), nil
}

// next returns the observation after another look at the slot.
func (o observed) next(relay qhstatus.RelayLease, now time.Time) observed {
	first := o.since.IsZero()
	if !first && relay.RenewalCount == o.relay.RenewalCount && relay.FencingToken == o.relay.FencingToken {
		return o
	}
	return observed{relay: relay, since: now, fresh: !first}
}

// Collect looks until every relay has renewed or has been silent for too long.
func (w *Watcher) Collect(ctx context.Context, period time.Duration) (Report, error) {
	for {
		report, err := w.Look(ctx)
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
		report, err := w.Look(ctx)
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
