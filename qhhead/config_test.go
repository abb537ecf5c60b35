package qhhead_test

import (
	"fmt"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
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
