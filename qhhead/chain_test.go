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

func beKind(kind qherr.Kind) types.GomegaMatcher {
	return WithTransform(qherr.KindOf, Equal(kind))
}

var _ = Describe("Chain", func() {
	var (
		memory *qhplatform.Memory
		chain  *qhhead.Chain
		ctx    context.Context
	)
	BeforeEach(func() {
		memory = qhplatform.NewMemory(qhplatform.MemoryOptions{WatchTimeout: 10 * time.Millisecond})
		chain = qhhead.New(qhhead.Options{Store: memory.Store()})
		ctx = context.Background()
	})
	fresh := func() *qhhead.Chain { return qhhead.New(qhhead.Options{Store: memory.Store()}) }
	commit := func(base qhhead.Head, plan qhid.Plan, slots int) qhhead.Head {
		head, err := chain.Commit(ctx, change(base, plan, withSlots(sized(3), 0, slots)))
		Expect(err).NotTo(HaveOccurred())
		return head
	}

	It("has no version at first", func() {
		head, err := chain.Read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head).To(Equal(qhhead.Head{}))
		config, record, err := chain.Load(ctx, head)
		Expect(err).NotTo(HaveOccurred())
		Expect(config.Services).To(BeEmpty())
		Expect(record.Version).To(BeZero())
	})

	It("loads every version whole, near or far from its parts", func() {
		var heads []qhhead.Head
		head := qhhead.Head{}
		for i := range 40 {
			head = commit(head, qhid.Plan(fmt.Sprintf("p%d", i)), i+1)
			heads = append(heads, head)
		}
		near := fresh()
		for i, head := range heads {
			for _, reader := range []*qhhead.Chain{fresh(), near} {
				config, record, err := reader.Load(ctx, head)
				Expect(err).NotTo(HaveOccurred())
				Expect(config).To(Equal(withSlots(sized(3), 0, i+1)))
				Expect(record.Version).To(Equal(qhid.Version(i + 1)))
			}
		}
		history, err := fresh().History(ctx, head, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(10))
		Expect(history[9].Plan).To(Equal(qhid.Plan("p30")))
	})

	It("refuses a bad configuration before it writes anything", func() {
		bad := sized(1)
		bad.Routes[0].Shares[0].Service = "absent"
		_, err := chain.Commit(ctx, change(qhhead.Head{}, "bad", bad))
		Expect(err).To(beKind(qherr.Refused))
		Expect(memory.Counts().Total).To(BeZero())
	})

	It("commits a plan once, also from another process and after newer versions", func() {
		first := commit(qhhead.Head{}, "one", 1)
		again, err := fresh().Commit(ctx, change(qhhead.Head{}, "one", withSlots(sized(3), 0, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(first))
		second := commit(first, "two", 2)
		again, err = fresh().Commit(ctx, change(qhhead.Head{}, "one", withSlots(sized(3), 0, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(qhhead.Head{Version: 1, RecordDigest: first.RecordDigest, Plan: "one"}))
		Expect(chain.Read(ctx)).To(Equal(second))
	})

	It("refuses a plan whose base has gone, and one with the id of another", func() {
		first := commit(qhhead.Head{}, "one", 1)
		commit(first, "two", 2)
		_, err := chain.Commit(ctx, change(first, "late", withSlots(sized(3), 0, 3)))
		Expect(err).To(beKind(qherr.Conflict))
		_, err = chain.Commit(ctx, change(first, "two", withSlots(sized(3), 0, 3)))
		Expect(err).To(beKind(qherr.Refused))
	})

	DescribeTable("settles a write whose answer was lost", func(prefix qhplatform.Key) {
		memory.SetFaults(qhplatform.Faults{Prefix: prefix, LostResponses: 3})
		head := commit(qhhead.Head{}, "one", 1)
		memory.SetFaults(qhplatform.Faults{})
		Expect(head.Version).To(Equal(qhid.Version(1)))
		Expect(chain.Read(ctx)).To(Equal(head))
		_, _, err := fresh().Load(ctx, head)
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("of the head", qhplatform.Key("head")),
		Entry("of a record", qhplatform.Key("record/")),
		Entry("of a part", qhplatform.Key("part/")),
	)

	It("says that nothing took effect while the platform is down", func() {
		memory.SetFaults(qhplatform.Faults{Down: true})
		_, err := chain.Commit(ctx, change(qhhead.Head{}, "one", sized(1)))
		Expect(err).To(beKind(qherr.Unavailable))
		memory.SetFaults(qhplatform.Faults{})
		Expect(chain.Read(ctx)).To(Equal(qhhead.Head{}))
	})

	It("says that the outcome is unknown where the platform goes down after the write", func() {
		store := memory.Store()
		create := store.Create
		store.Create = func(ctx context.Context, key qhplatform.Key, value []byte) (qhplatform.Revision, error) {
			if key == "head" {
				_, _ = create(ctx, key, value)
				memory.SetFaults(qhplatform.Faults{Down: true})
				return 0, qherr.New(qherr.Unknown, nil, "", "lost")
			}
			return create(ctx, key, value)
		}
		_, err := qhhead.New(qhhead.Options{Store: store}).Commit(ctx, change(qhhead.Head{}, "one", sized(1)))
		Expect(err).To(beKind(qherr.Unknown))
		memory.SetFaults(qhplatform.Faults{})
		again, err := chain.Commit(ctx, change(qhhead.Head{}, "one", sized(1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Version).To(Equal(qhid.Version(1)))
	})

	It("finds news by a read where watches went silent, and never older news", func() {
		first := commit(qhhead.Head{}, "one", 1)
		second := commit(first, "two", 2)
		memory.SetFaults(qhplatform.Faults{StaleBy: 1})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := chain.Watch(short, second)
		Expect(err).To(beKind(qherr.Unavailable))
		memory.SetFaults(qhplatform.Faults{})

		store := memory.Store()
		store.Watch = func(context.Context, qhplatform.Key, qhplatform.Revision) (qhplatform.Object, error) {
			return qhplatform.Object{}, qherr.New(qherr.Unavailable, nil, "", "silent")
		}
		head, err := qhhead.New(qhhead.Options{Store: store}).Watch(ctx, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(head).To(Equal(second))
	})

	DescribeTable("refuses what was changed on the platform", func(key func(qhhead.Head, qhhead.Record) qhplatform.Key) {
		head := commit(qhhead.Head{}, "one", 1)
		_, record, err := chain.Load(ctx, head)
		Expect(err).NotTo(HaveOccurred())
		store := memory.Store()
		object, err := store.Get(ctx, key(head, record))
		Expect(err).NotTo(HaveOccurred())
		object.Value[len(object.Value)/2]++
		_, err = store.Update(ctx, object.Key, object.Value, object.Revision)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = fresh().Load(ctx, head)
		Expect(err).To(beKind(qherr.Internal))
	},
		Entry("a record", func(head qhhead.Head, _ qhhead.Record) qhplatform.Key {
			return qhplatform.Key("record/" + head.RecordDigest)
		}),
		Entry("a part", func(_ qhhead.Head, record qhhead.Record) qhplatform.Key {
			return qhplatform.Key("part/" + record.Parts[0])
		}),
	)

	It("refuses a head whose version is not its record's, and a record whose digest is not its configuration's", func() {
		first := commit(qhhead.Head{}, "one", 1)
		second := commit(first, "two", 2)
		wrong := second
		wrong.Version = 7
		_, _, err := fresh().Load(ctx, wrong)
		Expect(err).To(beKind(qherr.Internal))

		_, record, err := fresh().Load(ctx, second)
		Expect(err).NotTo(HaveOccurred())
		record.ConfigDigest = first.RecordDigest
		data, err := json.Marshal(record)
		Expect(err).NotTo(HaveOccurred())
		second.RecordDigest = qhid.Digest(fmt.Sprintf("%x", sha256.Sum256(data)))
		_, err = memory.Store().Create(ctx, qhplatform.Key("record/"+second.RecordDigest), data)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = fresh().Load(ctx, second)
		Expect(err).To(beKind(qherr.Internal))
	})
})
