package qhspread

import (
	"slices"
	"sync"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhlease"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstatus"
)

// relayDirectory caches the relays of all availability zones, so that they are
// known while the platform is unavailable. It also holds the backoff of each node
// address, of a relay or not, that asked this node to wait.
type relayDirectory struct {
	mu sync.Mutex
	// byZone holds the relay leases last listed on the platform, by availability
	// zone and slot.
	byZone map[qhid.Zone]map[qhlease.Slot]qhstatus.RelayLease
	// backoffUntil holds the time before which an address must not be contacted.
	backoffUntil map[qhid.Address]time.Time
}

func newRelayDirectory() *relayDirectory {
	return &relayDirectory{
		byZone:       make(map[qhid.Zone]map[qhlease.Slot]qhstatus.RelayLease),
		backoffUntil: make(map[qhid.Address]time.Time),
	}
}

// update replaces all relays by those in the listed lease objects. Objects that
// cannot be decoded are left out.
func (r *relayDirectory) update(objects []qhplatform.Object) {
	known := make(map[qhid.Zone]map[qhlease.Slot]qhstatus.RelayLease)
	for _, object := range objects {
		zone, slot, relay, err := qhlease.ParseRelay(object)
		if err != nil || relay.PeerAddress == "" {
			continue
		}
		if known[zone] == nil {
			known[zone] = make(map[qhlease.Slot]qhstatus.RelayLease)
		}
		known[zone][slot] = relay
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byZone = known
}

// addresses returns the peer addresses of the relays of an availability zone.
func (r *relayDirectory) addresses(zone qhid.Zone) []qhid.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []qhid.Address
	for _, relay := range r.byZone[zone] {
		addresses = append(addresses, relay.PeerAddress)
	}
	return addresses
}

// addressesByNode returns the peer addresses of the relays of an availability
// zone, by node.
func (r *relayDirectory) addressesByNode(zone qhid.Zone) map[qhid.Node]qhid.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses := make(map[qhid.Node]qhid.Address)
	for _, relay := range r.byZone[zone] {
		addresses[relay.Holder] = relay.PeerAddress
	}
	return addresses
}

// zones returns the availability zones that have relays.
func (r *relayDirectory) zones() []qhid.Zone {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zones []qhid.Zone
	for zone := range r.byZone {
		zones = append(zones, zone)
	}
	return zones
}

// backOff excludes an address from the candidates for a duration.
func (r *relayDirectory) backOff(address qhid.Address, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for other, until := range r.backoffUntil {
		if now.After(until) {
			delete(r.backoffUntil, other)
		}
	}
	r.backoffUntil[address] = now.Add(d)
}

// anyBackoff reports whether any address is in backoff.
func (r *relayDirectory) anyBackoff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, until := range r.backoffUntil {
		if time.Now().Before(until) {
			return true
		}
	}
	return false
}

// filter returns the addresses without duplicates, empty ones, the node's own
// address and addresses in backoff.
func (r *relayDirectory) filter(addresses []qhid.Address, own qhid.Address) []qhid.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var filtered []qhid.Address
	for _, address := range addresses {
		if address == "" || address == own || slices.Contains(filtered, address) || time.Now().Before(r.backoffUntil[address]) {
			continue
		}
		filtered = append(filtered, address)
	}
	return filtered
}
