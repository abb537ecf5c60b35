package qhplatform_test

import (
	"context"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhplatform"
)

var _ = Describe("watching a prefix", func() {
	ctx := context.Background()
	newFake := func() (*qhplatform.Fake, qhplatform.Store) {
		fake := qhplatform.NewFake(qhplatform.FakeOptions{WatchTimeout: 200 * time.Millisecond})
		return fake, fake.Store()
	}
	overHTTP := func() (*qhplatform.Fake, qhplatform.Store) {
		fake, _ := newFake()
		server := httptest.NewServer(qhplatform.NewHandler(fake))
		store, cleanup := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: server.URL})
		DeferCleanup(func() {
			cleanup()
			server.CloseClientConnections()
			server.Close()
		})
		return fake, store
	}

	DescribeTable("returns the changes after a listing in their order", func(connect func() (*qhplatform.Fake, qhplatform.Store)) {
		fake, store := connect()
		first, err := store.Create(ctx, "k/a", []byte("1"))
		Expect(err).NotTo(HaveOccurred())
		listing, err := store.ListAt(ctx, "k/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Objects).To(HaveLen(1))
		Expect(listing.Revision).To(BeNumerically(">=", first))

		changes, err := store.WatchPrefix(ctx, "k/", listing.Revision, 20*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Objects).To(BeEmpty())

		_, err = store.Create(ctx, "other/b", []byte("2"))
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Create(ctx, "k/b", []byte("3"))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Delete(ctx, "k/a", first)).To(Succeed())
		changes, err = store.WatchPrefix(ctx, "k/", listing.Revision, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Objects).To(HaveLen(2))
		Expect(changes.Objects[0].Key).To(BeEquivalentTo("k/b"))
		Expect(changes.Objects[1].Key).To(BeEquivalentTo("k/a"))
		Expect(changes.Objects[1].Value).To(BeEmpty())

		fake.Compact()
		_, err = store.WatchPrefix(ctx, "k/", listing.Revision, time.Second)
		Expect(err).To(haveKind(qherr.Conflict))
	}, Entry("in memory", newFake), Entry("over HTTP", overHTTP))
})
