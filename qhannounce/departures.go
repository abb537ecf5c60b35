package qhannounce

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// Departure is an incarnation of a target that said that it leaves. It stays so over a
// restart of the node.
type Departure struct {
	ID        qhid.Target `json:"id"`
	StartedAt int64       `json:"born"`
	// Withdrawn is set if the target was withdrawn; else it is leaving and still serves.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// At is when the node noticed it, in milliseconds of the Unix epoch.
	At int64 `json:"at"`
}

// Departures returns the incarnations that must not come back, ordered by target: those
// that were withdrawn or replaced, and those that are leaving. It leaves out targets that
// do not send StartedAt.
func (r *Registry) Departures() []Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Departure
	for id, incarnation := range r.ended {
		list = append(list, Departure{ID: id, StartedAt: incarnation.startedAt, Withdrawn: true, At: incarnation.endedAt.UnixMilli()})
	}
	for id, target := range r.targets {
		if target.StartedAt != 0 && target.State == qhmember.Leaving {
			list = append(list, Departure{ID: id, StartedAt: target.StartedAt, At: target.leavingSince.UnixMilli()})
		}
	}
	slices.SortFunc(list, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return list
}

// Restore applies departures that an earlier process of the node has recorded, unless they
// are too old to matter. Announcements that arrived before lose their effect.
func (r *Registry) Restore(departures []Departure) {
	for _, departure := range departures {
		if r.Now().Sub(time.UnixMilli(departure.At)) > endedRetention {
			continue
		}
		r.Log.Info("departure of a target restored", zap.String("target", string(departure.ID)), zap.Int64("born", departure.StartedAt), zap.Bool("withdrawn", departure.Withdrawn))
		if departure.Withdrawn {
			r.restoreWithdrawn(departure)
			continue
		}
		r.restoreLeaving(departure)
	}
}

// restoreWithdrawn withdraws the incarnation, which counts as withdrawn since then.
func (r *Registry) restoreWithdrawn(departure Departure) {
	r.Withdraw(departure.ID, departure.StartedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation := r.ended[departure.ID]; incarnation.startedAt == departure.StartedAt {
		incarnation.endedAt = time.UnixMilli(departure.At)
		r.ended[departure.ID] = incarnation
	}
}

// restoreLeaving makes the incarnation leaving, whatever it announces.
func (r *Registry) restoreLeaving(departure Departure) {
	r.mu.Lock()
	r.leaving[departure.ID] = departure
	target, ok := r.targets[departure.ID]
	r.mu.Unlock()
	if ok && target.StartedAt == departure.StartedAt {
		r.MarkLeaving(departure.ID)
	}
}

// leavingSince returns since when the target has been leaving that was the given one before.
// The lock is held.
func (r *Registry) leavingSince(target, before Target) time.Time {
	restored, isRestored := r.leaving[target.ID]
	switch {
	case target.State != qhmember.Leaving:
		return time.Time{}
	case before.State == qhmember.Leaving && before.StartedAt == target.StartedAt:
		return before.leavingSince
	case isRestored && restored.StartedAt == target.StartedAt:
		return time.UnixMilli(restored.At)
	default:
		return r.Now()
	}
}
