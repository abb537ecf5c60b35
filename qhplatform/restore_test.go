package qhplatform_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhplatform"
)

var _ = Describe("a fake platform that is restored", func() {
	It("takes back the writes since the backup, assigns their revisions again and counts the era", func() {
		ctx := context.Background()
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		store := fake.Store()
		first, err := store.Create(ctx, "k/a", []byte("1"))
		Expect(err).NotTo(HaveOccurred())
		backup := fake.Backup()
		lost, err := store.Update(ctx, "k/a", []byte("2"), first)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Create(ctx, "k/b", nil)
		Expect(err).NotTo(HaveOccurred())

		fake.Restore(backup)
		listing, err := store.ListAt(ctx, "k/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Objects).To(Equal([]qhplatform.Object{{Key: "k/a", Value: []byte("1"), Revision: first}}))
		Expect(listing.Era).To(BeEquivalentTo(2))
		_, err = store.WatchPrefix(ctx, "k/", lost, time.Second)
		Expect(err).To(haveKind(qherr.Conflict))
		again, err := store.Update(ctx, "k/a", []byte("3"), first)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(lost))

		fake.Restore(backup)
		Expect(fake.Era()).To(BeEquivalentTo(3))
	})
})
