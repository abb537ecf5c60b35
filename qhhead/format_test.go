package qhhead_test

import (
	"context"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhgolden"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// The objects on the platform outlive every process and release, so a golden
// file fixes their format.
var _ = Describe("Format", func() {
	It("stores versions in the format of the golden file", func() {
		ctx := context.Background()
		platform := qhplatform.NewFake(qhplatform.FakeOptions{})
		chain := qhhead.New(qhhead.Options{Store: platform.Store()})
		head := qhhead.Head{}
		for i := range 2 {
			var err error
			head, err = chain.Commit(ctx, change(head, qhid.Plan(fmt.Sprintf("p%d", i)), withSlots(configOfSize(2), 0, i+1)))
			Expect(err).NotTo(HaveOccurred())
		}
		objects, err := platform.Store().List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		var seen strings.Builder
		for _, object := range objects {
			fmt.Fprintf(&seen, "%s\n%s\n", object.Key, object.Value)
		}
		Expect(seen.String()).To(qhgolden.Match("testdata/objects.golden"))
	})
})
