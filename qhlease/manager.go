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

// Options configures a Manager.
type Options struct {
	Store qhplatform.Store
	Zone  qhid.Zone
	// Slots is the number of slots of the availability zone.
	Slots int
	// TTL is the time without renewal after which a lease expires.
	TTL time.Duration
	// Node is this node; PeerAddress and OperatorAddress are its addresses, which a
	// lease publishes.
	Node                         qhid.Node
	PeerAddress, OperatorAddress qhid.Address
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// HolderStatus is the holder's data that a lease publishes. It is updated with each
// renewal.
type HolderStatus struct {
	MemberCount int
	Summary     qhstatus.Summary
}

// Manager observes the relay slots of an availability zone, and acquires, renews and
// releases at most one for its node. It is safe for concurrent use.
type Manager struct {
	Options
	mu sync.Mutex
	// observed has the last observation of each slot.
	observed map[Slot]observation
	// held is the slot that this node acquired and has not learned to have lost; nil
	// if none.
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

// NewManager returns a manager without observations that holds no slot.
func NewManager(options Options) *Manager {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Manager{Options: options, observed: make(map[Slot]observation)}
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
	suffix := strings.TrimPrefix(string(object.Key), string(Prefix))
	zone, name, _ := strings.Cut(suffix, "/")
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
func (m *Manager) Refresh(ctx context.Context) error {
	objects, err := m.Store.List(ctx, zonePrefix(m.Zone))
	if err != nil {
		return err
	}
	now := m.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[Slot]bool)
	for _, object := range objects {
		_, slot, lease, err := ParseRelay(object)
		if err != nil {
			continue // the slot counts as free, but cannot be acquired while this object exists
		}
		present[slot] = true
		m.observed[slot] = m.observed[slot].update(object, lease, now)
	}
	for slot := range m.observed {
		if !present[slot] {
			delete(m.observed, slot)
		}
	}
	return nil
}

// OtherLeases returns the leases of other nodes that had not expired at the last
// refresh.
func (m *Manager) OtherLeases() []qhstatus.RelayLease {
	m.mu.Lock()
	defer m.mu.Unlock()
	var leases []qhstatus.RelayLease
	for slot := range Slot(m.Slots) {
		observed := m.observed[slot]
		if !observed.isFree(m.TTL) && observed.lease.Holder != m.Node {
			leases = append(leases, observed.lease)
		}
	}
	return leases
}

// freeSlot returns a free slot. A slot that an earlier incarnation of this node
// holds is free for this node.
func (m *Manager) freeSlot() (Slot, observation, bool) {
	for slot := range Slot(m.Slots) {
		observed := m.observed[slot]
		if observed.isFree(m.TTL) || observed.lease.Holder == m.Node {
			return slot, observed, true
		}
	}
	return 0, observation{}, false
}

// Acquire acquires a slot that was free at the last refresh, unless this node holds
// one already. It returns whether the node now holds a slot: it does not if none was
// free or another node was faster.
func (m *Manager) Acquire(ctx context.Context, status HolderStatus) (bool, error) {
	m.mu.Lock()
	slot, observed, ok := m.freeSlot()
	held := m.held != nil
	m.mu.Unlock()
	if held || !ok {
		return held, nil
	}
	lease := m.newRelayLease(status)
	lease.FencingToken = observed.lease.FencingToken + 1
	lease.RenewalCount = observed.lease.RenewalCount + 1
	next := &heldSlot{slot: slot, revision: observed.revision, lease: lease}
	return m.writeHeld(ctx, next)
}

// Renew renews the lease of this node. It returns false if another node has taken
// the slot; this node then holds none.
func (m *Manager) Renew(ctx context.Context, status HolderStatus) (bool, error) {
	m.mu.Lock()
	held := m.held
	m.mu.Unlock()
	if held == nil {
		return false, nil
	}
	lease := m.newRelayLease(status)
	lease.FencingToken = held.lease.FencingToken
	lease.RenewalCount = held.lease.RenewalCount + 1
	return m.writeHeld(ctx, &heldSlot{slot: held.slot, revision: held.revision, lease: lease})
}

// Release releases the slot, so that another node need not wait until the lease
// expires.
func (m *Manager) Release(ctx context.Context) error {
	m.mu.Lock()
	held := m.held
	m.held = nil
	m.mu.Unlock()
	if held == nil {
		return nil
	}
	lease := qhstatus.RelayLease{FencingToken: held.lease.FencingToken, RenewalCount: held.lease.RenewalCount + 1, WriteID: rand.Text()}
	_, err := m.write(ctx, &heldSlot{slot: held.slot, revision: held.revision, lease: lease})
	if qherr.Is(err, qherr.Conflict) || qherr.Is(err, qherr.NotFound) {
		return nil // another node has taken the slot
	}
	return err
}

func (m *Manager) newRelayLease(status HolderStatus) qhstatus.RelayLease {
	return qhstatus.RelayLease{
		Holder:          m.Node,
		WriteID:         rand.Text(),
		PeerAddress:     m.PeerAddress,
		OperatorAddress: m.OperatorAddress,
		MemberCount:     status.MemberCount,
		Summary:         status.Summary,
	}
}

// HeldSlot returns the slot that this node holds, or false if it has none or the
// lease has expired by this node's clock.
func (m *Manager) HeldSlot() (Slot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil || !m.Now().Before(m.held.expiresAt) {
		return 0, false
	}
	return m.held.slot, true
}

// HoldsIgnoringExpiry reports whether this node acquired a slot and has not learned
// since that another node took it. It ignores expiry: while the platform is
// unreachable, this node cannot find out whether the slot was taken.
func (m *Manager) HoldsIgnoringExpiry() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held != nil
}

// writeHeld writes the lease and sets held to next, or to nil if another node has
// taken the slot. An unknown outcome leaves held as it is.
func (m *Manager) writeHeld(ctx context.Context, next *heldSlot) (bool, error) {
	start := m.Now()
	revision, err := m.write(ctx, next)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		next.revision = revision
		next.expiresAt = start.Add(m.TTL)
		m.held = next
		return true, nil
	case qherr.Is(err, qherr.Conflict), qherr.Is(err, qherr.NotFound):
		m.held = nil
		return false, nil
	default:
		return false, err
	}
}

