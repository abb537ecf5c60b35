// Package qhannounce takes the announcements of the targets on a node's VM.
// There is no list of targets: one that stops announcing itself is dropped.
package qhannounce

import (
	"net"
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

// MaxTargets bounds the targets of one VM.
const MaxTargets = 64

// MaxSlots bounds the slots and the connections that a target may announce.
const MaxSlots = 100_000

// Announcement is what a target tells the node on its VM.
type Announcement struct {
	Service qhid.Service `json:"service"`
	// Address is where the target takes calls.
	Address qhid.Address `json:"address"`
	// Slots is how many calls the target runs at a time, at least 1.
	Slots int `json:"slots"`
	// Connections bounds the open connections to the target; 0 is no bound of its own.
	Connections int `json:"connections,omitempty"`
	// State is up, cold or leaving; empty is up.
	State qhmember.State `json:"state,omitempty"`
	// StartedAt is when this life of the target began, in milliseconds of the Unix
	// epoch; 0 where the target does not say. A later life replaces an earlier.
	StartedAt int64 `json:"born,omitempty"`
	// Sequence orders the announcements of one life that says when it began.
	Sequence qhid.Sequence `json:"seq,omitempty"`
	// WarmUp is how long the target stays slow after its start.
	WarmUp qhconfig.Duration `json:"cold,omitempty"`
}

// sameAs tells whether two announcements say the same of the target.
func (a Announcement) sameAs(other Announcement) bool {
	a.Sequence, a.WarmUp = other.Sequence, other.WarmUp
	return a == other
}

// Target is an announced target.
type Target struct {
	ID qhid.Target `json:"id"`
	Announcement
	// LastSeen is when the target last announced itself.
	LastSeen time.Time `json:"seen"`
}

// Options configures a Registry.
type Options struct {
	// TTL is after how long without an announcement a target is dropped.
	TTL time.Duration
	// Now is the clock.
	Now func() time.Time
	// OnChange is called with all targets, ordered by id, after each change of
	// what they are. Calls come one at a time, in order.
	OnChange func(targets []Target)
	Log      *zap.Logger
}

// Registry holds the targets of one VM.
type Registry struct {
	Options

	mu      sync.Mutex
	targets map[qhid.Target]Target
	// gone has the last life of each target that was withdrawn or replaced.
	gone map[qhid.Target]departed
}

// departed is a life of a target that has ended.
type departed struct {
	born int64
	at   time.Time
}

// keepGone is how long ended lives are remembered, far above the time that an
// announcement may be late.
const keepGone = 2 * time.Minute

// NewRegistry returns an empty registry.
func NewRegistry(options Options) *Registry {
	return &Registry{Options: options, targets: make(map[qhid.Target]Target), gone: make(map[qhid.Target]departed)}
}

// Put adds or renews a target. Bad announcements are of kind BadInput, and one
// over MaxTargets is of kind Refused.
func (r *Registry) Put(id qhid.Target, announcement Announcement) error {
	if announcement.State == "" {
		announcement.State = qhmember.Up
	}
	if err := check(id, announcement); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.targets[id]
	if r.late(id, announcement) {
		r.Log.Info("late announcement passed over", zap.String("target", string(id)), zap.Int64("born", announcement.StartedAt), zap.Uint64("sequence", uint64(announcement.Sequence)))
		return nil
	}
	moved := r.replace(id, announcement)
	if !known && len(r.targets) >= MaxTargets {
		return qherr.New(qherr.Refused, nil, "stop a target of this VM first", "target %q is one over the %d that a node guards", id, MaxTargets)
	}
	r.targets[id] = Target{ID: id, Announcement: announcement, LastSeen: r.Now()}
	if moved || !known || !before.sameAs(announcement) {
		r.Log.Info("target announced", zap.String("target", string(id)), zap.String("service", string(announcement.Service)), zap.String("state", string(announcement.State)))
		r.changed()
	}
	return nil
}

// late tells whether the announcement is of an earlier life of the target or of
// its address, or was overtaken by a later one. The lock is held.
func (r *Registry) late(id qhid.Target, announcement Announcement) bool {
	if announcement.StartedAt == 0 {
		return false
	}
	if gone, ok := r.gone[id]; ok && announcement.StartedAt <= gone.born {
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

// replace drops other targets that had the address in an earlier life, and
// tells whether there were any. The lock is held.
func (r *Registry) replace(id qhid.Target, announcement Announcement) bool {
	if announcement.StartedAt == 0 {
		return false
	}
	replaced := false
	for other, target := range r.targets {
		if other != id && target.Address == announcement.Address {
			r.bury(other, target.StartedAt)
			replaced = true
			r.Log.Info("target replaced at its address", zap.String("target", string(other)), zap.String("by", string(id)))
		}
	}
	return replaced
}

// bury takes a target out and remembers its life. The lock is held.
func (r *Registry) bury(id qhid.Target, born int64) {
	delete(r.targets, id)
	if born > 0 {
		r.gone[id] = departed{born: born, at: r.Now()}
	}
}

// Withdraw is Drop for a target that says when its life began: a withdrawal of
// an earlier life has no effect, and later announcements of this one neither.
func (r *Registry) Withdraw(id qhid.Target, born int64) {
	r.mu.Lock()
	known, ok := r.targets[id]
	stale := ok && born != 0 && born < known.StartedAt
	if !ok && born > r.gone[id].born {
		r.gone[id] = departed{born: born, at: r.Now()}
	}
	r.mu.Unlock()
	if !stale {
		r.Remove(id)
	}
}

// Remove removes a target. Dropping one that is not there has no effect.
func (r *Registry) Remove(id qhid.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.targets[id]
	if !ok {
		return
	}
	r.bury(id, known.StartedAt)
	r.Log.Info("target withdrawn", zap.String("target", string(id)))
	r.changed()
}

// RemoveExpired drops the targets whose announcements have lapsed.
func (r *Registry) RemoveExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.Now().Add(-r.TTL)
	for id, gone := range r.gone {
		if r.Now().Sub(gone.at) > keepGone {
			delete(r.gone, id)
		}
	}
	lapsed := false
	for id, target := range r.targets {
		if !target.LastSeen.Before(oldest) {
			continue
		}
		delete(r.targets, id)
		lapsed = true
		r.Log.Warn("target lapsed", zap.String("target", string(id)), zap.Time("seen", target.LastSeen))
	}
	if lapsed {
		r.changed()
	}
}

// List returns the targets ordered by id.
func (r *Registry) List() []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list()
}

func (r *Registry) list() []Target {
	list := make([]Target, 0, len(r.targets))
	for _, target := range r.targets {
		list = append(list, target)
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// changed runs with mu held, so that calls come in order.
func (r *Registry) changed() {
	r.OnChange(r.list())
}

// check refuses what no target can mean.
func check(id qhid.Target, announcement Announcement) error {
	bad := func(key string, value any, remedy string) error {
		return qherr.New(qherr.BadInput, nil, remedy, "announcement of target %q has %s %v", id, key, value)
	}
	host, port, err := net.SplitHostPort(string(announcement.Address))
	switch {
	case id == "":
		return bad("an empty id", "", "put the target's id into the path")
	case announcement.Service == "":
		return bad("no service", "", "name the service that the target belongs to")
	case err != nil || host == "" || port == "":
		return bad("address", announcement.Address, "write it as host:port")
	case announcement.Slots < 1 || announcement.Slots > MaxSlots:
		return bad("slots", announcement.Slots, "give from 1 to 100000")
	case announcement.Connections < 0 || announcement.Connections > MaxSlots:
		return bad("connections", announcement.Connections, "give from 0 to 100000")
	}
	switch announcement.State {
	case qhmember.Up, qhmember.Cold, qhmember.Leaving:
		return nil
	}
	return bad("state", announcement.State, "use up, cold or leaving")
}
