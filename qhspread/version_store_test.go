package qhspread

import (
	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsample"
)

var _ = Describe("A node without a version", func() {
	// addService adds a service to the base configuration and returns the next
	// configuration and the diff to it. a configuration and the diff that leads to it.
	addService := func(base qhconfig.Config, before qhid.Version, service qhid.Service) (qhconfig.Config, qhconfig.Diff) {
		next := base.Canonical()
		next.Services = append(next.Services, qhconfig.Service{Name: service})
		diff := qhconfig.Compare(base, next)
		diff.Base, diff.Next, diff.Digest = before, before+1, next.Digest()
		return next, diff
	}
	first, toFirst := addService(qhconfig.Config{}, 0, "arrangements")
	second, toSecond := addService(first, 1, "booking")
	newNode := func() (*versionStore, *qhhold.Holder) {
		holder := qhhold.New(qhhold.Options{})
		return newSyncedStore(holder, zap.NewNop()), holder
	}

	It("applies the newest full configuration and no earlier version", func() {
		peer, _ := newNode()
		Expect(peer.applyFull(1, toFirst.Digest, first)).To(BeTrue())
		Expect(peer.applyDiff(toSecond)).To(BeTrue())
		sent, err := peer.contentSince(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(sent.Diffs).To(BeEmpty())
		restarted, holder := newNode()
		changed := holder.Changed()
		Expect(restarted.apply(sent)).To(BeTrue())
		Expect(changed).To(BeClosed())
		Expect(holder.Version()).To(Equal(qhid.Version(2)))
		Expect(holder.Current().Digest).To(Equal(second.Digest()))
	})

	It("requires the full configuration when it receives a diff", func() {
		node, holder := newNode()
		_, err := node.applyDiff(toFirst)
		Expect(qherr.Is(err, qherr.Conflict)).To(BeTrue())
		Expect(holder.Version()).To(BeZero())
	})
})

var _ = Describe("A pulling node", func() {
	const versions = 4

	// configOf returns a configuration in which one setting depends on the
	// version.
	configOf := func(version qhid.Version) qhconfig.Config {
		config := qhsample.ConfigOfSize(3)
		config.Services[1].MaxQueue = 100 + int(version)
		return config
	}
	// ahead has applied each version after the first by its diff.
	ahead := newSyncedStore(qhhold.New(qhhold.Options{}), zap.NewNop())
	var before qhconfig.Config
	for version := qhid.Version(1); version <= versions; version++ {
		config := configOf(version)
		if version == 1 {
			if _, err := ahead.applyFull(version, config.Digest(), config); err != nil {
				panic(err)
			}
			before = config
			continue
		}
		diff := qhconfig.Compare(before, config)
		diff.Base, diff.Next = version-1, version
		if _, err := ahead.applyDiff(diff); err != nil {
			panic(err)
		}
		before = config
	}

	DescribeTable("applies the newest version only",
		func(behindVersion qhid.Version) {
			set := metrics.NewSet()
			behind := newSyncedStore(qhhold.New(qhhold.Options{Metrics: set}), zap.NewNop())
			if behindVersion > 0 {
				config := configOf(behindVersion)
				_, err := behind.applyFull(behindVersion, config.Digest(), config)
				Expect(err).NotTo(HaveOccurred())
			}
			applied := set.GetOrCreateCounter(`qh_config_offers_total{result="applied"}`)
			start := applied.Get()
			sent, err := ahead.contentSince(behindVersion)
			Expect(err).NotTo(HaveOccurred())
			newer, err := behind.apply(sent)
			Expect(err).NotTo(HaveOccurred())
			Expect(newer).To(BeTrue())
			Expect(behind.holder.Version()).To(BeEquivalentTo(versions))
			Expect(applied.Get() - start).To(BeEquivalentTo(1))
		},
		Entry("when it has no version", qhid.Version(0)),
		Entry("when it is two versions behind", qhid.Version(2)),
	)
})

// newSyncedStore returns the store of a node that has ended its initial synchronization.
func newSyncedStore(holder *qhhold.Holder, log *zap.Logger) *versionStore {
	v := newVersionStore(holder, log)
	v.release()
	return v
}
