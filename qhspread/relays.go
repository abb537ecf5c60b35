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

// relays is what this node knows of the relays of all availability zones. It is
// kept while the platform is out.
type relays struct {
	mu sync.Mutex
	// known has the relays of the last look, by availability zone and slot.
	known map[qhid.Zone]map[qhlease.Slot]qhstatus.RelayLease
	// avoided has the addresses that asked not to be asked before a time.
	avoided map[qhid.Address]time.Time
}

func newRelays() *relays {
	return &relays{
		known:   make(map[qhid.Zone]map[qhlease.Slot]qhstatus.RelayLease),
		avoided: make(map[qhid.Address]time.Time),
	}
}

// learn replaces what is known by the objects of a list.
func (r *relays) learn(objects []qhplatform.Object) {
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
	r.known = known
}

// inZone returns the addresses of the relays of an availability zone.
func (r *relays) inZone(zone qhid.Zone) []qhid.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []qhid.Address
	for _, relay := range r.known[zone] {
		list = append(list, relay.PeerAddress)
	}
	return list
}

// holders returns the nodes that hold the slots of an availability zone.
func (r *relays) holders(zone qhid.Zone) map[qhid.Node]qhid.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	holders := make(map[qhid.Node]qhid.Address)
	for _, relay := range r.known[zone] {
		holders[relay.Holder] = relay.PeerAddress
	}
	return holders
}

// zones returns the availability zones that have relays.
func (r *relays) zones() []qhid.Zone {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zones []qhid.Zone
	for zone := range r.known {
		zones = append(zones, zone)
	}
	return zones
}

// avoid keeps an address from being asked for a while.
func (r *relays) avoid(address qhid.Address, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for known, until := range r.avoided {
		if now.After(until) {
			delete(r.avoided, known)
		}
	}
	r.avoided[address] = now.Add(d)
}

// avoiding tells whether an address is to be avoided for a while.
func (r *relays) avoiding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, until := range r.avoided {
		if time.Now().Before(until) {
			return true
		}
	}
	return false
}

// unique returns the addresses once each, without own and without those to be avoided.
func (r *relays) unique(list []qhid.Address, own qhid.Address) []qhid.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []qhid.Address
	for _, address := range list {
		if address == "" || address == own || slices.Contains(kept, address) || time.Now().Before(r.avoided[address]) {
			continue
		}
		kept = append(kept, address)
	}
	return kept
}
