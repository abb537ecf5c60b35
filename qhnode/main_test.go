package main

import (
	"fmt"
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgolden"
)

var _ = Describe("The command line", func() {
	It("fails with status 2 and a remedy on invalid usage", func() {
		var lines strings.Builder
		for _, args := range []string{"bogus", "run", "check", "run here", "check --bogus", "check --settings testdata/absent.jsonc"} {
			command := newCommand()
			command.SetArgs(strings.Fields(args))
			command.SetOut(io.Discard)
			err := command.ExecuteContext(GinkgoT().Context())
			Expect(err).To(HaveOccurred(), args)
			fmt.Fprintf(&lines, "%s\n  %d: %v\n", args, qherr.StatusOf(err), err)
		}
		Expect(lines.String()).To(qhgolden.Match("testdata/use.golden"))
	})
})
