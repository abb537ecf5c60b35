package qhspread_test

import (
	"context"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

var _ = Describe("A relay", func() {
	It("retries the load of a version after its record was unavailable", func() {
		var recordsUnavailable atomic.Bool
		var failed atomic.Int64
		f := newFleet()
		f.store = func(qhid.Node) qhplatform.Store {
			store := f.platform.Store()
			get := store.Get
			store.Get = func(ctx context.Context, key qhplatform.Key) (qhplatform.Object, error) {
				if recordsUnavailable.Load() && strings.HasPrefix(string(key), "record/") {
					failed.Add(1)
					return qhplatform.Object{}, qherr.New(qherr.Unavailable, nil, "", "records are unavailable")
				}
				return get(ctx, key)
			}
			return store
		}
		nodes := f.start("kigali-a", 3)
		expectVersion(nodes, f.commit())
		recordsUnavailable.Store(true)
		version := f.commit()
		Eventually(failed.Load, waitTimeout).Should(BeNumerically(">", 0))
		recordsUnavailable.Store(false)
		expectVersion(nodes, version)
	})
})
