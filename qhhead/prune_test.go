package qhhead_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// numberedConfig returns one of a few configurations. Committing one again
// reuses its parts.
func numberedConfig(number int) qhconfig.Config {
	config := configOfSize(12)
	for i := range config.Services {
		config.Services[i].Slots = 10 + number
	}
	return config
}

var _ = Describe("Prune", func() {
	It("keeps the newest versions complete and deletes unused objects", func() {
		ctx := context.Background()
		platform := qhplatform.NewFake(qhplatform.FakeOptions{})
		chain := qhhead.NewWithSmallParts(qhhead.Options{Store: platform.Store()})
		var heads []qhhead.Head
		head := qhhead.Head{}
		for i := range 6 {
			var err error
			head, err = chain.Commit(ctx, change(head, qhid.Plan(fmt.Sprintf("p%d", i)), numberedConfig(i)))
			Expect(err).NotTo(HaveOccurred())
			heads = append(heads, head)
		}
		pruned, err := chain.Prune(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(pruned.Records).To(Equal(4))
		Expect(pruned.NotDeleted).To(BeZero())
		uncachedChain := qhhead.NewWithSmallParts(qhhead.Options{Store: platform.Store()})
		for i, head := range heads {
			config, _, err := uncachedChain.Load(ctx, head)
			if i < 4 {
				Expect(err).To(haveKind(qherr.NotFound))
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(config).To(Equal(numberedConfig(i)))
		}
		history, err := uncachedChain.History(ctx, head, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(2))
		_, err = uncachedChain.Commit(ctx, change(heads[0], "p1", numberedConfig(1)))
		Expect(err).To(haveKind(qherr.Conflict))
		repeated, err := chain.Prune(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(repeated).To(Equal(qhhead.PruneResult{}))
	})

	It("deletes nothing if the head cannot be written", func() {
		ctx := context.Background()
		platform := qhplatform.NewFake(qhplatform.FakeOptions{})
		chain := qhhead.NewWithSmallParts(qhhead.Options{Store: platform.Store()})
		head, err := chain.Commit(ctx, change(qhhead.Head{}, "p0", numberedConfig(0)))
		Expect(err).NotTo(HaveOccurred())
		_, err = chain.Commit(ctx, change(head, "p1", numberedConfig(1)))
		Expect(err).NotTo(HaveOccurred())
		before := platform.Counts().Objects
		platform.SetFaults(qhplatform.Faults{Prefix: "head", StaleBy: 1})
		_, err = chain.Prune(ctx, 1)
		Expect(err).To(haveKind(qherr.Unavailable))
		Expect(platform.Counts().Objects).To(Equal(before))
	})
})

// TestCommitsDuringPrunes runs writers that reuse each other's parts and may
// fail at any point, concurrently with prunes that keep one version only. Every
// committed version must be complete as long as it is the newest.
func TestCommitsDuringPrunes(t *testing.T) {
	const pruneSeeds = 16
	for seed := range uint64(pruneSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { commitDuringPrunes(t, seed) })
		})
	}
}

func commitDuringPrunes(t *testing.T, seed uint64) {
	const committerCount, prunerCount = 3, 2
	platform := qhplatform.NewFake(qhplatform.FakeOptions{})
	first := qhhead.NewWithSmallParts(qhhead.Options{Store: platform.Store()})
	if _, err := first.Commit(t.Context(), change(qhhead.Head{}, "first", numberedConfig(0))); err != nil {
		t.Fatal(err)
	}
	pruners, stopPruners := qhgroup.New(t.Context())
	for number := range prunerCount {
		store := withFaults(platform.Store(), newLightFaults(seed*(committerCount+prunerCount)+uint64(number)))
		pruners.Go(func(ctx context.Context) { pruneRepeatedly(ctx, store) })
	}
	group, wait := qhgroup.New(t.Context())
	var done sync.WaitGroup
	for number := range committerCount {
		store := withFaults(platform.Store(), newLightFaults(seed*(committerCount+prunerCount)+prunerCount+uint64(number)))
		done.Add(1)
		group.Go(func(ctx context.Context) {
			defer done.Done()
			commitVariants(ctx, t, store, platform, number)
		})
	}
	done.Wait()
	wait()
	stopPruners()
	time.Sleep(time.Minute) // lets late writes take effect
	expectNewestLoads(t, platform)
}

// pruneRepeatedly keeps pruning to a single version.
func pruneRepeatedly(ctx context.Context, store qhplatform.Store) {
	for ctx.Err() == nil {
		_, _ = qhhead.NewWithSmallParts(qhhead.Options{Store: store}).Prune(ctx, 1)
		time.Sleep(maxDelay)
	}
}

// commitVariants commits variants and checks after each commit that the newest
// version loads.
func commitVariants(ctx context.Context, t *testing.T, store qhplatform.Store, platform *qhplatform.Fake, number int) {
	const commits = 12
	for round := range commits {
		chain := qhhead.NewWithSmallParts(qhhead.Options{Store: store})
		base, err := chain.ReadHead(ctx)
		if err != nil {
			continue
		}
		plan := qhid.Plan(fmt.Sprintf("p%d.%d", number, round))
		if _, err = chain.Commit(ctx, change(base, plan, numberedConfig((number+round)%3))); err == nil {
			expectNewestLoads(t, platform)
		}
	}
}

// expectNewestLoads fails the test unless the newest version can be loaded.
func expectNewestLoads(t *testing.T, platform *qhplatform.Fake) {
	t.Helper()
	for {
		chain := qhhead.NewWithSmallParts(qhhead.Options{Store: platform.Store()})
		head, err := chain.ReadHead(t.Context())
		if err != nil {
			t.Error(err)
			return
		}
		_, _, err = chain.Load(t.Context(), head)
		if err == nil {
			return
		}
		if now, _ := chain.ReadHead(t.Context()); now == head {
			t.Errorf("version %d cannot be loaded: %v", head.Version, err)
			return
		}
	}
}