// write writes the lease on condition of its revision. If the outcome is unknown or
// the condition failed, it reads the object to find out.
func (m *Manager) write(ctx context.Context, next *heldSlot) (qhplatform.Revision, error) {
	value, err := json.Marshal(next.lease)
	if err != nil {
		return 0, qherr.New(qherr.Internal, err, "report this as a bug", "relay lease cannot be encoded")
	}
	key := SlotKey(m.Zone, next.slot)
	revision, err := m.conditionalWrite(ctx, key, value, next.revision)
	if qherr.Is(err, qherr.Unknown) || qherr.Is(err, qherr.Conflict) {
		return m.resolveWrite(ctx, key, next, err)
	}
	return revision, err
}

func (m *Manager) conditionalWrite(ctx context.Context, key qhplatform.Key, value []byte, revision qhplatform.Revision) (qhplatform.Revision, error) {
	if revision == 0 {
		return m.Store.Create(ctx, key, value)
	}
	return m.Store.Update(ctx, key, value, revision)
}

// resolveWrite finds out by the write ID whether a write took effect. Holder,
// fencing token and renewal count are not sufficient: a node that does not know that
// an earlier write of its own took effect acquires the slot with the same ones, and
// would mistake that write for the new one.
func (m *Manager) resolveWrite(ctx context.Context, key qhplatform.Key, next *heldSlot, cause error) (qhplatform.Revision, error) {
	object, err := m.Store.Get(ctx, key)
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
	return 0, qherr.New(qherr.Conflict, cause, fmt.Sprintf("use the relay %s", lease.Holder), "slot %s is held by another node", key)
}
