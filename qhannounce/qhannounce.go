// Package qhannounce registers the targets on a node's VM. Targets announce
// themselves; there is no configured list of them. A target that stops announcing
// itself is removed.
package qhannounce

import (
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// MaxTargets bounds the number of targets of one VM.
const MaxTargets = 64

// MaxSlots bounds the slots and the connections that a target may announce.
const MaxSlots = 100_000

// Announcement is the message by which a target announces itself to the node on its
// VM.
type Announcement struct {
	Service qhid.Service `json:"service"`
	// Address is where the target accepts calls.
	Address qhid.Address `json:"address"`
	// Slots is the number of calls that the target runs concurrently, at least 1.
	Slots int `json:"slots"`
	// MaxConnections bounds the open connections to the target; 0 sets no separate
	// bound.
	MaxConnections int `json:"connections,omitempty"`
	// State is up, cold or leaving; empty stands for up.
	State qhmember.State `json:"state,omitempty"`
	// Software is the version of the target's software; empty if the target does not
	// send it.
	Software qhid.Software `json:"software,omitempty"`
	// StartedAt identifies the incarnation of the target by when it started, in
	// milliseconds of the Unix epoch; 0 if the target does not send it. A later
	// incarnation replaces an earlier one.
	StartedAt int64 `json:"born,omitempty"`
	// Sequence orders the announcements of one incarnation that sends StartedAt.
	Sequence qhid.Sequence `json:"seq,omitempty"`
	// WarmUp is the remaining time for which the target is slow after its start.
	// It is accepted and listed; the node does not use it.
	WarmUp qhconfig.Duration `json:"cold,omitempty"`
}

// equalExceptRenewal reports whether two announcements are equal, apart from their
// sequence and warm-up, which renewals change.
func (a Announcement) equalExceptRenewal(other Announcement) bool {
	a.Sequence, a.WarmUp = other.Sequence, other.WarmUp
	return a == other
}

// Target is an announced target.
type Target struct {
	ID qhid.Target `json:"id"`
	Announcement
	// LastSeen is when the target last announced itself.
	LastSeen time.Time `json:"seen"`
	// saidLeaving is set once a response of the target said that it is leaving, or an
	// earlier process of the node has known it.
	saidLeaving bool
	// leavingSince is when the target became leaving; zero if it is not.
	leavingSince time.Time
}

// Options configures a Registry.
type Options struct {
	// TTL is the time without an announcement after which a target is removed.
	TTL time.Duration
	// Now is the clock.
	Now func() time.Time
	// OnChange is called with all targets, ordered by id, after each change of the
	// targets. Calls are serialized and in order.
	OnChange func(targets []Target)
	// OnDeparture is called when Departures may have changed, without waiting; it may be
	// nil.
	OnDeparture func()
	Log         *zap.Logger
}

// Registry holds the targets of one VM. It is safe for concurrent use.
type Registry struct {
	Options

	mu      sync.Mutex
	targets map[qhid.Target]Target
	// ended has the last ended incarnation of each target that was withdrawn or
	// replaced. Delayed announcements of it are ignored.
	ended map[qhid.Target]endedIncarnation
	// leaving has the leaving incarnations that an earlier process of the node has known.
	leaving map[qhid.Target]Departure
}

// endedIncarnation is an incarnation of a target that was withdrawn or replaced.
type endedIncarnation struct {
	startedAt int64
	// isAnnounced is set if the target sent startedAt itself.
	isAnnounced bool
	endedAt     time.Time
}

// endedRetention is how long ended incarnations are remembered. It is far above the
// possible delay of an announcement.
const endedRetention = 2 * time.Minute

// NewRegistry returns an empty registry.
func NewRegistry(options Options) *Registry {
	return &Registry{Options: options, targets: make(map[qhid.Target]Target), ended: make(map[qhid.Target]endedIncarnation), leaving: make(map[qhid.Target]Departure)}
}

// Put adds or renews a target. Errors are of kind BadInput for an invalid
// announcement, and of kind Refused for a target beyond MaxTargets. Outdated
// announcements are ignored.
func (r *Registry) Put(id qhid.Target, announcement Announcement) error {
	if announcement.State == "" {
		announcement.State = qhmember.Up
	}
	if err := validate(id, announcement); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.targets[id]
	if r.isOutdated(id, announcement) {
		r.Log.Info("outdated announcement ignored", zap.String("target", string(id)), zap.Int64("born", announcement.StartedAt), zap.Uint64("sequence", uint64(announcement.Sequence)))
		return nil
	}
	replaced := r.removeAtAddress(id, announcement)
	if !known && len(r.targets) >= MaxTargets {
		return qherr.New(qherr.Refused, nil, "stop a target of this VM first", "target %q exceeds the maximum of %d targets per node", id, MaxTargets)
	}
	target := r.newTarget(id, announcement, before)
	r.targets[id] = target
	if replaced || !known || !before.equalExceptRenewal(target.Announcement) {
		r.Log.Info("target announced", zap.String("target", string(id)), zap.String("service", string(target.Service)), zap.String("state", string(target.State)))
		r.notifyChange()
	}
	if replaced || target.State == qhmember.Leaving && before.State != qhmember.Leaving {
		r.notifyDeparture()
	}
	return nil
}

// newTarget returns the announced target, which was the given one before. It is leaving if
// it has said so already. The lock is held.
func (r *Registry) newTarget(id qhid.Target, announcement Announcement, before Target) Target {
	target := Target{ID: id, Announcement: announcement, LastSeen: r.Now()}
	if born := announcement.StartedAt; born != 0 {
		target.saidLeaving = before.saidLeaving && born == before.StartedAt || born == r.leaving[id].StartedAt
	}
	if target.saidLeaving {
		target.State = qhmember.Leaving
	}
	target.leavingSince = r.leavingSince(target, before)
	return target
}

// isOutdated reports whether the announcement is from an earlier or ended
// incarnation of the target, is older than one already received, or has an address
// that belongs to a target which started later. The lock is held.
func (r *Registry) isOutdated(id qhid.Target, announcement Announcement) bool {
	if announcement.StartedAt == 0 {
		return r.sendsStartedAt(id)
	}
	if ended, ok := r.ended[id]; ok && announcement.StartedAt <= ended.startedAt {
		return true
	}
	if before, ok := r.targets[id]; ok {
		if announcement.StartedAt < before.StartedAt || announcement.StartedAt == before.StartedAt && announcement.Sequence <= before.Sequence {
			return true
		}
	}
	for other, target := range r.targets {
		if other != id && target.Address == announcement.Address && target.StartedAt > announcement.StartedAt {
			return true
		}
	}
	return false
}

// sendsStartedAt reports whether the target is known to send StartedAt. An announcement
// without it is not from that target, or nobody can tell that it is not outdated. The lock
// is held.
func (r *Registry) sendsStartedAt(id qhid.Target) bool {
	return r.targets[id].StartedAt != 0 || r.ended[id].isAnnounced
}

// removeAtAddress removes other targets with the address of the announcement, and
// reports whether there were any. The lock is held.
func (r *Registry) removeAtAddress(id qhid.Target, announcement Announcement) bool {
	if announcement.StartedAt == 0 {
		return false
	}
	replaced := false
	for other, target := range r.targets {
		if other != id && target.Address == announcement.Address {
			r.endIncarnation(other, target.StartedAt)
			replaced = true
			r.Log.Info("target replaced at its address", zap.String("target", string(other)), zap.String("by", string(id)))
		}
	}
	return replaced
}

// endIncarnation removes a target and records its incarnation as ended. The lock is
// held.
func (r *Registry) endIncarnation(id qhid.Target, startedAt int64) {
	delete(r.targets, id)
	if startedAt > 0 {
		r.ended[id] = endedIncarnation{startedAt: startedAt, isAnnounced: true, endedAt: r.Now()}
	}
}

// Withdraw removes a target for its incarnation that started at startedAt; 0 if that
// is unknown, which stands for all that have started by now. It has no effect if a
// later incarnation is registered. Delayed announcements of the removed incarnation
// are ignored, also if the target is not registered, as after a restart of the node.
func (r *Registry) Withdraw(id qhid.Target, startedAt int64) {
	isAnnounced := startedAt != 0
	if !isAnnounced {
		startedAt = r.Now().UnixMilli() // the target has the clock of this VM
	}
	r.mu.Lock()
	known, ok := r.targets[id]
	r.mu.Unlock()
	if ok && startedAt < known.StartedAt {
		return
	}
	r.Remove(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if before := r.ended[id]; startedAt > before.startedAt {
		r.ended[id] = endedIncarnation{startedAt: startedAt, isAnnounced: isAnnounced || before.isAnnounced, endedAt: r.Now()}
		r.notifyDeparture()
	}
}

// Remove removes a target, whatever its incarnation. It has no effect if the target
// is not registered.
func (r *Registry) Remove(id qhid.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.targets[id]
	if !ok {
		return
	}
	r.endIncarnation(id, known.StartedAt)
	r.Log.Info("target withdrawn", zap.String("target", string(id)))
	r.notifyChange()
	r.notifyDeparture()
}

// MarkLeaving records that a response of the target said that it is leaving. That
// holds for the incarnation of the target, whatever state it announces, or until its
// next announcement if it does not send StartedAt.
func (r *Registry) MarkLeaving(id qhid.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target, ok := r.targets[id]
	if !ok || target.saidLeaving {
		return
	}
	before := target
	target.saidLeaving, target.State = true, qhmember.Leaving
	target.leavingSince = r.leavingSince(target, before)
	r.targets[id] = target
	r.Log.Info("target is leaving, as it said in a response or before a restart of this node", zap.String("target", string(id)), zap.String("before", string(before.State)), zap.Int64("born", target.StartedAt))
	r.notifyChange()
	r.notifyDeparture()
}

// RemoveExpired removes the targets whose announcements have expired, and the ended
// incarnations that need not be remembered any longer.
func (r *Registry) RemoveExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.Now().Add(-r.TTL)
	for id, incarnation := range r.ended {
		if r.Now().Sub(incarnation.endedAt) > endedRetention {
			delete(r.ended, id)
		}
	}
	for id, departure := range r.leaving {
		if r.Now().Sub(time.UnixMilli(departure.At)) > endedRetention {
			delete(r.leaving, id)
		}
	}
	expired := false
	for id, target := range r.targets {
		if !target.LastSeen.Before(oldest) {
			continue
		}
		delete(r.targets, id)
		expired = true
		r.Log.Warn("target expired", zap.String("target", string(id)), zap.Time("seen", target.LastSeen))
	}
	if expired {
		r.notifyChange()
	}
}

// List returns the targets ordered by id.
func (r *Registry) List() []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sortedTargets()
}

