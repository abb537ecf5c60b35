// Package qhlease holds relay slots: leases on the platform that a few nodes of
// each availability zone hold by conditional update. A lease gives no right to
// write anything else, so that a holder that was paused past it does no harm.
package qhlease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstatus"
)

// Prefix is the prefix of the keys of all relay slots.
const Prefix qhplatform.Key = "relay/"

// Slot is the number of a relay slot of an availability zone, from 0.
type Slot int

// Options is what a keeper needs.
type Options struct {
	Store qhplatform.Store
	Zone  qhid.Zone
	// Slots is the number of slots of the availability zone.
	Slots int
	// TTL is how long a slot is held without renewal.
	TTL time.Duration
	// Node is the holder's node, Peers and Operators are its addresses.
	Node                         qhid.Node
	PeerAddress, OperatorAddress qhid.Address
	// Now is the clock; time.Now where it is nil.
	Now func() time.Time
}

// Status is what a holder tells with each renewal.
type Status struct {
	MemberCount int
	Summary     qhstatus.Summary
}

// Keeper looks at the relay slots of an availability zone and holds at most one.
type Keeper struct {
	Options
	mu sync.Mutex
	// slots has what was seen of each slot.
	slots map[Slot]observation
	// held is the slot that this node holds as far as it knows; nil for none.
	held *holding
}

// holding is a slot that this node holds.
type holding struct {
	slot     Slot
	revision qhplatform.Revision
	relay    qhstatus.RelayLease
	// until is when the lease lapses by this node's clock. It counts from
	// before the write that took or renewed it.
	until time.Time
}

// NewKeeper returns a keeper that has seen nothing and holds nothing.
func NewKeeper(options Options) *Keeper {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Keeper{Options: options, slots: make(map[Slot]observation)}
}

// SlotKey returns the key of a slot's object.
func SlotKey(zone qhid.Zone, slot Slot) qhplatform.Key {
	return zoneKey(zone) + qhplatform.Key(strconv.Itoa(int(slot)))
}

func zoneKey(zone qhid.Zone) qhplatform.Key { return Prefix + qhplatform.Key(zone) + "/" }

// ParseRelay returns the availability zone, the slot and the value of a relay object.
// Errors are of kind BadInput.
func ParseRelay(object qhplatform.Object) (qhid.Zone, Slot, qhstatus.RelayLease, error) {
	var relay qhstatus.RelayLease
	rest := strings.TrimPrefix(string(object.Key), string(Prefix))
	zone, name, _ := strings.Cut(rest, "/")
	slot, err := strconv.Atoi(name)
	if err == nil {
		err = json.Unmarshal(object.Value, &relay)
	}
	if err != nil {
		return "", 0, relay, qherr.New(qherr.BadInput, err, "delete the object", "relay object %s cannot be read", object.Key)
	}
	return qhid.Zone(zone), Slot(slot), relay, nil
}

// Refresh reads the slots of the availability zone from the platform.
func (k *Keeper) Refresh(ctx context.Context) error {
	objects, err := k.Store.List(ctx, zoneKey(k.Zone))
	if err != nil {
		return err
	}
	now := k.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	present := make(map[Slot]bool)
	for _, object := range objects {
		_, slot, relay, err := ParseRelay(object)
		if err != nil {
			continue // a slot that nobody can read counts as free and stays so
		}
		present[slot] = true
		k.slots[slot] = k.slots[slot].see(object, relay, now)
	}
	for slot := range k.slots {
		if !present[slot] {
			delete(k.slots, slot)
		}
	}
	return nil
}

// Holders returns the relays of the slots that had not lapsed at the last look,
// but for this node.
func (k *Keeper) Holders() []qhstatus.RelayLease {
	k.mu.Lock()
	defer k.mu.Unlock()
	var relays []qhstatus.RelayLease
	for slot := range Slot(k.Slots) {
		seen := k.slots[slot]
		if !seen.lapsed(k.TTL) && seen.relay.Holder != k.Node {
			relays = append(relays, seen.relay)
		}
	}
	return relays
}

// free returns a slot that nobody holds. A slot that an earlier life of this
// node held is free to it.
func (k *Keeper) free() (Slot, observation, bool) {
	for slot := range Slot(k.Slots) {
		seen := k.slots[slot]
		if seen.lapsed(k.TTL) || seen.relay.Holder == k.Node {
			return slot, seen, true
		}
	}
	return 0, observation{}, false
}

