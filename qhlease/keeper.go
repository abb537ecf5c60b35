// Package qhlease manages relay slots: leases on the platform of which each
// availability zone has a few, and which its nodes acquire and renew by conditional
// updates. A lease grants no right to write anything else, so a holder that was
// paused past its expiry does no harm.
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

// Prefix is the key prefix of all relay slots.
const Prefix qhplatform.Key = "relay/"

// Slot is the number of a relay slot in its availability zone, from 0.
type Slot int

// Options configures a Keeper.
type Options struct {
	Store qhplatform.Store
	Zone  qhid.Zone
	// Slots is the number of slots of the availability zone.
	Slots int
	// TTL is how long a lease is valid without renewal.
	TTL time.Duration
	// Node is this node; PeerAddress and OperatorAddress are its addresses, which a
	// lease publishes.
	Node                         qhid.Node
	PeerAddress, OperatorAddress qhid.Address
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Status is the part of the lease that the holder updates with each renewal.
type Status struct {
	MemberCount int
	Summary     qhstatus.Summary
}

// Keeper observes the relay slots of an availability zone and holds at most one. It
// is safe for concurrent use.
type Keeper struct {
	Options
	mu sync.Mutex
	// observed has the last observation of each slot.
	observed map[Slot]observation
	// held is the slot that this node holds as far as it knows; nil if none.
	held *heldSlot
}

// heldSlot is a slot that this node holds.
type heldSlot struct {
	slot     Slot
	revision qhplatform.Revision
	lease    qhstatus.RelayLease
	// expiresAt is when the lease expires by this node's clock. The TTL counts from
	// before the write that acquired or renewed the lease.
	expiresAt time.Time
}

// NewKeeper returns a keeper without observations that holds no slot.
func NewKeeper(options Options) *Keeper {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Keeper{Options: options, observed: make(map[Slot]observation)}
}

// SlotKey returns the key of a slot's object.
func SlotKey(zone qhid.Zone, slot Slot) qhplatform.Key {
	return zonePrefix(zone) + qhplatform.Key(strconv.Itoa(int(slot)))
}

func zonePrefix(zone qhid.Zone) qhplatform.Key { return Prefix + qhplatform.Key(zone) + "/" }

// ParseRelay returns the availability zone, the slot and the lease of a relay
// object. Errors are of kind BadInput.
func ParseRelay(object qhplatform.Object) (qhid.Zone, Slot, qhstatus.RelayLease, error) {
	var lease qhstatus.RelayLease
	rest := strings.TrimPrefix(string(object.Key), string(Prefix))
	zone, name, _ := strings.Cut(rest, "/")
	slot, err := strconv.Atoi(name)
	if err == nil {
		err = json.Unmarshal(object.Value, &lease)
	}
	if err != nil {
		return "", 0, lease, qherr.New(qherr.BadInput, err, "delete the object", "relay object %s cannot be decoded", object.Key)
	}
	return qhid.Zone(zone), Slot(slot), lease, nil
}

// Refresh reads the slots of the availability zone from the platform.
func (k *Keeper) Refresh(ctx context.Context) error {
	objects, err := k.Store.List(ctx, zonePrefix(k.Zone))
	if err != nil {
		return err
	}
	now := k.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	present := make(map[Slot]bool)
	for _, object := range objects {
		_, slot, lease, err := ParseRelay(object)
		if err != nil {
			continue // a slot whose object cannot be decoded counts as free and stays free
		}
		present[slot] = true
		k.observed[slot] = k.observed[slot].update(object, lease, now)
	}
	for slot := range k.observed {
		if !present[slot] {
			delete(k.observed, slot)
		}
	}
	return nil
}

// OtherLeases returns the leases of other nodes that had not expired at the last
// refresh.
func (k *Keeper) OtherLeases() []qhstatus.RelayLease {
	k.mu.Lock()
	defer k.mu.Unlock()
	var leases []qhstatus.RelayLease
	for slot := range Slot(k.Slots) {
		observed := k.observed[slot]
		if !observed.expired(k.TTL) && observed.lease.Holder != k.Node {
			leases = append(leases, observed.lease)
		}
	}
	return leases
}

// freeSlot returns a slot without a holder. A slot that an earlier incarnation of
// this node holds is free to this node.
func (k *Keeper) freeSlot() (Slot, observation, bool) {
	for slot := range Slot(k.Slots) {
		observed := k.observed[slot]
		if observed.expired(k.TTL) || observed.lease.Holder == k.Node {
			return slot, observed, true
		}
	}
	return 0, observation{}, false
}

// Acquire takes a slot that was free at the last refresh. It returns false if there
// was none or another node was faster.
func (k *Keeper) Acquire(ctx context.Context, status Status) (bool, error) {
	k.mu.Lock()
	slot, observed, ok := k.freeSlot()
	held := k.held != nil
	k.mu.Unlock()
	if held || !ok {
		return held, nil
	}
	lease := k.newRelayLease(status)
	lease.FencingToken = observed.lease.FencingToken + 1
	lease.RenewalCount = observed.lease.RenewalCount + 1
	next := &heldSlot{slot: slot, revision: observed.revision, lease: lease}
	return k.writeHeld(ctx, next)
}

// Renew renews the lease of this node. It returns false if another node has taken
// the slot; this node then holds none.
func (k *Keeper) Renew(ctx context.Context, status Status) (bool, error) {
	k.mu.Lock()
	held := k.held
	k.mu.Unlock()
	if held == nil {
		return false, nil
	}
	lease := k.newRelayLease(status)
	lease.FencingToken = held.lease.FencingToken
	lease.RenewalCount = held.lease.RenewalCount + 1
	return k.writeHeld(ctx, &heldSlot{slot: held.slot, revision: held.revision, lease: lease})
}

// Release gives up the slot, so that another node need not wait until the lease
// expires.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	held := k.held
	k.held = nil
	k.mu.Unlock()
	if held == nil {
		return nil
	}
	lease := qhstatus.RelayLease{FencingToken: held.lease.FencingToken, RenewalCount: held.lease.RenewalCount + 1, WriteID: rand.Text()}
	_, err := k.write(ctx, &heldSlot{slot: held.slot, revision: held.revision, lease: lease})
	if qherr.Is(err, qherr.Conflict) || qherr.Is(err, qherr.NotFound) {
		return nil // another node has taken the slot
	}
	return err
}

