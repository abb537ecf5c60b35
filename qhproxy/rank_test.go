package qhproxy

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhmember"
)

func TestRankGoesByPriorityThenByObjective(t *testing.T) {
	RegisterTestingT(t)
	last := -1
	for _, route := range []qhconfig.Route{
		{Priority: 0, LatencyObjective: qhconfig.Duration(100 * time.Millisecond)},
		{Priority: 0, LatencyObjective: qhconfig.Duration(250 * time.Millisecond)},
		{Priority: 0, LatencyObjective: qhconfig.Duration(500 * time.Millisecond)},
		{Priority: 0},
		{Priority: 1, LatencyObjective: qhconfig.Duration(time.Nanosecond)},
		{Priority: 1, LatencyObjective: qhconfig.Duration(time.Hour)},
		{Priority: tenantPriorityWeight - 1},
	} {
		rank := (&call{route: &route}).rank()
		Expect(rank).To(BeNumerically(">", last))
		Expect(rank).To(BeNumerically("<", qhmember.RoomLevels))
		last = rank
	}
}

func TestObjectivesAlikeHaveTheSameRank(t *testing.T) {
	RegisterTestingT(t)
	rankOf := func(objective time.Duration) int {
		return (&call{route: &qhconfig.Route{LatencyObjective: qhconfig.Duration(objective)}}).rank()
	}
	Expect(rankOf(300 * time.Millisecond)).To(Equal(rankOf(400 * time.Millisecond)))
	Expect(rankOf(800 * time.Millisecond)).To(Equal(rankOf(0)))
	Expect(rankOf(100 * time.Millisecond)).To(BeNumerically("<", rankOf(300*time.Millisecond)))
}
