package qhsite_test

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsite"
)

// holdsSlot tells whether the node holds a relay slot, as it says itself.
func holdsSlot(ctx context.Context, node *qhsite.Node) bool {
	text, err := node.Ask(ctx, "/dump")
	if err != nil {
		return false
	}
	var dump struct {
		Spread struct {
			Slot json.RawMessage `json:"slot"`
		} `json:"spread"`
	}
	return json.Unmarshal(text, &dump) == nil && len(dump.Spread.Slot) > 0
}

// relayOf waits until one of the nodes holds a relay slot.
func relayOf(ctx context.Context, nodes []*qhsite.Node) *qhsite.Node {
	GinkgoHelper()
	var relay *qhsite.Node
	Eventually(func() bool {
		for _, node := range nodes {
			if holdsSlot(ctx, node) {
				relay = node
			}
		}
		return relay != nil
	}, patience).Should(BeTrue())
	return relay
}

var _ = Describe("A relay that is paused past its lease", func() {
	It("is replaced, does no harm when it goes on, and catches up", func(ctx SpecContext) {
		f := newServingFleet(ctx, func(options *qhsite.Options) { options.Deployment.Node.Spread.RelaySlots = 1 })
		zone := f.in("kigali-a")
		relay := relayOf(ctx, zone)
		rest := f.others(relay)
		Expect(relay.Freeze()).To(Succeed())
		DeferCleanup(relay.Thaw)
		var other []*qhsite.Node
		for _, node := range zone {
			if node != relay {
				other = append(other, node)
			}
		}
		Expect(relayOf(ctx, other)).NotTo(BeNil())
		f.change(ctx, "3-shift.jsonc", rest)
		start := time.Now()
		Expect(relay.Thaw()).To(Succeed())
		f.waitHeld(ctx, start, []*qhsite.Node{relay})
		Eventually(func() int {
			holders := 0
			for _, node := range zone {
				if holdsSlot(ctx, node) {
					holders++
				}
			}
			return holders
		}, patience).Should(Equal(1), "the paused holder gives its slot up")
		f.change(ctx, "4-retire.jsonc", f.Nodes)
		for _, node := range f.Nodes {
			Expect(node.Version(ctx)).To(Equal(f.version))
		}
	}, SpecTimeout(hang))
})

var _ = Describe("A cut between availability zones", func() {
	const apart qhid.Zone = "kigali-c"
	cuttable := func(options *qhsite.Options) { options.Cuttable = true }

	It("leaves each side serving its own targets, and the cut one catches up", func(ctx SpecContext) {
		f := newServingFleet(ctx, cuttable)
		sides := []qhid.Zone{"kigali-a", "kigali-b", qhsite.PlatformZone}
		for _, side := range sides {
			f.Cut(apart, side)
		}
		f.change(ctx, "3-shift.jsonc", f.in("kigali-a", "kigali-b"))
		for _, node := range f.in(apart) {
			Expect(node.Version(ctx)).To(Equal(f.version-1), "nothing passes the cut")
		}
		// Certificates have a target in every availability zone.
		f.expectAnswers(ctx, "POST", "/certificates")
		start := time.Now()
		for _, side := range sides {
			f.Heal(apart, side)
		}
		f.waitHeld(ctx, start, f.in(apart))
		f.change(ctx, "4-retire.jsonc", f.Nodes)
		f.expectAnswers(ctx, "GET", "/slots/today")
	}, SpecTimeout(hang))

	It("from the platform alone lets versions come through another availability zone", func(ctx SpecContext) {
		f := newServingFleet(ctx, cuttable)
		f.Cut(apart, qhsite.PlatformZone)
		f.change(ctx, "3-shift.jsonc", f.Nodes)
		f.Heal(apart, qhsite.PlatformZone)
		f.change(ctx, "4-retire.jsonc", f.Nodes)
	}, SpecTimeout(hang))
})

var _ = Describe("Failures that come together", func() {
	It("leave every node on the newest version once they are over", func(ctx SpecContext) {
		f := newServingFleet(ctx, func(options *qhsite.Options) { options.Cuttable = true })
		f.Cut("kigali-c", "kigali-a")
		f.Cut("kigali-c", "kigali-b")
		f.Cut("kigali-c", qhsite.PlatformZone)
		f.change(ctx, "3-shift.jsonc", f.in("kigali-a", "kigali-b"))
		Expect(f.SetFaults(ctx, qhplatform.Faults{Down: true})).To(Succeed())
		herd := f.in("kigali-b")
		kill(herd...)
		start := time.Now()
		restart(herd...)
		// With the platform out and one zone cut off, the rest of the fleet is
		// the only place that has the newest version.
		f.waitHeld(ctx, start, herd)
		f.Heal("kigali-c", "kigali-a")
		f.waitHeld(ctx, start, f.in("kigali-c"))
		f.Heal("kigali-c", "kigali-b")
		f.Heal("kigali-c", qhsite.PlatformZone)
		Expect(f.SetFaults(ctx, qhplatform.Faults{})).To(Succeed())
		f.change(ctx, "4-retire.jsonc", f.Nodes)
		Expect(f.WaitMembers(ctx)).To(Succeed())
		f.expectAnswers(ctx, "GET", "/slots/today")
	}, SpecTimeout(hang))
})

var _ = Describe("Connections that go silent for good", func() {
	It("are replaced by new ones for calls and for versions", func(ctx SpecContext) {
		f := newServingFleet(ctx, func(options *qhsite.Options) { options.Cuttable = true })
		f.change(ctx, "3-shift.jsonc", f.Nodes)
		f.expectAnswers(ctx, "GET", "/slots/today")
		for _, pair := range [][2]qhid.Zone{{"kigali-a", "kigali-b"}, {"kigali-a", "kigali-c"}, {"kigali-b", "kigali-c"}, {"kigali-a", "kigali-a"}} {
			f.Silence(pair[0], pair[1])
		}
		f.change(ctx, "4-retire.jsonc", f.Nodes)
		f.expectAnswers(ctx, "GET", "/slots/today")
		f.expectAnswers(ctx, "POST", "/certificates")
	}, SpecTimeout(hang))
})