func (k *Keeper) newRelayLease(status Status) qhstatus.RelayLease {
	return qhstatus.RelayLease{
		Holder:          k.Node,
		WriteID:         rand.Text(),
		PeerAddress:     k.PeerAddress,
		OperatorAddress: k.OperatorAddress,
		MemberCount:     status.MemberCount,
		Summary:         status.Summary,
	}
}

// HeldSlot returns the slot that this node holds, or false if it has none or the
// lease has expired by this node's clock.
func (k *Keeper) HeldSlot() (Slot, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held == nil || !k.Now().Before(k.held.expiresAt) {
		return 0, false
	}
	return k.held.slot, true
}

// PresumedHeld reports whether this node acquired a slot and has not learned that
// another node took it since. It ignores expiry: while the platform is unreachable,
// nothing more can be known.
func (k *Keeper) PresumedHeld() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held != nil
}

// writeHeld writes the lease and updates held by the outcome.
func (k *Keeper) writeHeld(ctx context.Context, next *heldSlot) (bool, error) {
	start := k.Now()
	revision, err := k.write(ctx, next)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		next.revision = revision
		next.expiresAt = start.Add(k.TTL)
		k.held = next
		return true, nil
	case qherr.Is(err, qherr.Conflict), qherr.Is(err, qherr.NotFound):
		k.held = nil
		return false, nil
	default:
		return false, err
	}
}

// write writes the lease on condition of its revision. If the outcome is unknown or
// the condition failed, it reads the object to find out.
func (k *Keeper) write(ctx context.Context, next *heldSlot) (qhplatform.Revision, error) {
	value, err := json.Marshal(next.lease)
	if err != nil {
		return 0, qherr.New(qherr.Internal, err, "report this as a bug", "relay lease cannot be encoded")
	}
	key := SlotKey(k.Zone, next.slot)
	revision, err := k.conditionalWrite(ctx, key, value, next.revision)
	if qherr.Is(err, qherr.Unknown) || qherr.Is(err, qherr.Conflict) {
		return k.resolveWrite(ctx, key, next, err)
	}
	return revision, err
}

func (k *Keeper) conditionalWrite(ctx context.Context, key qhplatform.Key, value []byte, revision qhplatform.Revision) (qhplatform.Revision, error) {
	if revision == 0 {
		return k.Store.Create(ctx, key, value)
	}
	return k.Store.Update(ctx, key, value, revision)
}

// resolveWrite finds out by the write ID whether a write took effect. Holder,
// fencing token and renewal count are not sufficient: a node that does not know of
// an earlier write of its own acquires the slot with the same ones, and would
// mistake that write for the new one.
func (k *Keeper) resolveWrite(ctx context.Context, key qhplatform.Key, next *heldSlot, cause error) (qhplatform.Revision, error) {
	object, err := k.Store.Get(ctx, key)
	if err != nil {
		return 0, qherr.New(qherr.Unavailable, cause, "wait for the platform", "the outcome of writing %s is unknown", key)
	}
	_, _, lease, err := ParseRelay(object)
	if err == nil && lease.WriteID == next.lease.WriteID {
		return object.Revision, nil
	}
	if object.Revision == next.revision {
		return 0, qherr.New(qherr.Unavailable, cause, "wait for the platform", "writing %s had no effect", key)
	}
	return 0, qherr.New(qherr.Conflict, cause, fmt.Sprintf("ask %s", lease.Holder), "slot %s is held by another node", key)
}
