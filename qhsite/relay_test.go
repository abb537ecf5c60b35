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

// holdsRelaySlot reports whether the node holds a relay slot according to its
// /dump endpoint.
func holdsRelaySlot(ctx context.Context, node *qhsite.Node) bool {
	text, err := node.OperatorGet(ctx, "/dump")
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

// waitRelay waits until one of the nodes holds a relay slot and returns it.
func waitRelay(ctx context.Context, nodes []*qhsite.Node) *qhsite.Node {
	GinkgoHelper()
	var relay *qhsite.Node
	Eventually(func() bool {
		for _, node := range nodes {
			if holdsRelaySlot(ctx, node) {
				relay = node
			}
		}
		return relay != nil
	}, eventTimeout).Should(BeTrue())
	return relay
}

var _ = Describe("A relay whose lease expires while it is paused", func() {
	It("is replaced, gives up its slot after it resumes, and applies the newest version", func(ctx SpecContext) {
		f := newServingFleet(ctx, func(options *qhsite.Options) { options.Deployment.Node.Spread.RelaySlots = 1 })
		zone := f.inZones("kigali-a")
		relay := waitRelay(ctx, zone)
		others := f.except(relay)
		Expect(relay.Pause()).To(Succeed())
		DeferCleanup(relay.Resume)
		var zonePeers []*qhsite.Node
		for _, node := range zone {
			if node != relay {
				zonePeers = append(zonePeers, node)
			}
		}
		Expect(waitRelay(ctx, zonePeers)).NotTo(BeNil())
		f.applyIntents(ctx, "3-shift.jsonc", others)
		start := time.Now()
		Expect(relay.Resume()).To(Succeed())
		f.waitVersion(ctx, start, []*qhsite.Node{relay})
		Eventually(func() int {
			holders := 0
			for _, node := range zone {
				if holdsRelaySlot(ctx, node) {
					holders++
				}
			}
			return holders
		}, eventTimeout).Should(Equal(1), "number of nodes that hold the relay slot after the old holder resumed")
		f.applyIntents(ctx, "4-retire.jsonc", f.Nodes)
		for _, node := range f.Nodes {
			Expect(node.Version(ctx)).To(Equal(f.version))
		}
	}, SpecTimeout(specTimeout))
})

var _ = Describe("A network partition", func() {
	const isolated qhid.Zone = "kigali-c"
	partitionable := func(options *qhsite.Options) { options.Partitionable = true }

	It("leaves each side serving its own targets, and the isolated zone applies the newest version after the partition", func(ctx SpecContext) {
		f := newServingFleet(ctx, partitionable)
		otherZones := []qhid.Zone{"kigali-a", "kigali-b", qhsite.PlatformZone}
		for _, zone := range otherZones {
			f.Partition(isolated, zone)
		}
		f.applyIntents(ctx, "3-shift.jsonc", f.inZones("kigali-a", "kigali-b"))
		for _, node := range f.inZones(isolated) {
			Expect(node.Version(ctx)).To(Equal(f.version-1), "the partition must block new versions")
		}
		// /certificates is served by a target in every availability zone.
		f.expectResponses(ctx, "POST", "/certificates")
		start := time.Now()
		for _, zone := range otherZones {
			f.Heal(isolated, zone)
		}
		f.waitVersion(ctx, start, f.inZones(isolated))
		f.applyIntents(ctx, "4-retire.jsonc", f.Nodes)
		f.expectResponses(ctx, "GET", "/slots/today")
	}, SpecTimeout(specTimeout))

	It("between a zone and the platform only lets versions arrive through another availability zone", func(ctx SpecContext) {
		f := newServingFleet(ctx, partitionable)
		f.Partition(isolated, qhsite.PlatformZone)
		f.applyIntents(ctx, "3-shift.jsonc", f.Nodes)
		f.Heal(isolated, qhsite.PlatformZone)
		f.applyIntents(ctx, "4-retire.jsonc", f.Nodes)
	}, SpecTimeout(specTimeout))
})

var _ = Describe("Simultaneous failures", func() {
	It("leave every node on the newest version once they are over", func(ctx SpecContext) {
		f := newServingFleet(ctx, func(options *qhsite.Options) { options.Partitionable = true })
		f.Partition("kigali-c", "kigali-a")
		f.Partition("kigali-c", "kigali-b")
		f.Partition("kigali-c", qhsite.PlatformZone)
		f.applyIntents(ctx, "3-shift.jsonc", f.inZones("kigali-a", "kigali-b"))
		Expect(f.SetPlatformFaults(ctx, qhplatform.Faults{Down: true})).To(Succeed())
		crashed := f.inZones("kigali-b")
		kill(crashed...)
		start := time.Now()
		restart(crashed...)
		// With the platform down and kigali-c isolated, the other nodes are
		// the only source of the newest version.
		f.waitVersion(ctx, start, crashed)
		f.Heal("kigali-c", "kigali-a")
		f.waitVersion(ctx, start, f.inZones("kigali-c"))
		f.Heal("kigali-c", "kigali-b")
		f.Heal("kigali-c", qhsite.PlatformZone)
		Expect(f.SetPlatformFaults(ctx, qhplatform.Faults{})).To(Succeed())
		f.applyIntents(ctx, "4-retire.jsonc", f.Nodes)
		Expect(f.WaitMembers(ctx)).To(Succeed())
		f.expectResponses(ctx, "GET", "/slots/today")
	}, SpecTimeout(specTimeout))
})

var _ = Describe("Blackholed connections between nodes", func() {
	It("are replaced by new connections, for calls and for configuration versions", func(ctx SpecContext) {
		f := newServingFleet(ctx, func(options *qhsite.Options) { options.Partitionable = true })
		f.applyIntents(ctx, "3-shift.jsonc", f.Nodes)
		f.expectResponses(ctx, "GET", "/slots/today")
		for _, pair := range [][2]qhid.Zone{{"kigali-a", "kigali-b"}, {"kigali-a", "kigali-c"}, {"kigali-b", "kigali-c"}, {"kigali-a", "kigali-a"}} {
			f.Blackhole(pair[0], pair[1])
		}
		f.applyIntents(ctx, "4-retire.jsonc", f.Nodes)
		f.expectResponses(ctx, "GET", "/slots/today")
		f.expectResponses(ctx, "POST", "/certificates")
	}, SpecTimeout(specTimeout))
})
