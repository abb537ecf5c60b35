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
