package qhlease_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhlease"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstatus"
)

const leaseTTL = 3 * time.Second

// testZone has the managers of the nodes of a zone, with a shared clock and platform.
type testZone struct {
	now      time.Time
	platform *qhplatform.Fake
	managers []*qhlease.Manager
	// pausedUntil is when each manager's node continues after a pause.
	pausedUntil []time.Time
}

func newTestZone(managers, slots int) *testZone {
	z := &testZone{now: time.Unix(1_800_000_000, 0), platform: qhplatform.NewFake(qhplatform.FakeOptions{})}
	for i := range managers {
		z.managers = append(z.managers, qhlease.NewManager(qhlease.Options{
			Store: z.platform.Store(), Zone: "kigali-a", Slots: slots, TTL: leaseTTL,
			Node: qhid.Node(fmt.Sprintf("a%d", i)), PeerAddress: "127.0.0.1:7001",
			Now: func() time.Time { return z.now },
		}))
	}
	z.pausedUntil = make([]time.Time, managers)
	return z
}

// randomStep runs a random action of a random node.
func (z *testZone) randomStep(t *rapid.T) error {
	i := rapid.IntRange(0, len(z.managers)-1).Draw(t, "manager")
	if z.now.Before(z.pausedUntil[i]) {
		return nil
	}
	manager, ctx := z.managers[i], context.Background()
	var err error
	switch rapid.IntRange(0, 4).Draw(t, "act") {
	case 0:
		err = manager.Refresh(ctx)
	case 1:
		_, err = manager.Acquire(ctx, qhlease.HolderStatus{})
	case 2:
		_, err = manager.Renew(ctx, qhlease.HolderStatus{})
	case 3:
		z.pausedUntil[i] = z.now.Add(2 * leaseTTL)
	case 4:
		if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
			err = manager.Release(ctx)
		}
	}
	if qherr.Is(err, qherr.Unavailable) || qherr.Is(err, qherr.Unknown) {
		return nil
	}
	return err
}

func (z *testZone) checkSingleHolders() error {
	holders := make(map[qhlease.Slot]int)
	for i, manager := range z.managers {
		slot, ok := manager.HeldSlot()
		if !ok {
			continue
		}
		if other, taken := holders[slot]; taken {
			return fmt.Errorf("slot %d held by %d and %d", slot, other, i)
		}
		holders[slot] = i
	}
	return nil
}

func TestASlotHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newTestZone(4, 2)
		fencingTokens := make(map[qhplatform.Key]uint64)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			lost := 0
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				lost = 1
			}
			stale := rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "stale")
			down := rapid.IntRange(0, 9).Draw(t, "down") == 0
			z.platform.SetFaults(qhplatform.Faults{LostResponses: lost, StaleBy: stale, Down: down})
			if err := errors.Join(z.randomStep(t), z.checkSingleHolders()); err != nil {
				t.Fatal(err)
			}
			z.now = z.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "time")) * time.Millisecond)
			z.platform.SetFaults(qhplatform.Faults{})
			objects, _ := z.platform.Store().List(context.Background(), qhlease.Prefix)
			for _, object := range objects {
				_, _, lease, _ := qhlease.ParseRelay(object)
				if lease.FencingToken < fencingTokens[object.Key] {
					t.Fatalf("fencing token of %s decreased", object.Key)
				}
				fencingTokens[object.Key] = lease.FencingToken
			}
		}
	})
}

func storedLease(z *testZone) qhstatus.RelayLease {
	object, err := z.platform.Store().Get(context.Background(), qhlease.SlotKey("kigali-a", 0))
	Expect(err).NotTo(HaveOccurred())
	_, _, lease, err := qhlease.ParseRelay(object)
	Expect(err).NotTo(HaveOccurred())
	return lease
}

var _ = Describe("Manager", func() {
	ctx := context.Background()
	var z *testZone
	var first, second *qhlease.Manager
	BeforeEach(func() {
		z = newTestZone(2, 1)
		first, second = z.managers[0], z.managers[1]
		Expect(first.Refresh(ctx)).To(Succeed())
		Expect(first.Acquire(ctx, qhlease.HolderStatus{MemberCount: 7})).To(BeTrue())
	})

	It("does not mistake an earlier write of its own for a new one that failed", func() {
		Expect(second.Refresh(ctx)).To(Succeed())
		z.platform.SetFaults(qhplatform.Faults{Down: true})
		Expect(first.Release(ctx)).NotTo(Succeed())
		z.platform.SetFaults(qhplatform.Faults{})
		z.now = z.now.Add(leaseTTL + time.Millisecond)
		Expect(second.Refresh(ctx)).To(Succeed())
		Expect(first.Acquire(ctx, qhlease.HolderStatus{})).To(BeFalse())
		Expect(second.Acquire(ctx, qhlease.HolderStatus{})).To(BeTrue())
		Expect(z.checkSingleHolders()).To(Succeed())
	})

	It("acquires a slot only if its lease has not changed for longer than the TTL", func() {
		Expect(second.Refresh(ctx)).To(Succeed())
		Expect(second.Acquire(ctx, qhlease.HolderStatus{})).To(BeFalse())
		z.now = z.now.Add(leaseTTL)
		Expect(first.Renew(ctx, qhlease.HolderStatus{})).To(BeTrue())
		Expect(second.Refresh(ctx)).To(Succeed())
		Expect(second.Acquire(ctx, qhlease.HolderStatus{})).To(BeFalse())
		Expect(second.OtherLeases()).To(HaveLen(1))
		z.now = z.now.Add(leaseTTL + 1)
		Expect(second.Refresh(ctx)).To(Succeed())
		Expect(second.OtherLeases()).To(BeEmpty())
		Expect(second.Acquire(ctx, qhlease.HolderStatus{})).To(BeTrue())
		Expect(storedLease(z).FencingToken).To(Equal(uint64(2)))
	})

	It("notices after a pause that another node took its slot", func() {
		Expect(second.Refresh(ctx)).To(Succeed())
		z.now = z.now.Add(2 * leaseTTL)
		_, holding := first.HeldSlot()
		Expect(holding).To(BeFalse())
		Expect(second.Refresh(ctx)).To(Succeed())
		Expect(second.Acquire(ctx, qhlease.HolderStatus{})).To(BeTrue())
		Expect(first.Renew(ctx, qhlease.HolderStatus{})).To(BeFalse())
		Expect(first.HoldsIgnoringExpiry()).To(BeFalse())
		Expect(storedLease(z).Holder).To(Equal(qhid.Node("a1")))
	})

	It("keeps a slot whose renewal took effect but whose response was lost", func() {
		z.platform.SetFaults(qhplatform.Faults{LostResponses: 1})
		Expect(first.Renew(ctx, qhlease.HolderStatus{})).To(BeTrue())
		Expect(first.Renew(ctx, qhlease.HolderStatus{})).To(BeTrue())
	})

	It("frees a released slot at once", func() {
		Expect(first.Release(ctx)).To(Succeed())
		Expect(second.Refresh(ctx)).To(Succeed())
		Expect(second.Acquire(ctx, qhlease.HolderStatus{})).To(BeTrue())
	})

	It("reacquires the slot of its own earlier incarnation", func() {
		restarted := qhlease.NewManager(first.Options)
		Expect(restarted.Refresh(ctx)).To(Succeed())
		Expect(restarted.Acquire(ctx, qhlease.HolderStatus{})).To(BeTrue())
		Expect(first.Renew(ctx, qhlease.HolderStatus{})).To(BeFalse())
	})
})
