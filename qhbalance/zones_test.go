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

// endpoints returns warm endpoints of a zone, the first lost of them on nodes
// that are down.
func endpoints(zone qhid.Zone, count, lost int) []*qhmember.Endpoint {
	var list []*qhmember.Endpoint
	for i := range count {
		list = append(list, &qhmember.Endpoint{
			Target: qhmember.Target{ID: qhid.Target(fmt.Sprintf("%s-%d", zone, i)), Service: "booking", State: qhmember.Up, Slots: 9},
			Node:   qhid.Node(fmt.Sprintf("n-%s-%d", zone, i)), Zone: zone, NodeDown: i < lost, Stats: &qhmember.EndpointStats{},
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

	It("stays in the own availability zone", func() {
		choice := choose(endpoints("kigali-a", 2, 0), endpoints("kigali-b", 4, 0))
		Expect(choice.Endpoint.Zone).To(BeEquivalentTo("kigali-a"))
		Expect(choice.Reason).To(Equal(qhdecision.OwnZone))
	})

	It("leaves the own availability zone where most of it is lost and others are not", func() {
		choice := choose(endpoints("kigali-a", 1, 1), endpoints("kigali-b", 4, 0))
		Expect(choice.Endpoint.Zone).To(BeEquivalentTo("kigali-b"))
		Expect(choice.Reason).To(Equal(qhdecision.OtherZone))
		choice = choose(endpoints("kigali-a", 5, 4), endpoints("kigali-b", 4, 0))
		Expect(choice.Endpoint.NodeDown).To(BeFalse())
	})

	It("tries what is lost where no other availability zone has the service", func() {
		choice := choose(endpoints("kigali-a", 2, 2))
		Expect(choice.Reason).To(Equal(qhdecision.PanicMode))
		leaving := endpoints("kigali-b", 1, 0)
		leaving[0].State = qhmember.Leaving
		choice = choose(endpoints("kigali-a", 2, 2), leaving)
		Expect(choice.Endpoint.Zone).To(BeEquivalentTo("kigali-a"))
	})

	It("doubts the evidence where most of every availability zone is lost", func() {
		choice := choose(endpoints("kigali-a", 4, 4), endpoints("kigali-b", 4, 4))
		Expect(choice.Endpoint.Zone).To(BeEquivalentTo("kigali-a"))
		Expect(choice.Reason).To(Equal(qhdecision.PanicMode))
	})
})
