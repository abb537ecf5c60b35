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

const lease = 3 * time.Second

// world is some keepers with one clock.
type world struct {
	now      time.Time
	platform *qhplatform.Memory
	keepers  []*qhlease.Keeper
	// awake is when each keeper goes on after a pause.
	awake []time.Time
}

func newWorld(keepers, slots int) *world {
	w := &world{now: time.Unix(1_800_000_000, 0), platform: qhplatform.NewMemory(qhplatform.MemoryOptions{})}
	for i := range keepers {
		w.keepers = append(w.keepers, qhlease.NewKeeper(qhlease.Options{
			Store: w.platform.Store(), Zone: "kigali-a", Slots: slots, TTL: lease,
			Node: qhid.Node(fmt.Sprintf("a%d", i)), PeerAddress: "127.0.0.1:7001",
			Now: func() time.Time { return w.now },
		}))
	}
	w.awake = make([]time.Time, keepers)
	return w
}

// step lets one keeper do what a node does now and then.
func (w *world) step(t *rapid.T) error {
	i := rapid.IntRange(0, len(w.keepers)-1).Draw(t, "keeper")
	if w.now.Before(w.awake[i]) {
		return nil
	}
	keeper, ctx := w.keepers[i], context.Background()
	var err error
	switch rapid.IntRange(0, 4).Draw(t, "act") {
	case 0:
		err = keeper.Refresh(ctx)
	case 1:
		_, err = keeper.Acquire(ctx, qhlease.Status{})
	case 2:
		_, err = keeper.Renew(ctx, qhlease.Status{})
	case 3:
		w.awake[i] = w.now.Add(2 * lease)
	case 4:
		if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
			err = keeper.Release(ctx)
		}
	}
	if qherr.Is(err, qherr.Unavailable) || qherr.Is(err, qherr.Unknown) {
		return nil
	}
	return err
}

func (w *world) check() error {
	holders := make(map[qhlease.Slot]int)
	for i, keeper := range w.keepers {
		slot, ok := keeper.HeldSlot()
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
		w := newWorld(4, 2)
		fences := make(map[qhplatform.Key]uint64)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			lost := 0
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				lost = 1
			}
			stale := rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "stale")
			down := rapid.IntRange(0, 9).Draw(t, "down") == 0
			w.platform.SetFaults(qhplatform.Faults{LostResponses: lost, StaleBy: stale, Down: down})
			if err := errors.Join(w.step(t), w.check()); err != nil {
				t.Fatal(err)
			}
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "time")) * time.Millisecond)
			w.platform.SetFaults(qhplatform.Faults{})
			objects, _ := w.platform.Store().List(context.Background(), qhlease.Prefix)
			for _, object := range objects {
				_, _, relay, _ := qhlease.ParseRelay(object)
				if relay.FencingToken < fences[object.Key] {
					t.Fatalf("fence of %s went back", object.Key)
				}
				fences[object.Key] = relay.FencingToken
			}
		}
	})
}

func relayOf(w *world) qhstatus.RelayLease {
	object, err := w.platform.Store().Get(context.Background(), qhlease.SlotKey("kigali-a", 0))
	Expect(err).NotTo(HaveOccurred())
	_, _, relay, err := qhlease.ParseRelay(object)
	Expect(err).NotTo(HaveOccurred())
	return relay
}

var _ = Describe("Keeper", func() {
	ctx := context.Background()
	var w *world
	var one, other *qhlease.Keeper
	BeforeEach(func() {
		w = newWorld(2, 1)
		one, other = w.keepers[0], w.keepers[1]
		Expect(one.Refresh(ctx)).To(Succeed())
		Expect(one.Acquire(ctx, qhlease.Status{MemberCount: 7})).To(BeTrue())
	})

	It("does not take a write that it forgot for its new one", func() {
		Expect(other.Refresh(ctx)).To(Succeed())
		w.platform.SetFaults(qhplatform.Faults{Down: true})
		Expect(one.Release(ctx)).NotTo(Succeed())
		w.platform.SetFaults(qhplatform.Faults{})
		w.now = w.now.Add(lease + time.Millisecond)
		Expect(other.Refresh(ctx)).To(Succeed())
		Expect(one.Acquire(ctx, qhlease.Status{})).To(BeFalse())
		Expect(other.Acquire(ctx, qhlease.Status{})).To(BeTrue())
		Expect(w.check()).To(Succeed())
	})

	It("takes a slot only after it stood still for the lease", func() {
		Expect(other.Refresh(ctx)).To(Succeed())
		Expect(other.Acquire(ctx, qhlease.Status{})).To(BeFalse())
		w.now = w.now.Add(lease)
		Expect(one.Renew(ctx, qhlease.Status{})).To(BeTrue())
		Expect(other.Refresh(ctx)).To(Succeed())
		Expect(other.Acquire(ctx, qhlease.Status{})).To(BeFalse())
		Expect(other.Holders()).To(HaveLen(1))
		w.now = w.now.Add(lease + 1)
		Expect(other.Refresh(ctx)).To(Succeed())
		Expect(other.Holders()).To(BeEmpty())
		Expect(other.Acquire(ctx, qhlease.Status{})).To(BeTrue())
		Expect(relayOf(w).FencingToken).To(Equal(uint64(2)))
	})

	It("notices on waking that its lease went to another", func() {
		Expect(other.Refresh(ctx)).To(Succeed())
		w.now = w.now.Add(2 * lease)
		_, holding := one.HeldSlot()
		Expect(holding).To(BeFalse())
		Expect(other.Refresh(ctx)).To(Succeed())
		Expect(other.Acquire(ctx, qhlease.Status{})).To(BeTrue())
		Expect(one.Renew(ctx, qhlease.Status{})).To(BeFalse())
		Expect(one.PresumedHeld()).To(BeFalse())
		Expect(relayOf(w).Holder).To(Equal(qhid.Node("a1")))
	})

	It("keeps a slot whose renewal took effect without an answer", func() {
		w.platform.SetFaults(qhplatform.Faults{LostResponses: 1})
		Expect(one.Renew(ctx, qhlease.Status{})).To(BeTrue())
		Expect(one.Renew(ctx, qhlease.Status{})).To(BeTrue())
	})

	It("gives a released slot to the next at once", func() {
		Expect(one.Release(ctx)).To(Succeed())
		Expect(other.Refresh(ctx)).To(Succeed())
		Expect(other.Acquire(ctx, qhlease.Status{})).To(BeTrue())
	})

	It("takes back the slot of its own earlier life", func() {
		again := qhlease.NewKeeper(one.Options)
		Expect(again.Refresh(ctx)).To(Succeed())
		Expect(again.Acquire(ctx, qhlease.Status{})).To(BeTrue())
		Expect(one.Renew(ctx, qhlease.Status{})).To(BeFalse())
	})
})
