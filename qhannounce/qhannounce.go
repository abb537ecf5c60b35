// Package qhannounce registers the targets on a node's VM. Targets announce
// themselves; there is no configured list of them. A target that stops announcing
// itself is removed.
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
	// StartedAt identifies the incarnation of the target by when it started, in
	// milliseconds of the Unix epoch; 0 if the target does not send it. A later
	// incarnation replaces an earlier one.
	StartedAt int64 `json:"born,omitempty"`
	// Sequence orders the announcements of one incarnation that sends StartedAt.
	Sequence qhid.Sequence `json:"seq,omitempty"`
	// WarmUp is the remaining time for which the target is slow after its start.
	WarmUp qhconfig.Duration `json:"cold,omitempty"`
}

// equalTarget reports whether two announcements are equal, apart from their sequence
// and warm-up.
func (a Announcement) equalTarget(other Announcement) bool {
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
	// TTL is the time without an announcement after which a target is removed.
	TTL time.Duration
	// Now is the clock.
	Now func() time.Time
	// OnChange is called with all targets, ordered by id, after each change of the
	// targets. Calls are serialized and in order.
	OnChange func(targets []Target)
	Log      *zap.Logger
}

// Registry holds the targets of one VM. It is safe for concurrent use.
type Registry struct {
	Options

	mu      sync.Mutex
	targets map[qhid.Target]Target
	// ended has the last ended incarnation of each target that was withdrawn or
	// replaced. Delayed announcements of it are ignored.
	ended map[qhid.Target]endedIncarnation
}

// endedIncarnation is an incarnation of a target that was withdrawn or replaced.
type endedIncarnation struct {
	startedAt int64
	endedAt   time.Time
}

// endedRetention is how long ended incarnations are remembered. It is far above the
// possible delay of an announcement.
const endedRetention = 2 * time.Minute

// NewRegistry returns an empty registry.
func NewRegistry(options Options) *Registry {
	return &Registry{Options: options, targets: make(map[qhid.Target]Target), ended: make(map[qhid.Target]endedIncarnation)}
}

