package qhspread

import (
	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsample"
)

var _ = Describe("A node that pulls", func() {
	const versions = 4

	// sized returns configurations that differ in one service.
	sized := func(version qhid.Version) qhconfig.Config {
		config := qhsample.Sized(3)
		config.Services[1].Queue = 100 + int(version)
		return config
	}
	// ahead has taken each version by its diff, the first one too.
	ahead := newContent(qhhold.New(qhhold.Options{}), zap.NewNop())
	var before qhconfig.Config
	for version := qhid.Version(1); version <= versions; version++ {
		config := sized(version)
		diff := qhconfig.Compare(before, config)
		diff.Base, diff.Next = version-1, version
		if _, err := ahead.takeDiff(diff); err != nil {
			panic(err)
		}
		before = config
	}

	DescribeTable("takes the newest version at once and none before it",
		func(held qhid.Version) {
			set := metrics.NewSet()
			behind := newContent(qhhold.New(qhhold.Options{Metrics: set}), zap.NewNop())
			if held > 0 {
				config := sized(held)
				_, err := behind.takeWhole(held, config.Digest(), config)
				Expect(err).NotTo(HaveOccurred())
			}
			applied := set.GetOrCreateCounter(`qh_config_offers_total{result="applied"}`)
			start := applied.Get()
			sent, err := ahead.answer(held)
			Expect(err).NotTo(HaveOccurred())
			newer, err := behind.take(sent)
			Expect(err).NotTo(HaveOccurred())
			Expect(newer).To(BeTrue())
			Expect(behind.holder.Version()).To(BeEquivalentTo(versions))
			Expect(applied.Get() - start).To(BeEquivalentTo(1))
		},
		Entry("as one that holds nothing", qhid.Version(0)),
		Entry("as one that is behind", qhid.Version(2)),
	)
})
