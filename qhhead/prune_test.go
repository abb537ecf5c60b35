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

// variant returns one of a few configurations, whose parts are used again
// whenever the variant comes back.
func variant(number int) qhconfig.Config {
	config := sized(12)
	for i := range config.Services {
		config.Services[i].Slots = 10 + number
	}
	return config
}

var _ = Describe("Prune", func() {
	It("keeps the newest versions whole and deletes what no version uses", func() {
		ctx := context.Background()
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		chain := qhhead.NewSmall(qhhead.Options{Store: memory.Store()})
		var heads []qhhead.Head
		head := qhhead.Head{}
		for i := range 6 {
			var err error
			head, err = chain.Commit(ctx, change(head, qhid.Plan(fmt.Sprintf("p%d", i)), variant(i)))
			Expect(err).NotTo(HaveOccurred())
			heads = append(heads, head)
		}
		pruned, err := chain.Prune(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(pruned.Records).To(Equal(4))
		Expect(pruned.NotDeleted).To(BeZero())
		fresh := qhhead.NewSmall(qhhead.Options{Store: memory.Store()})
		for i, head := range heads {
			config, _, err := fresh.Load(ctx, head)
			if i < 4 {
				Expect(err).To(beKind(qherr.NotFound))
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(config).To(Equal(variant(i)))
		}
		history, err := fresh.History(ctx, head, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(2))
		_, err = fresh.Commit(ctx, change(heads[0], "p1", variant(1)))
		Expect(err).To(beKind(qherr.Conflict))
		again, err := chain.Prune(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(qhhead.PruneResult{}))
	})

	It("deletes nothing where the head cannot be written", func() {
		ctx := context.Background()
		memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
		chain := qhhead.NewSmall(qhhead.Options{Store: memory.Store()})
		head, err := chain.Commit(ctx, change(qhhead.Head{}, "p0", variant(0)))
		Expect(err).NotTo(HaveOccurred())
		_, err = chain.Commit(ctx, change(head, "p1", variant(1)))
		Expect(err).NotTo(HaveOccurred())
		before := memory.Counts().Objects
		memory.SetFaults(qhplatform.Faults{Prefix: "head", StaleBy: 1})
		_, err = chain.Prune(ctx, 1)
		Expect(err).To(beKind(qherr.Unavailable))
		Expect(memory.Counts().Objects).To(Equal(before))
	})
})

// TestCommitsDuringPrunes runs committers that reuse the parts of each other
// and stop at any point, with sweeps that keep one version only. Every version
// that was committed last has to be whole.
func TestCommitsDuringPrunes(t *testing.T) {
	const pruneSeeds = 16
	for seed := range uint64(pruneSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { commitDuringPrunes(t, seed) })
		})
	}
}

func commitDuringPrunes(t *testing.T, seed uint64) {
	const committers, sweepers = 3, 2
	memory := qhplatform.NewMemory(qhplatform.MemoryOptions{})
	first := qhhead.NewSmall(qhhead.Options{Store: memory.Store()})
	if _, err := first.Commit(t.Context(), change(qhhead.Head{}, "first", variant(0))); err != nil {
		t.Fatal(err)
	}
	sweeping, stopSweeping := qhgroup.New(t.Context())
	for number := range sweepers {
		store := faulty(memory.Store(), newLightFaults(seed*(committers+sweepers)+uint64(number)))
		sweeping.Go(func(ctx context.Context) { sweep(ctx, store) })
	}
	group, wait := qhgroup.New(t.Context())
	var done sync.WaitGroup
	for number := range committers {
		store := faulty(memory.Store(), newLightFaults(seed*(committers+sweepers)+sweepers+uint64(number)))
		done.Add(1)
		group.Go(func(ctx context.Context) {
			defer done.Done()
			commitVariants(ctx, t, store, memory, number)
		})
	}
	done.Wait()
	wait()
	stopSweeping()
	time.Sleep(time.Minute) // late writes take effect
	expectWhole(t, memory)
}

// sweep keeps one version only, again and again.
func sweep(ctx context.Context, store qhplatform.Store) {
	for ctx.Err() == nil {
		_, _ = qhhead.NewSmall(qhhead.Options{Store: store}).Prune(ctx, 1)
		time.Sleep(maxPause)
	}
}

// commitVariants commits variants and expects each to be whole when the commit
// has returned.
func commitVariants(ctx context.Context, t *testing.T, store qhplatform.Store, memory *qhplatform.Memory, number int) {
	const commits = 12
	for round := range commits {
		chain := qhhead.NewSmall(qhhead.Options{Store: store})
		base, err := chain.Read(ctx)
		if err != nil {
			continue
		}
		plan := qhid.Plan(fmt.Sprintf("p%d.%d", number, round))
		if _, err = chain.Commit(ctx, change(base, plan, variant((number+round)%3))); err == nil {
			expectWhole(t, memory)
		}
	}
}

// expectWhole fails the test unless the newest version can be loaded.
func expectWhole(t *testing.T, memory *qhplatform.Memory) {
	t.Helper()
	for {
		chain := qhhead.NewSmall(qhhead.Options{Store: memory.Store()})
		head, err := chain.Read(t.Context())
		if err != nil {
			t.Error(err)
			return
		}
		_, _, err = chain.Load(t.Context(), head)
		if err == nil {
			return
		}
		if now, _ := chain.Read(t.Context()); now == head {
			t.Errorf("version %d is not whole: %v", head.Version, err)
			return
		}
	}
}
