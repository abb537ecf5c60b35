package qhhold_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsample"
)

// drawVersions draws the configurations of versions 1 to n, of which some are
// invalid. Version v is at index v-1.
func drawVersions(t *rapid.T, n int) []qhconfig.Config {
	configs := make([]qhconfig.Config, n)
	for i := range configs {
		configs[i] = qhsample.DrawConfig(t, "config")
		if rapid.IntRange(0, 4).Draw(t, "bad") == 0 {
			configs[i].Routes = append(configs[i].Routes, qhconfig.Route{Name: "zzz", Prefix: "/zzz",
				Shares: []qhconfig.Share{{Service: "absent", Percent: 100}}})
		}
	}
	return configs
}

// applyRandomVersion applies a random version, in full or as a diff, sometimes
// truncated or with a wrong base.
func applyRandomVersion(t *rapid.T, holder *qhhold.Holder, configs []qhconfig.Config) {
	version := rapid.IntRange(1, len(configs)).Draw(t, "version")
	config := configs[version-1]
	if rapid.Bool().Draw(t, "whole") {
		digest := config.Digest()
		if rapid.IntRange(0, 5).Draw(t, "cut") == 0 && len(config.Services) > 1 {
			config.Services = config.Services[1:]
		}
		_, _ = holder.Apply(qhid.Version(version), config, digest)
		return
	}
	base := rapid.IntRange(0, len(configs)).Draw(t, "base")
	var from qhconfig.Config
	if base > 0 {
		from = configs[base-1]
	}
	diff := qhconfig.Compare(from, config)
	diff.Base, diff.Next = qhid.Version(base), qhid.Version(version)
	_, _ = holder.ApplyDiff(diff)
}

func TestHolderAppliesOnlyNewerCompleteVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configs := drawVersions(t, rapid.IntRange(1, 6).Draw(t, "versions"))
		holder := qhhold.New(qhhold.Options{Node: "a"})
		var last qhid.Version
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			applyRandomVersion(t, holder, configs)
			snapshot := holder.Current()
			if snapshot == nil {
				continue
			}
			if snapshot.Version < last {
				t.Fatalf("version decreased from %d to %d", last, snapshot.Version)
			}
			last = snapshot.Version
			if snapshot.Config.Digest() != configs[last-1].Digest() || snapshot.Digest != configs[last-1].Digest() {
				t.Fatalf("the content is not that of version %d", last)
			}
			if err := snapshot.Config.Check(); err != nil {
				t.Fatalf("an invalid version is in force: %v", err)
			}
		}
	})
}

func TestConcurrentVersionsNeverMoveBack(t *testing.T) {
	const versions = 200
	configs := make([]qhconfig.Config, versions)
	digests := make([]qhid.Digest, versions)
	for i := range configs {
		configs[i] = qhsample.ConfigOfSize(2)
		configs[i].Services[0].Slots = i + 1
		digests[i] = configs[i].Digest()
	}
	holder := qhhold.New(qhhold.Options{})
	g := NewWithT(t)
	group, cleanup := qhgroup.New(context.Background())
	defer cleanup()
	results := make(chan error, 8)
	for sender := range 7 {
		group.Go(func(context.Context) { results <- applyAll(holder, configs, digests, sender) })
	}
	group.Go(func(ctx context.Context) { results <- watchVersions(ctx, holder, versions) })
	for range 8 {
		g.Eventually(results, "30s").Should(Receive(BeNil()))
	}
	g.Expect(holder.Version()).To(Equal(qhid.Version(versions)))
}

func applyAll(holder *qhhold.Holder, configs []qhconfig.Config, digests []qhid.Digest, stride int) error {
	for i := range configs {
		index := i ^ stride // swaps the order of neighbouring versions
		if index >= len(configs) {
			continue
		}
		if _, err := holder.Apply(qhid.Version(index+1), configs[index], digests[index]); err != nil {
			return err
		}
	}
	return nil
}