func (r *Registry) sortedTargets() []Target {
	list := make([]Target, 0, len(r.targets))
	for _, target := range r.targets {
		list = append(list, target)
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// notifyChange calls OnChange. The lock is held, so that calls are in order.
func (r *Registry) notifyChange() {
	r.OnChange(r.sortedTargets())
}

func (r *Registry) notifyDeparture() {
	if r.OnDeparture != nil {
		r.OnDeparture()
	}
}

// validate returns an error of kind BadInput for an announcement that is incomplete
// or out of range.
func validate(id qhid.Target, announcement Announcement) error {
	invalid := func(key string, value any, remedy string) error {
		return qherr.New(qherr.BadInput, nil, remedy, "announcement of target %q has %s %v", id, key, value)
	}
	switch {
	case id == "":
		return invalid("an empty id", "", "put the target's id into the path")
	case announcement.Service == "":
		return invalid("no service", "", "name the service that the target belongs to")
	case !announcement.Address.IsValid():
		return invalid("address", announcement.Address, "write it as host:port")
	case announcement.Slots < 1 || announcement.Slots > MaxSlots:
		return invalid("slots", announcement.Slots, "give from 1 to 100000")
	case announcement.MaxConnections < 0 || announcement.MaxConnections > MaxSlots:
		return invalid("connections", announcement.MaxConnections, "give from 0 to 100000")
	}
	switch announcement.State {
	case qhmember.Up, qhmember.Cold, qhmember.Leaving:
		return nil
	}
	return invalid("state", announcement.State, "use up, cold or leaving")
}
