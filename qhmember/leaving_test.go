package qhmember_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

var _ = Describe("A target that said in a response that it is leaving", func() {
	It("stays leaving whatever its nodes announce, until it has another incarnation", func() {
		table := qhmember.NewTable(qhmember.Options{Self: newEntry("a1", 1, 1, qhmember.Up)})
		announce := func(incarnation qhid.Incarnation, sequence qhid.Sequence, startedAt int64) {
			entry := newEntry("b1", incarnation, sequence, qhmember.Up)
			entry.Targets[0].StartedAt = startedAt
			Expect(table.Merge([]qhmember.Entry{entry})).To(HaveLen(1))
		}
		state := func() qhmember.State {
			for _, endpoint := range table.View().Services["booking"] {
				if endpoint.Node == "b1" {
					return endpoint.State
				}
			}
			return ""
		}
		table.MarkTargetLeaving("b1-booking") // not known yet
		announce(1, 1, 7)
		Expect(state()).To(Equal(qhmember.Up))
		table.MarkTargetLeaving("b1-booking")
		Expect(state()).To(Equal(qhmember.Leaving))
		announce(1, 2, 7)
		announce(2, 1, 7) // its node has restarted
		Expect(state()).To(Equal(qhmember.Leaving))
		announce(2, 2, 8)
		Expect(state()).To(Equal(qhmember.Up))
	})

	It("has no effect if its incarnation is unknown", func() {
		table := qhmember.NewTable(qhmember.Options{Self: newEntry("a1", 1, 1, qhmember.Up)})
		table.MarkTargetLeaving("a1-booking")
		Expect(table.View().Services["booking"][0].State).To(Equal(qhmember.Up))
	})
})
