package qhspread

import (
	"context"
	"math/rand/v2"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	// firstRetry and lastRetry bound the full jitter between attempts to attach.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 5 * time.Second
	// randomParents is how many members are tried beside known relays.
	randomParents = 3
)

// attachLoop gives this node a parent whenever it has neither one nor a slot.
func (s *Spreader) attachLoop(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		if !s.alone() {
			retry = firstRetry
			wait(ctx, s.turn, s.silence)
			continue
		}
		pause(ctx, jitter(retry))
		if !s.attach(ctx) {
			retry = min(2*retry, lastRetry)
		}
	}
}

// alone tells whether this node has neither parent nor slot and needs one.
func (s *Spreader) alone() bool {
	s.mu.Lock()
	needs := s.parent == nil && !s.leaving
	s.mu.Unlock()
	return needs && !s.keeper.PresumedHeld()
}

// attach tries the nodes that it knows, then the platform. A node that finds no
// place, as when it is cut off from all relays, at least reads the head.
func (s *Spreader) attach(ctx context.Context) bool {
	if s.joinAny(ctx, s.parents()) {
		return true
	}
	if s.relays.avoiding() {
		return false // a node that lives will take this one soon
	}
	if s.claim(ctx) {
		return true
	}
	var relays []qhid.Address
	for _, relay := range s.keeper.Holders() {
		relays = append(relays, relay.PeerAddress)
	}
	shuffle(relays)
	if s.joinAny(ctx, s.relays.unique(relays, s.Self.PeerAddress)) {
		return true
	}
	s.readHead(ctx)
	return false
}

func (s *Spreader) joinAny(ctx context.Context, addresses []qhid.Address) bool {
	for _, address := range addresses {
		if s.join(ctx, address) {
			return true
		}
	}
	return false
}

// parents returns whom to ask for a place in the tree, the best first: relays of
// this availability zone, random members of it, seeds.
func (s *Spreader) parents() []qhid.Address {
	var list []qhid.Address
	for _, relay := range s.keeper.Holders() {
		list = append(list, relay.PeerAddress)
	}
	list = append(list, s.relays.inZone(s.zone)...)
	shuffle(list)
	list = append(list, s.members(s.zone, randomParents)...)
	seeds := append([]qhid.Address(nil), s.Seeds...)
	shuffle(seeds)
	return s.relays.unique(append(list, seeds...), s.Self.PeerAddress)
}

// members returns the addresses of random nodes of an availability zone, those
// that are down after the others: a cut may have made them so.
func (s *Spreader) members(zone qhid.Zone, most int) []qhid.Address {
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
	return append(up[:min(most, len(up))], down[:min(1, len(down))]...)
}

func shuffle[T any](list []T) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] }) //nolint:gosec // spreads load, no secret
}

// jitter returns a random part of the bound.
func jitter(bound time.Duration) time.Duration {
	return rand.N(max(bound, 1)) //nolint:gosec // spreads load, no secret
}

// pause waits for the time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	wait(ctx, nil, d)
}

// wait waits for an item, for the time or until the context ends.
func wait(ctx context.Context, item <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-item:
	case <-timer.C:
	}
}
