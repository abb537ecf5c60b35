package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

var _ = Describe("A commit", func() {
	It("takes effect once though the platform freezes at each of its calls", func() {
		session, base := start("platform", "--listen", "127.0.0.1:0")
		store, cleanUp := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: base, Timeout: 200 * time.Millisecond, MaxAttempts: 1, RateLimit: 1e6})
		DeferCleanup(cleanUp)
		chain := qhhead.New(qhhead.Options{Store: store})
		ctx := context.Background()
		const calls = 6
		for freezeAt := range calls {
			head, err := chain.Read(ctx)
			Expect(err).NotTo(HaveOccurred())
			change := qhhead.Change{
				Base: head,
				Plan: qhid.Plan(fmt.Sprintf("plan-%d", freezeAt)),
				Config: qhconfig.Config{Services: []qhconfig.Service{
					{Name: "booking", Slots: freezeAt + 1},
				}},
			}
			frozen := qhhead.New(qhhead.Options{Store: freezing(store, freezeAt, func() { session.Signal(syscall.SIGSTOP) })})
			short, cancel := context.WithTimeout(ctx, 2*time.Second)
			_, err = frozen.Commit(short, change)
			cancel()
			session.Signal(syscall.SIGCONT)
			Expect(err).To(Or(Not(HaveOccurred()), WithTransform(qherr.KindOf, Or(Equal(qherr.Unavailable), Equal(qherr.Unknown)))))

			Eventually(func() error {
				_, err = chain.Commit(ctx, change)
				return err
			}).WithTimeout(limit).Should(Succeed())
			after, err := chain.Read(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(after.Version).To(Equal(head.Version + 1))
			Expect(after.Plan).To(Equal(change.Plan))
		}
	})
})

// freezing returns the store with a function that is called before the call of
// that number.
func freezing(store qhplatform.Store, number int, freeze func()) qhplatform.Store {
	count := 0
	before := func() {
		if count == number {
			freeze()
		}
		count++
	}
	inner := store
	store.Get = func(ctx context.Context, key qhplatform.Key) (qhplatform.Object, error) {
		before()
		return inner.Get(ctx, key)
	}
	store.Create = func(ctx context.Context, key qhplatform.Key, value []byte) (qhplatform.Revision, error) {
		before()
		return inner.Create(ctx, key, value)
	}
	store.Update = func(ctx context.Context, key qhplatform.Key, value []byte, at qhplatform.Revision) (qhplatform.Revision, error) {
		before()
		return inner.Update(ctx, key, value, at)
	}
	return store
}
