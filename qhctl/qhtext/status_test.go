package qhtext_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhctl/qhrollout"
	"quetzalhaven.dev/qhctl/qhtext"
	"quetzalhaven.dev/qhgolden"
	"quetzalhaven.dev/qhlease"
	"quetzalhaven.dev/qhstatus"
	"quetzalhaven.dev/qhsuite"
)

func TestSpecs(t *testing.T) {
	qhsuite.Run(t, "qhtext")
}

var _ = Describe("Status", func() {
	It("shows the nodes in force, the refusals and the zones without reports", func() {
		refusal := qhstatus.Refusal{Node: "kigali-b-2", Version: 12, Reason: "route \"urns\": shares add up to 90"}
		reports := []qhrollout.Report{
			{},
			{Version: 12},
			{Version: 12, Nodes: 2, InForce: 2, Zones: []qhrollout.ZoneReport{
				{Zone: "kigali-a", Nodes: 2, InForce: 2, Versions: []qhstatus.VersionCount{{Version: 12, Nodes: 2}}},
			}},
			{Version: 12, Nodes: 6, InForce: 4, RefusingNodes: 1, Refusals: []qhstatus.Refusal{refusal}, Zones: []qhrollout.ZoneReport{
				{Zone: "kigali-a", Nodes: 3, InForce: 3, Versions: []qhstatus.VersionCount{{Version: 12, Nodes: 2}, {Version: 13, Nodes: 1}}},
				{Zone: "kigali-b", Nodes: 3, InForce: 1, Versions: []qhstatus.VersionCount{{Version: 0, Nodes: 1}, {Version: 12, Nodes: 1}}, Pending: true},
				{Zone: "kigali-c", Silent: []qhlease.Slot{0, 2}},
			}},
		}
		var text strings.Builder
		writer := qhtext.NewWriter(&text)
		for _, report := range reports {
			writer.Status(report)
			writer.Line("incomplete: %s\n", qhtext.IncompleteZones(report))
		}
		Expect(writer.Err()).NotTo(HaveOccurred())
		Expect(text.String()).To(qhgolden.Match("testdata/status.golden"))
	})
})
