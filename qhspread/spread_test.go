package qhspread_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstatus"
)

var _ = Describe("A fleet of three availability zones", func() {
	It("distributes versions, members and summaries to all nodes", func() {
		f := newFleet()
		first := f.commit()
		for _, zone := range []qhid.Zone{"kigali-a", "kigali-b", "kigali-c"} {
			f.start(zone, 5)
		}
		nodes := f.all()
		expectVersion(nodes, first)
		expectMembers(nodes)
		second := f.commit()
		expectVersion(nodes, second)
		root := f.root("kigali-b")
		Eventually(func() []qhstatus.VersionCount { return root.Summary().Versions }, waitTimeout).
			Should(Equal([]qhstatus.VersionCount{{Version: second, Nodes: 5}}))
		for _, n := range nodes {
			Eventually(n.Ready(), waitTimeout).Should(BeClosed())
		}
	})
})
