// Package qhsample generates configurations for tests and benchmarks.
package qhsample

import (
	"fmt"

	"pgregory.net/rapid"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// DrawConfig draws a random valid configuration in canonical order.
func DrawConfig(t *rapid.T, label string) qhconfig.Config {
	var config qhconfig.Config
	for _, i := range drawIndexes(t, label+" services", 1) {
		config.Services = append(config.Services, qhconfig.Service{
			Name:    serviceName(i),
			Slots:   rapid.IntRange(0, 3).Draw(t, "slots"),
			Retired: drawRetired(t),
		})
	}
	for _, i := range drawIndexes(t, label+" routes", 0) {
		config.Routes = append(config.Routes, drawRoute(t, i, config.Services))
	}
	if config.Keyed = rapid.Bool().Draw(t, "keyed"); config.Keyed {
		for _, i := range drawIndexes(t, label+" tenants", 0) {
			config.Tenants = append(config.Tenants, drawTenant(t, i))
		}
	}
	return config.Canonical()
}

// drawTenant draws a tenant with keys that no other one has.
func drawTenant(t *rapid.T, number int) qhconfig.Tenant {
	tenant := qhconfig.Tenant{Name: qhid.Tenant(fmt.Sprintf("tenant-%d", number)), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
	for i := range rapid.IntRange(0, 2).Draw(t, "keys") {
		tenant.Keys = append(tenant.Keys, qhconfig.DigestKey(fmt.Sprintf("key-%d-%d", number, i)))
	}
	return tenant
}

// ConfigOfSize returns a configuration with the given number of services and
// one route for each.
func ConfigOfSize(services int) qhconfig.Config {
	var config qhconfig.Config
	for i := range services {
		config.Services = append(config.Services, qhconfig.Service{Name: serviceName(i), Slots: 9, MaxQueue: 64, MaxConnections: 120})
		config.Routes = append(config.Routes, qhconfig.Route{
			Name:    qhid.Route(fmt.Sprintf("route-%05d", i)),
			Host:    "mesh.example",
			Prefix:  fmt.Sprintf("/service-%05d", i),
			Methods: []string{"GET", "POST"},
			Shares:  []qhconfig.Share{{Service: serviceName(i), Percent: 100}},
			Timeout: qhconfig.MaxTimeout / 1800,
		})
	}
	return config
}

// drawIndexes draws between minCount and 8 distinct numbers for names of entries.
func drawIndexes(t *rapid.T, label string, minCount int) []int {
	return rapid.SliceOfNDistinct(rapid.IntRange(0, 9), minCount, 8, rapid.ID[int]).Draw(t, label)
}

func drawRetired(t *rapid.T) []qhid.Target {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]qhid.Target{"a1", "b1", "c1"}), 0, 2, rapid.ID[qhid.Target])
	return names.Draw(t, "retired")
}

func drawRoute(t *rapid.T, i int, services []qhconfig.Service) qhconfig.Route {
	route := qhconfig.Route{
		Name:   qhid.Route(fmt.Sprintf("route-%05d", i)),
		Prefix: fmt.Sprintf("/route/%d", i),
		Retry:  rapid.SampledFrom([]qhconfig.RetryPolicy{qhconfig.RetryNever, qhconfig.RetrySafe, qhconfig.RetryKeyed}).Draw(t, "repeat"),
	}
	first := rapid.IntRange(0, len(services)-1).Draw(t, "first")
	percent := qhid.Percent(rapid.IntRange(1, 100).Draw(t, "percent"))
	second := (first + 1) % len(services)
	if percent == 100 || first == second {
		route.Shares = []qhconfig.Share{{Service: services[first].Name, Percent: 100}}
		return route
	}
	route.Shares = []qhconfig.Share{{Service: services[first].Name, Percent: percent}, {Service: services[second].Name, Percent: 100 - percent}}
	return route
}

func serviceName(i int) qhid.Service { return qhid.Service(fmt.Sprintf("service-%05d", i)) }