// Put adds or renews a target. Errors are of kind BadInput for an invalid
// announcement, and of kind Refused for a target beyond MaxTargets. Outdated
// announcements are ignored.
func (reg *Registry) Put(id qhid.Target, announcement Announcement) error {
	if announcement.State == "" {
		announcement.State = qhmember.Up
	}
	if err := validate(id, announcement); err != nil {
		return err
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	before, known := reg.targets[id]
	if reg.isOutdated(id, announcement) {
		reg.Log.Info("outdated announcement ignored", zap.String("target", string(id)), zap.Int64("born", announcement.StartedAt), zap.Uint64("sequence", uint64(announcement.Sequence)))
		return nil
	}
	replaced := reg.removeAtAddress(id, announcement)
	if !known && len(reg.targets) >= MaxTargets {
		return qherr.New(qherr.Refused, nil, "stop a target of this VM first", "target %q exceeds the maximum of %d targets per node", id, MaxTargets)
	}
	reg.targets[id] = Target{ID: id, Announcement: announcement, LastSeen: reg.Now()}
	if replaced || !known || !before.equalTarget(announcement) {
		reg.Log.Info("target announced", zap.String("target", string(id)), zap.String("service", string(announcement.Service)), zap.String("state", string(announcement.State)))
		reg.notifyChange()
	}
	return nil
}

// isOutdated reports whether the announcement is from an earlier or ended
// incarnation of the target, is older than one already received, or has an address
// that belongs to a target which started later. The lock is held.
func (reg *Registry) isOutdated(id qhid.Target, announcement Announcement) bool {
	if announcement.StartedAt == 0 {
		return false
	}
	if ended, ok := reg.ended[id]; ok && announcement.StartedAt <= ended.startedAt {
		return true
	}
	if before, ok := reg.targets[id]; ok {
		if announcement.StartedAt < before.StartedAt || announcement.StartedAt == before.StartedAt && announcement.Sequence <= before.Sequence {
			return true
		}
	}
	for other, target := range reg.targets {
		if other != id && target.Address == announcement.Address && target.StartedAt > announcement.StartedAt {
			return true
		}
	}
	return false
}

// removeAtAddress removes other targets with the address of the announcement, and
// reports whether there were any. The lock is held.
func (reg *Registry) removeAtAddress(id qhid.Target, announcement Announcement) bool {
	if announcement.StartedAt == 0 {
		return false
	}
	replaced := false
	for other, target := range reg.targets {
		if other != id && target.Address == announcement.Address {
			reg.endIncarnation(other, target.StartedAt)
			replaced = true
			reg.Log.Info("target replaced at its address", zap.String("target", string(other)), zap.String("by", string(id)))
		}
	}
	return replaced
}

// endIncarnation removes a target and records its incarnation as ended. The lock is
// held.
func (reg *Registry) endIncarnation(id qhid.Target, startedAt int64) {
	delete(reg.targets, id)
	if startedAt > 0 {
		reg.ended[id] = endedIncarnation{startedAt: startedAt, endedAt: reg.Now()}
	}
}

// Withdraw removes a target for its incarnation that started at startedAt; 0 if that
// is unknown. It has no effect if a later incarnation is registered. Delayed
// announcements of the removed incarnation are ignored.
func (reg *Registry) Withdraw(id qhid.Target, startedAt int64) {
	reg.mu.Lock()
	known, ok := reg.targets[id]
	outdated := ok && startedAt != 0 && startedAt < known.StartedAt
	if !ok && startedAt > reg.ended[id].startedAt {
		reg.ended[id] = endedIncarnation{startedAt: startedAt, endedAt: reg.Now()}
	}
	reg.mu.Unlock()
	if !outdated {
		reg.Remove(id)
	}
}

// Remove removes a target, whatever its incarnation. It has no effect if the target
// is not registered.
func (reg *Registry) Remove(id qhid.Target) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	known, ok := reg.targets[id]
	if !ok {
		return
	}
	reg.endIncarnation(id, known.StartedAt)
	reg.Log.Info("target withdrawn", zap.String("target", string(id)))
	reg.notifyChange()
}

// RemoveExpired removes the targets whose announcements have expired, and the ended
// incarnations that need not be remembered any longer.
func (reg *Registry) RemoveExpired() {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	oldest := reg.Now().Add(-reg.TTL)
	for id, incarnation := range reg.ended {
		if reg.Now().Sub(incarnation.endedAt) > endedRetention {
			delete(reg.ended, id)
		}
	}
	expired := false
	for id, target := range reg.targets {
		if !target.LastSeen.Before(oldest) {
			continue
		}
		delete(reg.targets, id)
		expired = true
		reg.Log.Warn("target expired", zap.String("target", string(id)), zap.Time("seen", target.LastSeen))
	}
	if expired {
		reg.notifyChange()
	}
}

// List returns the targets ordered by id.
func (reg *Registry) List() []Target {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.sortedTargets()
}

func (reg *Registry) sortedTargets() []Target {
	list := make([]Target, 0, len(reg.targets))
	for _, target := range reg.targets {
		list = append(list, target)
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// notifyChange calls OnChange. The lock is held, so that calls are in order.
func (reg *Registry) notifyChange() {
	reg.OnChange(reg.sortedTargets())
}

// validate returns an error of kind BadInput for an announcement that is incomplete
// or out of range.
func validate(id qhid.Target, announcement Announcement) error {
	invalid := func(key string, value any, remedy string) error {
		return qherr.New(qherr.BadInput, nil, remedy, "announcement of target %q has %s %v", id, key, value)
	}
	host, port, err := net.SplitHostPort(string(announcement.Address))
	switch {
	case id == "":
		return invalid("an empty id", "", "put the target's id into the path")
	case announcement.Service == "":
		return invalid("no service", "", "name the service that the target belongs to")
	case err != nil || host == "" || port == "":
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
