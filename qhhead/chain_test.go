package qhhead_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

func haveKind(kind qherr.Kind) types.GomegaMatcher {
	return WithTransform(qherr.KindOf, Equal(kind))
}

var _ = Describe("Chain", func() {
	var (
		platform *qhplatform.Fake
		chain    *qhhead.Chain
		ctx      context.Context
	)
	BeforeEach(func() {
		platform = qhplatform.NewFake(qhplatform.FakeOptions{WatchTimeout: 10 * time.Millisecond})
		chain = qhhead.New(qhhead.Options{Store: platform.Store()})
		ctx = context.Background()
	})
	uncachedChain := func() *qhhead.Chain { return qhhead.New(qhhead.Options{Store: platform.Store()}) }
	commit := func(base qhhead.Head, plan qhid.Plan, slots int) qhhead.Head {
		head, err := chain.Commit(ctx, change(base, plan, withSlots(configOfSize(3), 0, slots)))
		Expect(err).NotTo(HaveOccurred())
		return head
	}

	It("has no version before the first commit", func() {
		head, err := chain.ReadHead(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head).To(Equal(qhhead.Head{}))
		config, record, err := chain.Load(ctx, head)
		Expect(err).NotTo(HaveOccurred())
		Expect(config.Services).To(BeEmpty())
		Expect(record.Version).To(BeZero())
	})

	It("loads the full configuration of every version, whatever its distance to its parts", func() {
		var heads []qhhead.Head
		head := qhhead.Head{}
		for i := range 40 {
			head = commit(head, qhid.Plan(fmt.Sprintf("p%d", i)), i+1)
			heads = append(heads, head)
		}
		cachingChain := uncachedChain()
		for i, head := range heads {
			for _, reader := range []*qhhead.Chain{uncachedChain(), cachingChain} {
				config, record, err := reader.Load(ctx, head)
				Expect(err).NotTo(HaveOccurred())
				Expect(config).To(Equal(withSlots(configOfSize(3), 0, i+1)))
				Expect(record.Version).To(Equal(qhid.Version(i + 1)))
			}
		}
		history, err := uncachedChain().History(ctx, head, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(10))
		Expect(history[9].Plan).To(Equal(qhid.Plan("p30")))
	})

	It("refuses an invalid configuration before it writes anything", func() {
		invalid := configOfSize(1)
		invalid.Routes[0].Shares[0].Service = "absent"
		_, err := chain.Commit(ctx, change(qhhead.Head{}, "bad", invalid))
		Expect(err).To(haveKind(qherr.Refused))
		Expect(platform.Counts().Total).To(BeZero())
	})

	It("commits a plan once, even from another process and after newer versions", func() {
		first := commit(qhhead.Head{}, "one", 1)
		repeated, err := uncachedChain().Commit(ctx, change(qhhead.Head{}, "one", withSlots(configOfSize(3), 0, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(repeated).To(Equal(first))
		second := commit(first, "two", 2)
		repeated, err = uncachedChain().Commit(ctx, change(qhhead.Head{}, "one", withSlots(configOfSize(3), 0, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(repeated).To(Equal(qhhead.Head{Version: 1, RecordDigest: first.RecordDigest, Plan: "one"}))
		Expect(chain.ReadHead(ctx)).To(Equal(second))
	})

	It("refuses a plan whose base is not the newest version, and one with the ID of another plan", func() {
		first := commit(qhhead.Head{}, "one", 1)
		commit(first, "two", 2)
		_, err := chain.Commit(ctx, change(first, "late", withSlots(configOfSize(3), 0, 3)))
		Expect(err).To(haveKind(qherr.Conflict))
		_, err = chain.Commit(ctx, change(first, "two", withSlots(configOfSize(3), 0, 3)))
		Expect(err).To(haveKind(qherr.Refused))
	})

	DescribeTable("resolves a write whose response was lost", func(prefix qhplatform.Key) {
		platform.SetFaults(qhplatform.Faults{Prefix: prefix, LostResponses: 3})
		head := commit(qhhead.Head{}, "one", 1)
		platform.SetFaults(qhplatform.Faults{})
		Expect(head.Version).To(Equal(qhid.Version(1)))
		Expect(chain.ReadHead(ctx)).To(Equal(head))
		_, _, err := uncachedChain().Load(ctx, head)
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("of the head", qhplatform.Key("head")),
		Entry("of a record", qhplatform.Key("record/")),
		Entry("of a part", qhplatform.Key("part/")),
	)

	It("reports that nothing was committed while the platform is down", func() {
		platform.SetFaults(qhplatform.Faults{Down: true})
		_, err := chain.Commit(ctx, change(qhhead.Head{}, "one", configOfSize(1)))
		Expect(err).To(haveKind(qherr.Unavailable))
		platform.SetFaults(qhplatform.Faults{})
		Expect(chain.ReadHead(ctx)).To(Equal(qhhead.Head{}))
	})

	It("reports an unknown outcome if the platform goes down after the write", func() {
		store := platform.Store()
		create := store.Create
		store.Create = func(ctx context.Context, key qhplatform.Key, value []byte) (qhplatform.Revision, error) {
			if key == "head" {
				_, _ = create(ctx, key, value)
				platform.SetFaults(qhplatform.Faults{Down: true})
				return 0, qherr.New(qherr.Unknown, nil, "", "lost")
			}
			return create(ctx, key, value)
		}
		_, err := qhhead.New(qhhead.Options{Store: store}).Commit(ctx, change(qhhead.Head{}, "one", configOfSize(1)))
		Expect(err).To(haveKind(qherr.Unknown))
		platform.SetFaults(qhplatform.Faults{})
		repeated, err := chain.Commit(ctx, change(qhhead.Head{}, "one", configOfSize(1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(repeated.Version).To(Equal(qhid.Version(1)))
	})

	It("finds a newer version by a read if watches deliver nothing, and never returns an older one", func() {
		first := commit(qhhead.Head{}, "one", 1)
		second := commit(first, "two", 2)
		platform.SetFaults(qhplatform.Faults{StaleBy: 1})
		shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := chain.WatchHead(shortCtx, second)
		Expect(err).To(haveKind(qherr.Unavailable))
		platform.SetFaults(qhplatform.Faults{})

		store := platform.Store()
		store.WatchObject = func(context.Context, qhplatform.Key, qhplatform.Revision) (qhplatform.Object, error) {
			return qhplatform.Object{}, qherr.New(qherr.Unavailable, nil, "", "silent")
		}
		head, err := qhhead.New(qhhead.Options{Store: store}).WatchHead(ctx, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(head).To(Equal(second))
	})

	DescribeTable("detects objects that were changed on the platform", func(key func(qhhead.Head, qhhead.Record) qhplatform.Key) {
		head := commit(qhhead.Head{}, "one", 1)
		_, record, err := chain.Load(ctx, head)
		Expect(err).NotTo(HaveOccurred())
		store := platform.Store()
		object, err := store.Get(ctx, key(head, record))
		Expect(err).NotTo(HaveOccurred())
		object.Value[len(object.Value)/2]++
		_, err = store.Update(ctx, object.Key, object.Value, object.Revision)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = uncachedChain().Load(ctx, head)
		Expect(err).To(haveKind(qherr.Internal))
	},
		Entry("a record", func(head qhhead.Head, _ qhhead.Record) qhplatform.Key {
			return qhplatform.Key("record/" + head.RecordDigest)
		}),
		Entry("a part", func(_ qhhead.Head, record qhhead.Record) qhplatform.Key {
			return qhplatform.Key("part/" + record.Parts[0])
		}),
	)

	It("refuses a head with a version other than its record's, and a record with a digest other than its configuration's", func() {
		first := commit(qhhead.Head{}, "one", 1)
		second := commit(first, "two", 2)
		wrong := second
		wrong.Version = 7
		_, _, err := uncachedChain().Load(ctx, wrong)
		Expect(err).To(haveKind(qherr.Internal))

		_, record, err := uncachedChain().Load(ctx, second)
		Expect(err).NotTo(HaveOccurred())
		record.ConfigDigest = first.RecordDigest
		data, err := json.Marshal(record)
		Expect(err).NotTo(HaveOccurred())
		second.RecordDigest = qhid.Digest(fmt.Sprintf("%x", sha256.Sum256(data)))
		_, err = platform.Store().Create(ctx, qhplatform.Key("record/"+second.RecordDigest), data)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = uncachedChain().Load(ctx, second)
		Expect(err).To(haveKind(qherr.Internal))
	})
})
