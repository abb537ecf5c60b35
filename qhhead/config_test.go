package qhhead_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// configOfSize returns a configuration with the given number of services and
// one route for each.
func configOfSize(services int) qhconfig.Config {
	var config qhconfig.Config
	for i := range services {
		config.Services = append(config.Services, qhconfig.Service{
			Name: qhid.Service(fmt.Sprintf("service-%05d", i)), Slots: 9, MaxQueue: 20, MaxConnections: 120,
		})
		config.Routes = append(config.Routes, qhconfig.Route{
			Name:    qhid.Route(fmt.Sprintf("route-%05d", i)),
			Prefix:  fmt.Sprintf("/route-%05d", i),
			Shares:  []qhconfig.Share{{Service: config.Services[i].Name, Percent: 100}},
			Timeout: qhconfig.Duration(2 * time.Second),
		})
	}
	return config
}

// withSlots returns a copy of the configuration with another number of slots
// for one service.
func withSlots(config qhconfig.Config, service, slots int) qhconfig.Config {
	config.Services = append([]qhconfig.Service{}, config.Services...)
	config.Services[service].Slots = slots
	return config
}

// change returns a change of the base to the configuration.
func change(base qhhead.Head, plan qhid.Plan, config qhconfig.Config) qhhead.Change {
	return qhhead.Change{
		Base: base, Plan: plan, Config: config, Author: "ana", Reason: "more slots",
		Time: time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC),
	}
}

var _ = Describe("A version that requires keys", func() {
	It("is loaded as such, whole and by its changes, with tenants and without", func() {
		ctx := context.Background()
		store := qhplatform.NewFake(qhplatform.FakeOptions{}).Store()
		writer, follower := qhhead.NewWithSmallParts(qhhead.Options{Store: store}), qhhead.NewWithSmallParts(qhhead.Options{Store: store})
		var head qhhead.Head
		for i, keyed := range []bool{false, true, true, false} {
			config := configOfSize(40)
			if config.Keyed = keyed; i == 2 {
				config.Tenants = []qhconfig.Tenant{{Name: "one"}}
			}
			var err error
			head, err = writer.Commit(ctx, change(head, qhid.Plan(fmt.Sprint("p", i)), config))
			Expect(err).NotTo(HaveOccurred())
			for _, reader := range []*qhhead.Chain{follower, qhhead.NewWithSmallParts(qhhead.Options{Store: store})} {
				loaded, _, err := reader.Load(ctx, head)
				Expect(err).NotTo(HaveOccurred())
				Expect(loaded.RequiresKeys()).To(Equal(keyed))
				Expect(loaded.Digest()).To(Equal(config.Digest()))
			}
		}
	})
})
