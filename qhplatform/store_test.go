package qhplatform_test

import (
	"context"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhplatform"
)

func haveKind(kind qherr.Kind) types.GomegaMatcher {
	return WithTransform(qherr.KindOf, Equal(kind))
}

// connectFunc returns a store that uses the fake platform, and its cleanup function.
type connectFunc func(*qhplatform.Fake) (qhplatform.Store, func())

func inMemory(fake *qhplatform.Fake) (qhplatform.Store, func()) { return fake.Store(), func() {} }

func overHTTP(fake *qhplatform.Fake) (qhplatform.Store, func()) {
	server := httptest.NewServer(qhplatform.NewHandler(fake))
	store, closeStore := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: server.URL, RateLimit: 1e6, Timeout: 20 * time.Second})
	return store, func() {
		closeStore()
		server.CloseClientConnections()
		server.Close()
	}
}

func describeStore(name string, connect connectFunc) {
	Describe(name, func() {
		var (
			fake  *qhplatform.Fake
			store qhplatform.Store
			ctx   context.Context
		)
		BeforeEach(func() {
			var cleanup func()
			fake = qhplatform.NewFake(qhplatform.FakeOptions{WatchTimeout: 20 * time.Millisecond})
			store, cleanup = connect(fake)
			DeferCleanup(cleanup)
			ctx = context.Background()
		})

		It("writes only if the condition holds", func() {
			first, err := store.Create(ctx, "zone/a", []byte("1"))
			Expect(err).NotTo(HaveOccurred())
			_, err = store.Create(ctx, "zone/a", []byte("2"))
			Expect(err).To(haveKind(qherr.Conflict))
			second, err := store.Update(ctx, "zone/a", []byte("3"), first)
			Expect(err).NotTo(HaveOccurred())
			Expect(second).To(BeNumerically(">", first))
			_, err = store.Update(ctx, "zone/a", []byte("4"), first)
			Expect(err).To(haveKind(qherr.Conflict))
			Expect(store.Delete(ctx, "zone/a", first)).To(haveKind(qherr.Conflict))
			object, err := store.Get(ctx, "zone/a")
			Expect(err).NotTo(HaveOccurred())
			Expect(object).To(Equal(qhplatform.Object{Key: "zone/a", Value: []byte("3"), Revision: second}))
		})

		It("gives a greater revision to an object that was deleted and created again", func() {
			first, err := store.Create(ctx, "a", nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(store.Delete(ctx, "a", first)).To(Succeed())
			_, err = store.Get(ctx, "a")
			Expect(err).To(haveKind(qherr.NotFound))
			_, err = store.Update(ctx, "a", nil, first)
			Expect(err).To(haveKind(qherr.Conflict))
			second, err := store.Create(ctx, "a", nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(second).To(BeNumerically(">", first))
		})

		It("lists objects by prefix in the order of their keys", func() {
			for _, key := range []qhplatform.Key{"b/2", "a/1", "b/1"} {
				_, err := store.Create(ctx, key, []byte(key))
				Expect(err).NotTo(HaveOccurred())
			}
			objects, err := store.List(ctx, "b/")
			Expect(err).NotTo(HaveOccurred())
			Expect(objects).To(HaveLen(2))
			Expect(objects[0].Value).To(Equal([]byte("b/1")))
			Expect(objects[1].Key).To(Equal(qhplatform.Key("b/2")))
		})

		It("accepts values up to the size limit and refuses larger ones", func() {
			_, err := store.Create(ctx, "a", make([]byte, qhplatform.MaxValueSize))
			Expect(err).NotTo(HaveOccurred())
			_, err = store.Create(ctx, "b", make([]byte, qhplatform.MaxValueSize+1))
			Expect(err).To(haveKind(qherr.BadInput))
		})

		DescribeTable("refuses invalid keys", func(key qhplatform.Key) {
			_, err := store.Create(ctx, key, nil)
			Expect(err).To(haveKind(qherr.BadInput))
		},
			Entry("empty", qhplatform.Key("")),
			Entry("relative", qhplatform.Key("a/../b")),
			Entry("empty segment", qhplatform.Key("a//b")),
			Entry("invalid character", qhplatform.Key("a b?")),
		)

		It("answers a watch when the object changes, and with NotFound after the timeout", func() {
			_, err := store.WatchObject(ctx, "head", 0)
			Expect(err).To(haveKind(qherr.NotFound))
			first, err := store.Create(ctx, "head", []byte("1"))
			Expect(err).NotTo(HaveOccurred())
			object, err := store.WatchObject(ctx, "head", 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(object.Revision).To(Equal(first))
			_, err = store.WatchObject(ctx, "head", first)
			Expect(err).To(haveKind(qherr.NotFound))
			Expect(fake.Counts().Calls).To(HaveKeyWithValue(qhplatform.OpWatchObject, 3))
		})

		It("reports a write with a lost response as Unknown, and applies it once", func() {
			fake.SetFaults(qhplatform.Faults{LostResponses: 1})
			_, err := store.Create(ctx, "a", []byte("1"))
			Expect(err).To(haveKind(qherr.Unknown))
			object, err := store.Get(ctx, "a")
			Expect(err).NotTo(HaveOccurred())
			Expect(object.Value).To(Equal([]byte("1")))
			Expect(fake.Counts().Calls).To(HaveKeyWithValue(qhplatform.OpCreate, 1))
		})

		It("refuses all calls without effect while down", func() {
			fake.SetFaults(qhplatform.Faults{Down: true})
			_, err := store.Create(ctx, "a", nil)
			Expect(err).To(haveKind(qherr.Unavailable))
			fake.SetFaults(qhplatform.Faults{})
			_, err = store.Get(ctx, "a")
			Expect(err).To(haveKind(qherr.NotFound))
		})

		It("refuses calls above the rate limit", func() {
			fake.SetFaults(qhplatform.Faults{RateLimit: 1e-6})
			_, err := store.Create(ctx, "a", nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = store.Create(ctx, "b", nil)
			Expect(err).To(haveKind(qherr.Unavailable))
			Expect(err).To(MatchError(ContainSubstring("call it less often")))
			Expect(fake.Counts().Refused).To(Equal(1))
		})

		It("returns an old state to reads while they are stale", func() {
			first, err := store.Create(ctx, "head", []byte("1"))
			Expect(err).NotTo(HaveOccurred())
			_, err = store.Update(ctx, "head", []byte("2"), first)
			Expect(err).NotTo(HaveOccurred())
			fake.SetFaults(qhplatform.Faults{StaleBy: 1})
			object, err := store.Get(ctx, "head")
			Expect(err).NotTo(HaveOccurred())
			Expect(object.Value).To(Equal([]byte("1")))
		})

		It("applies a delayed write after its caller gave up", func() {
			fake.SetFaults(qhplatform.Faults{Delay: qhconfig.Duration(2 * time.Second)})
			cancellableCtx, cancel := context.WithCancel(ctx)
			group, stop := qhgroup.New(ctx)
			defer stop()
			group.Go(func(context.Context) {
				defer cancel()
				for fake.Counts().Calls[qhplatform.OpCreate] == 0 {
					time.Sleep(time.Millisecond)
				}
			})
			_, err := store.Create(cancellableCtx, "a", []byte("1"))
			Expect(err).To(haveKind(qherr.Unknown))
			fake.SetFaults(qhplatform.Faults{})
			Eventually(func() error {
				_, err := store.Get(ctx, "a")
				return err
			}).WithTimeout(20 * time.Second).Should(Succeed())
		})

		DescribeTable("reports a watch without a response as Unavailable", func(faults qhplatform.Faults) {
			fake.SetFaults(faults)
			timeoutCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := store.WatchObject(timeoutCtx, "a", 0)
			Expect(err).To(haveKind(qherr.Unavailable))
		},
			Entry("a silent watch", qhplatform.Faults{SilentWatches: true}),
			Entry("a platform that hangs", qhplatform.Faults{Hang: true}),
		)
	})
}

var _ = describeStores()

func describeStores() bool {
	describeStore("Fake", inMemory)
	describeStore("HTTP", overHTTP)
	return true
}
