package qhbalance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhbalance"
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// endpoints returns endpoints of a zone, of which the first downCount are on
// nodes that are down.
func endpoints(zone qhid.Zone, count, downCount int) []*qhmember.Endpoint {
	var list []*qhmember.Endpoint
	for i := range count {
		list = append(list, &qhmember.Endpoint{
			AnnouncedTarget: qhmember.AnnouncedTarget{ID: qhid.Target(fmt.Sprintf("%s-%d", zone, i)), Service: "booking", State: qhmember.Up, Slots: 9},
			Node:            qhid.Node(fmt.Sprintf("n-%s-%d", zone, i)), Zone: zone, NodeDown: i < downCount, Stats: &qhmember.EndpointStats{},
		})
	}
	return list
}

var _ = Describe("Choose", func() {
	now := time.Unix(1000, 0)
	choose := func(groups ...[]*qhmember.Endpoint) qhbalance.Choice {
		var all []*qhmember.Endpoint
		for _, group := range groups {
			all = append(all, group...)
		}
		random := rand.New(rand.NewPCG(7, 7))
		balancer := qhbalance.New(qhbalance.Options{Zone: "kigali-a", Random: random.IntN})
		view := &qhmember.View{Services: map[qhid.Service][]*qhmember.Endpoint{"booking": all}}
		choice, ok := balancer.Choose(view, &qhconfig.Service{Name: "booking"}, &qhbalance.TriedEndpoints{}, now)
		Expect(ok).To(BeTrue())
		return choice
	}

	It("prefers the own availability zone", func() {
		choice := choose(endpoints("kigali-a", 2, 0), endpoints("kigali-b", 4, 0))
		Expect(choice.Endpoint.Zone).To(BeEquivalentTo("kigali-a"))
		Expect(choice.Reason).To(Equal(qhdecision.OwnZone))
	})

	It("leaves the own availability zone when most of its nodes are down and other zones are up", func() {
		choice := choose(endpoints("kigali-a", 1, 1), endpoints("kigali-b", 4, 0))
		Expect(choice.Endpoint.Zone).To(BeEquivalentTo("kigali-b"))
		Expect(choice.Reason).To(Equal(qhdecision.OtherZone))
		choice = choose(endpoints("kigali-a", 5, 4), endpoints("kigali-b", 4, 0))
		Expect(choice.Endpoint.NodeDown).To(BeFalse())
	})

	It("chooses endpoints on down nodes when no other availability zone has the service", func() {
		choice := choose(endpoints("kigali-a", 2, 2))
		Expect(choice.Reason).To(Equal(qhdecision.PanicMode))
		leaving := endpoints("kigali-b", 1, 0)
		leaving[0].State = qhmember.Leaving
		choice = choose(endpoints("kigali-a", 2, 2), leaving)
		Expect(choice.Endpoint.Zone).To(BeEquivalentTo("kigali-a"))
	})

	It("enters panic mode when most nodes of every availability zone are down", func() {
		choice := choose(endpoints("kigali-a", 4, 4), endpoints("kigali-b", 4, 4))
		Expect(choice.Endpoint.Zone).To(BeEquivalentTo("kigali-a"))
		Expect(choice.Reason).To(Equal(qhdecision.PanicMode))
	})
})
