package qhconfig_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhsample"
)

func TestApplyOfCompareReproducesNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		base, next := qhsample.DrawConfig(t, "base"), qhsample.DrawConfig(t, "next")
		g.Expect(base.Check()).To(Succeed())
		diff := qhconfig.Compare(base, next)
		wire, err := json.Marshal(diff)
		g.Expect(err).NotTo(HaveOccurred())
		diff, err = qhconfig.Decode[qhconfig.Diff](wire)
		g.Expect(err).NotTo(HaveOccurred())

		result, err := diff.Apply(base)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Digest()).To(Equal(next.Digest()))
		g.Expect(qhconfig.Compare(result, next).Empty()).To(BeTrue())
		g.Expect(diff.Empty()).To(Equal(base.Digest() == next.Digest()))
	})
}

func TestApplyToAnotherBaseIsRefusedOrCorrect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		base, next, other := qhsample.DrawConfig(t, "base"), qhsample.DrawConfig(t, "next"), qhsample.DrawConfig(t, "other")
		result, err := qhconfig.Compare(base, next).Apply(other)
		if err != nil {
			g.Expect(qherr.KindOf(err)).To(Equal(qherr.Conflict))
			return
		}
		g.Expect(result.Digest()).To(Equal(next.Digest()))
	})
}

func TestDigesterMatchesConfigDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var digester qhconfig.Digester
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			config := qhsample.DrawConfig(t, "config")
			if got := digester.Digest(config); got != config.Digest() {
				t.Fatalf("Digester.Digest() = %s, Config.Digest() = %s", got, config.Digest())
			}
		}
	})
}

var _ = Describe("Merge", func() {
	It("does not change the base", func() {
		base := qhsample.ConfigOfSize(3)
		before := base.Digest()
		next := qhsample.ConfigOfSize(3)
		next.Services[1].Slots = 1
		next.Routes = next.Routes[:2]
		diff := qhconfig.Compare(base, next)
		Expect(diff.Services).To(HaveLen(1))
		Expect(diff.RemovedRoutes).To(HaveLen(1))
		_, err := diff.Apply(base)
		Expect(err).NotTo(HaveOccurred())
		Expect(base.Digest()).To(Equal(before))
	})
})

var _ = Describe("A configuration that requires keys", func() {
	none := qhsample.ConfigOfSize(2)
	empty := none
	empty.Keyed = true
	some := empty
	some.Tenants = []qhconfig.Tenant{{Name: "one", Keys: []qhconfig.KeyDigest{qhconfig.DigestKey("key")}}}

	// Guards against an empty list of tenants that is taken for none.
	DescribeTable("keeps that in a diff, in its digest and in JSON", func(base, next qhconfig.Config) {
		wire, err := json.Marshal(qhconfig.Compare(base.Canonical(), next.Canonical()))
		Expect(err).NotTo(HaveOccurred())
		diff, err := qhconfig.Decode[qhconfig.Diff](wire)
		Expect(err).NotTo(HaveOccurred())
		Expect(diff.Empty()).To(Equal(base.RequiresKeys() == next.RequiresKeys() && len(base.Tenants) == len(next.Tenants)))
		result, err := diff.Apply(base.Canonical())
		Expect(err).NotTo(HaveOccurred())
		Expect(result.RequiresKeys()).To(Equal(next.RequiresKeys()))
		Expect(result.Tenants).To(HaveLen(len(next.Tenants)))
		text, err := json.Marshal(result)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := qhconfig.Decode[qhconfig.Config](text)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.RequiresKeys()).To(Equal(next.RequiresKeys()))
		Expect(decoded.Digest()).To(Equal(next.Digest()))
	},
		Entry("from none to an empty list", none, empty),
		Entry("from an empty list to none", empty, none),
		Entry("from an empty list to a tenant", empty, some),
		Entry("from a tenant to an empty list", some, empty),
		Entry("from a tenant to none", some, none),
		Entry("from none to a tenant", none, some),
		Entry("from an empty list to the same", empty, empty),
	)

	It("has another digest than one that does not", func() {
		Expect(empty.Digest()).NotTo(Equal(none.Digest()))
		Expect(empty.Digest()).NotTo(Equal(some.Digest()))
	})

	It("still requires them if no tenant is usable", func() {
		unnamed := empty
		unnamed.Tenants = []qhconfig.Tenant{{Name: "", Keys: some.Tenants[0].Keys}}
		repaired, problems := unnamed.Repair()
		Expect(problems).NotTo(BeEmpty())
		Expect(repaired.Tenants).To(Equal([]qhconfig.Tenant{{Name: "unnamed.1", Keys: some.Tenants[0].Keys, Unavailable: true}}))
		Expect(repaired.RequiresKeys()).To(BeTrue())
	})

	It("requires one for a route if either of two that match the same calls does", func() {
		for _, anonymous := range [][]bool{{true, false}, {false, true}} {
			config := empty
			config.Routes = nil
			for i, isAnonymous := range anonymous {
				route := none.Routes[0]
				route.Name, route.Anonymous = none.Routes[i].Name, isAnonymous
				config.Routes = append(config.Routes, route)
			}
			repaired, _ := config.Repair()
			Expect(repaired.Routes).To(HaveLen(1))
			Expect(repaired.Routes[0].Anonymous).To(BeFalse())
		}
	})
})