// Acquire takes a slot that was free at the last look. It returns false where
// none was or another node came first.
func (k *Keeper) Acquire(ctx context.Context, status Status) (bool, error) {
	k.mu.Lock()
	slot, seen, ok := k.free()
	held := k.held != nil
	k.mu.Unlock()
	if held || !ok {
		return held, nil
	}
	relay := k.relay(status)
	relay.FencingToken = seen.relay.FencingToken + 1
	relay.RenewalCount = seen.relay.RenewalCount + 1
	taken := &holding{slot: slot, revision: seen.revision, relay: relay}
	return k.put(ctx, taken)
}

// Renew renews the slot that this node holds. It returns false where another
// node has taken it; this node then holds none.
func (k *Keeper) Renew(ctx context.Context, status Status) (bool, error) {
	k.mu.Lock()
	held := k.held
	k.mu.Unlock()
	if held == nil {
		return false, nil
	}
	relay := k.relay(status)
	relay.FencingToken = held.relay.FencingToken
	relay.RenewalCount = held.relay.RenewalCount + 1
	return k.put(ctx, &holding{slot: held.slot, revision: held.revision, relay: relay})
}

// Release gives the slot up, so that another node need not wait for its lapse.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	held := k.held
	k.held = nil
	k.mu.Unlock()
	if held == nil {
		return nil
	}
	relay := qhstatus.RelayLease{FencingToken: held.relay.FencingToken, RenewalCount: held.relay.RenewalCount + 1, WriteID: rand.Text()}
	_, err := k.write(ctx, &holding{slot: held.slot, revision: held.revision, relay: relay})
	if qherr.Is(err, qherr.Conflict) || qherr.Is(err, qherr.NotFound) {
		return nil // another node has it
	}
	return err
}

func (k *Keeper) relay(status Status) qhstatus.RelayLease {
	return qhstatus.RelayLease{
		Holder:          k.Node,
		WriteID:         rand.Text(),
		PeerAddress:     k.PeerAddress,
		OperatorAddress: k.OperatorAddress,
		MemberCount:     status.MemberCount,
		Summary:         status.Summary,
	}
}

// HeldSlot returns the slot that this node holds, and false where its lease has
// lapsed by this node's clock.
func (k *Keeper) HeldSlot() (Slot, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held == nil || !k.Now().Before(k.held.until) {
		return 0, false
	}
	return k.held.slot, true
}

// PresumedHeld tells whether this node took a slot that nobody is known to have taken
// since. With the platform out of reach that is all that can be known.
func (k *Keeper) PresumedHeld() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held != nil
}

// put writes what this node is to hold and remembers the outcome.
func (k *Keeper) put(ctx context.Context, next *holding) (bool, error) {
	start := k.Now()
	revision, err := k.write(ctx, next)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		next.revision = revision
		next.until = start.Add(k.TTL)
		k.held = next
		return true, nil
	case qherr.Is(err, qherr.Conflict), qherr.Is(err, qherr.NotFound):
		k.held = nil
		return false, nil
	default:
		return false, err
	}
}

// write writes by the condition of the revision, and looks where the answer was lost.
func (k *Keeper) write(ctx context.Context, next *holding) (qhplatform.Revision, error) {
	value, err := json.Marshal(next.relay)
	if err != nil {
		return 0, qherr.New(qherr.Internal, err, "report this as a fault", "relay cannot be encoded")
	}
	key := SlotKey(k.Zone, next.slot)
	revision, err := k.store(ctx, key, value, next.revision)
	if qherr.Is(err, qherr.Unknown) || qherr.Is(err, qherr.Conflict) {
		return k.settle(ctx, key, next, err)
	}
	return revision, err
}

func (k *Keeper) store(ctx context.Context, key qhplatform.Key, value []byte, at qhplatform.Revision) (qhplatform.Revision, error) {
	if at == 0 {
		return k.Store.Create(ctx, key, value)
	}
	return k.Store.Update(ctx, key, value, at)
}

// settle finds out whether a write is in effect, by its token. Holder, fence and
// renewal do not tell: a node that forgot an earlier write of its own claims the
// slot with the same ones, and would take that write for its new one.
func (k *Keeper) settle(ctx context.Context, key qhplatform.Key, next *holding, cause error) (qhplatform.Revision, error) {
	object, err := k.Store.Get(ctx, key)
	if err != nil {
		return 0, qherr.New(qherr.Unavailable, cause, "wait for the platform", "the outcome of writing %s is not known yet", key)
	}
	_, _, relay, err := ParseRelay(object)
	if err == nil && relay.WriteID == next.relay.WriteID {
		return object.Revision, nil
	}
	if object.Revision == next.revision {
		return 0, qherr.New(qherr.Unavailable, cause, "wait for the platform", "writing %s had no effect", key)
	}
	return 0, qherr.New(qherr.Conflict, cause, fmt.Sprintf("ask %s", relay.Holder), "slot %s is taken", key)
}
