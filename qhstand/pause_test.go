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

var _ = Describe("Commit", func() {
	It("takes effect exactly once when the platform process is paused at any of its store calls", func() {
		session, baseURL := startProgram("platform", "--listen", "127.0.0.1:0")
		store, cleanup := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: baseURL, Timeout: 200 * time.Millisecond, MaxAttempts: 1, RateLimit: 1e6})
		DeferCleanup(cleanup)
		chain := qhhead.New(qhhead.Options{Store: store})
		ctx := context.Background()
		const calls = 6
		for pauseAt := range calls {
			head, err := chain.ReadHead(ctx)
			Expect(err).NotTo(HaveOccurred())
			change := qhhead.Change{
				Base: head,
				Plan: qhid.Plan(fmt.Sprintf("plan-%d", pauseAt)),
				Config: qhconfig.Config{Services: []qhconfig.Service{
					{Name: "booking", Slots: pauseAt + 1},
				}},
			}
			pausingChain := qhhead.New(qhhead.Options{Store: pauseAtCall(store, pauseAt, func() { session.Signal(syscall.SIGSTOP) })})
			shortCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			_, err = pausingChain.Commit(shortCtx, change)
			cancel()
			session.Signal(syscall.SIGCONT)
			Expect(err).To(Or(Not(HaveOccurred()), WithTransform(qherr.KindOf, Or(Equal(qherr.Unavailable), Equal(qherr.Unknown)))))

			Eventually(func() error {
				_, err = chain.Commit(ctx, change)
				return err
			}).WithTimeout(eventTimeout).Should(Succeed())
			after, err := chain.ReadHead(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(after.Version).To(Equal(head.Version + 1))
			Expect(after.Plan).To(Equal(change.Plan))
		}
	})
})

// pauseAtCall wraps the store so that pause runs right before the call with
// the given number, counted from 0 over Get, Create and Update.
func pauseAtCall(store qhplatform.Store, call int, pause func()) qhplatform.Store {
	count := 0
	beforeCall := func() {
		if count == call {
			pause()
		}
		count++
	}
	inner := store
	store.Get = func(ctx context.Context, key qhplatform.Key) (qhplatform.Object, error) {
		beforeCall()
		return inner.Get(ctx, key)
	}
	store.Create = func(ctx context.Context, key qhplatform.Key, value []byte) (qhplatform.Revision, error) {
		beforeCall()
		return inner.Create(ctx, key, value)
	}
	store.Update = func(ctx context.Context, key qhplatform.Key, value []byte, revision qhplatform.Revision) (qhplatform.Revision, error) {
		beforeCall()
		return inner.Update(ctx, key, value, revision)
	}
	return store
}
