package qhspread

import (
	"context"
	"math/rand/v2"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	// initialAttachBackoff and maxAttachBackoff bound the backoff between
	// attempts to find a parent; the wait has full jitter.
	initialAttachBackoff = 100 * time.Millisecond
	maxAttachBackoff     = 5 * time.Second
	// maxRandomParents is the number of random members tried in addition to the
	// known relays.
	maxRandomParents = 3
)

// attachLoop finds a parent or acquires a relay slot whenever this node has
// neither.
func (s *Spreader) attachLoop(ctx context.Context) {
	backoff := initialAttachBackoff
	for ctx.Err() == nil {
		if !s.needsParent() {
			backoff = initialAttachBackoff
			waitFor(ctx, s.topologyChanged, s.silenceTimeout)
			continue
		}
		sleep(ctx, jitter(backoff))
		if !s.attach(ctx) {
			backoff = min(2*backoff, maxAttachBackoff)
		}
	}
}

// needsParent reports whether this node has neither a parent nor a relay slot
// and is not leaving.
func (s *Spreader) needsParent() bool {
	s.mu.Lock()
	needs := s.parent == nil && !s.leaving
	s.mu.Unlock()
	return needs && !s.leases.HoldsIgnoringExpiry()
}

// attach finds a parent among the known nodes, acquires a relay slot, or finds a
// parent among the relays that the platform lists, in this order. A node that
// finds neither, for example because it is cut off from all relays, at least
// loads the newest version from the platform. attach reports whether this node
// now has a parent or a slot.
func (s *Spreader) attach(ctx context.Context) bool {
	if s.joinAny(ctx, s.parentCandidates()) {
		return true
	}
	if s.relays.anyBackoff() {
		return false // a node that sent RetryAfter is up and will accept this one soon
	}
	if s.acquireSlot(ctx) {
		return true
	}
	var relays []qhid.Address
	for _, relay := range s.leases.OtherLeases() {
		relays = append(relays, relay.PeerAddress)
	}
	shuffle(relays)
	if s.joinAny(ctx, s.relays.filter(relays, s.Self.PeerAddress)) {
		return true
	}
	s.loadNewestVersion(ctx)
	return false
}

// joinAny asks the addresses in order until one accepts this node as a child.
func (s *Spreader) joinAny(ctx context.Context, addresses []qhid.Address) bool {
	for _, address := range addresses {
		if s.join(ctx, address) {
			return true
		}
	}
	return false
}

// parentCandidates returns the addresses of possible parents in order of
// preference: relays of this availability zone, random members of it, seeds.
func (s *Spreader) parentCandidates() []qhid.Address {
	var addresses []qhid.Address
	for _, relay := range s.leases.OtherLeases() {
		addresses = append(addresses, relay.PeerAddress)
	}
	addresses = append(addresses, s.relays.addresses(s.zone)...)
	shuffle(addresses)
	addresses = append(addresses, s.randomAddresses(s.zone, maxRandomParents)...)
	seeds := append([]qhid.Address(nil), s.Seeds...)
	shuffle(seeds)
	return s.relays.filter(append(addresses, seeds...), s.Self.PeerAddress)
}

// randomAddresses returns the peer addresses of up to limit random nodes of an
// availability zone, followed by one that is marked down: a network partition
// may have caused the mark.
func (s *Spreader) randomAddresses(zone qhid.Zone, limit int) []qhid.Address {
	var up, down []qhid.Address
	for _, entry := range s.Members.View().Entries {
		switch {
		case entry.Zone != zone || entry.Node == s.self || entry.State == qhmember.Leaving:
		case entry.State == qhmember.Down:
			down = append(down, entry.PeerAddress)
		default:
			up = append(up, entry.PeerAddress)
		}
	}
	shuffle(up)
	shuffle(down)
	return append(up[:min(limit, len(up))], down[:min(1, len(down))]...)
}

func shuffle[T any](items []T) {
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] }) //nolint:gosec // spreads load, no secret
}

// jitter returns a random duration below the bound.
func jitter(bound time.Duration) time.Duration {
	return rand.N(max(bound, 1)) //nolint:gosec // spreads load, no secret
}

// sleep waits for the duration or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	waitFor(ctx, nil, d)
}

// waitFor waits for a signal, for the duration or until the context is done.
func waitFor(ctx context.Context, signal <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-timer.C:
	}
}
