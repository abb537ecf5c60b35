package qhproxy

import (
	"math/bits"
	"time"

	"quetzalhaven.dev/qhmember"
)

// loosestObjective is the latency objective from which on all are of the loosest level.
// Each halving is a level.
const loosestObjective = time.Second

// rank returns the priority of the call where a service has too little room: first that of
// priority, then by latency objective, the tightest first. A call with a tight objective
// is of use only if it waits little, occupies a slot for a short time, and often has a
// caller that occupies a slot elsewhere while it waits.
func (c *call) rank() int {
	return c.priority()*qhmember.RanksPerPriority + qhmember.RanksPerPriority - 1 - tightness(time.Duration(c.route.LatencyObjective))
}

// tightness returns the level of a latency objective, from 0 for the loosest ones and for
// routes without one.
func tightness(objective time.Duration) int {
	if objective <= 0 {
		return 0
	}
	halvings := bits.Len64(uint64(loosestObjective/objective)) - 1
	return min(max(halvings, 0), qhmember.RanksPerPriority-1)
}