// watchVersions reads until the last version is in force. It fails if a version is
// older than the one before or has the content of another.
func watchVersions(ctx context.Context, holder *qhhold.Holder, versions int) error {
	var last qhid.Version
	for last < qhid.Version(versions) {
		changed := holder.Changed()
		snapshot := holder.Current()
		if snapshot == nil || snapshot.Version == last {
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
			continue
		}
		if snapshot.Version < last || snapshot.Services["service-00000"].Slots != int(snapshot.Version) {
			return qherr.New(qherr.Internal, nil, "", "version %d after %d", snapshot.Version, last)
		}
		last = snapshot.Version
	}
	return nil
}

var _ = Describe("Holder", func() {
	var (
		holder *qhhold.Holder
		set    *metrics.Set
	)

	BeforeEach(func() {
		set = metrics.NewSet()
		holder = qhhold.New(qhhold.Options{Node: "kigali-a-1", Metrics: set})
		valid := qhsample.ConfigOfSize(3)
		Expect(holder.Apply(4, valid, valid.Digest())).To(BeTrue())
	})

	It("has no snapshot before the first version", func() {
		Expect(qhhold.New(qhhold.Options{}).Current()).To(BeNil())
	})

	It("refuses an invalid version, counts it and reports the reason until a newer one is applied", func() {
		invalid := qhsample.ConfigOfSize(3)
		invalid.Services = invalid.Services[:2]
		for range 2 {
			applied, err := holder.Apply(5, invalid, invalid.Digest())
			Expect(applied).To(BeFalse())
			Expect(qherr.KindOf(err)).To(Equal(qherr.Refused))
		}
		Expect(holder.Version()).To(Equal(qhid.Version(4)))
		Expect(holder.Refusals()).To(HaveLen(1))
		Expect(holder.Refusals()[0].Reason).To(ContainSubstring(`service "service-00002" does not exist`))
		var text bytes.Buffer
		set.WritePrometheus(&text)
		Expect(text.String()).To(ContainSubstring(`qh_config_offers_total{result="refused"} 2`))
		Expect(text.String()).To(ContainSubstring("qh_config_version 4"))

		next := qhsample.ConfigOfSize(4)
		Expect(holder.Apply(6, next, next.Digest())).To(BeTrue())
		Expect(holder.Refusals()).To(BeEmpty())
	})

	It("applies the right content after a corrupted one", func() {
		next := qhsample.ConfigOfSize(4)
		_, err := holder.Apply(5, qhsample.ConfigOfSize(5), next.Digest())
		Expect(qherr.KindOf(err)).To(Equal(qherr.Refused))
		Expect(holder.Apply(5, next, next.Digest())).To(BeTrue())
	})

	It("refuses different content for the current version", func() {
		conflicting := qhsample.ConfigOfSize(4)
		_, err := holder.Apply(4, conflicting, conflicting.Digest())
		Expect(err).To(MatchError(ContainSubstring("version 4 is in force with digest")))
		Expect(holder.Current().Config.Services).To(HaveLen(3))
	})

	It("computes the digest of a version that comes without one, and never goes back", func() {
		holder := qhhold.New(qhhold.Options{Node: "a"})
		config := qhconfig.Config{Services: []qhconfig.Service{{Name: "booking", Slots: 3}}}
		Expect(holder.ApplyWithoutDigest(4, config)).To(BeTrue())
		Expect(holder.Current().Digest).To(Equal(config.Digest()))
		Expect(holder.ApplyWithoutDigest(3, qhconfig.Config{})).To(BeFalse())
		_, err := holder.ApplyWithoutDigest(4, qhconfig.Config{})
		Expect(qherr.Is(err, qherr.Refused)).To(BeTrue())
		Expect(holder.Version()).To(BeEquivalentTo(4))
	})

	It("returns Conflict if a diff has another base", func() {
		diff := qhconfig.Compare(qhsample.ConfigOfSize(3), qhsample.ConfigOfSize(4))
		diff.Base, diff.Next = 3, 5
		_, err := holder.ApplyDiff(diff)
		Expect(qherr.KindOf(err)).To(Equal(qherr.Conflict))
		diff.Base = 4
		Expect(holder.ApplyDiff(diff)).To(BeTrue())
		Expect(holder.Current().Index.Match("mesh.example", "GET", "/service-00003")).NotTo(BeNil())
	})
})
