package qhcanary

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// Book has the roll-outs as this node last heard of them. Reading it takes no lock. It
// is safe for concurrent use.
type Book struct {
	log *zap.Logger
	// rollouts is replaced as a whole.
	rollouts atomic.Pointer[map[qhid.Service]*Rollout]

	// mu serializes changes.
	mu sync.Mutex
	// ended has the last final state of each service. It stays in force for its
	// software version if the store is restored from an older copy.
	ended map[qhid.Service]State
	// changed is closed and replaced whenever the roll-outs change.
	changed chan struct{}
}

// NewBook returns a book without roll-outs.
func NewBook(log *zap.Logger) *Book {
	b := &Book{log: log, ended: make(map[qhid.Service]State), changed: make(chan struct{})}
	b.rollouts.Store(&map[qhid.Service]*Rollout{})
	return b
}

// Of returns the roll-out of a service, or nil. It must not be modified.
func (b *Book) Of(service qhid.Service) *Rollout { return (*b.rollouts.Load())[service] }

// List returns the roll-outs ordered by service.
func (b *Book) List() []*Rollout {
	rollouts := *b.rollouts.Load()
	list := make([]*Rollout, 0, len(rollouts))
	for _, service := range slices.Sorted(maps.Keys(rollouts)) {
		list = append(list, rollouts[service])
	}
	return list
}

// Changed returns a channel that is closed when the roll-outs change next.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Put records a roll-out that was read from the store or received from a peer. An older
// revision than the known one is ignored, unless the store was restored from a copy.
func (b *Book) Put(rollout Rollout, restored bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	service := rollout.Order.Service
	known := b.Of(service)
	if known != nil && rollout.Revision <= known.Revision && !restored {
		return
	}
	if rollout.State != nil && rollout.State.Software != rollout.Order.Software {
		rollout.Barred, rollout.State = barredAfter(*rollout.State, rollout.Order.Software), nil
	}
	ended, ok := b.ended[service]
	switch {
	case rollout.State != nil && rollout.State.isFinal():
		b.ended[service] = *rollout.State
	case ok && ended.Software == rollout.Order.Software:
		rollout.State, rollout.Unwritten = &ended, true
	}
	b.store(service, &rollout)
	b.logChange(known, &rollout)
}

// barredAfter returns the versions that get no calls after the order of a state was
// replaced by one with the software version next.
func barredAfter(earlier State, next qhid.Software) []qhid.Software {
	barred := slices.Clone(earlier.Barred)
	if earlier.Phase != Complete && !slices.Contains(barred, earlier.Software) {
		barred = append(barred, earlier.Software)
	}
	barred = slices.DeleteFunc(barred, func(software qhid.Software) bool { return software == next })
	slices.Sort(barred)
	return barred
}

// Remove records that the order of a service was withdrawn. While the state was not
// final, the new version gets no more calls.
func (b *Book) Remove(service qhid.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.Of(service)
	if known == nil || known.State != nil && known.State.isFinal() {
		b.store(service, nil)
		return
	}
	withdrawn := *known
	withdrawn.State = &State{Software: known.Order.Software, Phase: Reverted, Reason: "the order was withdrawn"}
	b.ended[service] = *withdrawn.State
	b.store(service, &withdrawn)
	b.log.Info("roll-out withdrawn", zap.String("service", string(service)), zap.String("software", string(known.Order.Software)))
}

// SetSwitched records what a target's node said in a refusal: that the service is
// switched to the new version. It holds until a newer state is known.
func (b *Book) SetSwitched(service qhid.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.Of(service)
	if known == nil || known.State == nil || known.State.Phase != Exposing {
		return
	}
	state := *known.State
	state.Phase = Switching
	switched := *known
	switched.State = &state
	b.store(service, &switched)
	b.log.Info("roll-out switched, as the node of a target says", zap.String("service", string(service)), zap.String("software", string(state.Software)))
}

// store replaces the roll-out of a service, or removes it if it is nil. The lock is
// held.
func (b *Book) store(service qhid.Service, rollout *Rollout) {
	next := maps.Clone(*b.rollouts.Load())
	next[service] = rollout
	if rollout == nil {
		delete(next, service)
	}
	b.rollouts.Store(&next)
	close(b.changed)
	b.changed = make(chan struct{})
}

// logChange logs a new order, phase, decider or set of exposed targets.
func (b *Book) logChange(before, after *Rollout) {
	if before != nil && before.Order == after.Order && (before.State == nil) == (after.State == nil) &&
		(after.State == nil || before.State.Phase == after.State.Phase && before.State.Term == after.State.Term && slices.Equal(before.State.Exposed, after.State.Exposed)) {
		return
	}
	fields := []zap.Field{
		zap.String("service", string(after.Order.Service)), zap.String("software", string(after.Order.Software)),
		zap.Duration("duration", after.Order.TimeLimit()), zap.Uint64("revision", uint64(after.Revision)),
	}
	if state := after.State; state != nil {
		fields = append(fields, zap.String("phase", string(state.Phase)), zap.String("decider", string(state.Decider)),
			zap.Uint64("term", state.Term), zap.Int("exposed", len(state.Exposed)), zap.String("reason", state.Reason))
	}
	b.log.Info("roll-out", fields...)
}

// ServiceOf returns the service of a roll-out's key under a prefix.
func ServiceOf(prefix, key qhplatform.Key) qhid.Service { return qhid.Service(key[len(prefix):]) }
