package qhconfig

import (
	"cmp"
	"slices"

	"quetzalhaven.dev/qhid"
)

// Canonical returns a deep copy of the configuration in the canonical order that
// Check requires. c is not changed.
func (c Config) Canonical() Config {
	services := slices.Clone(c.Services)
	for i := range services {
		services[i].Retired = sorted(services[i].Retired)
	}
	routes := slices.Clone(c.Routes)
	for i := range routes {
		routes[i].Methods = sorted(routes[i].Methods)
		routes[i].Shares = slices.Clone(routes[i].Shares)
		slices.SortFunc(routes[i].Shares, func(a, b Share) int { return cmp.Compare(a.Service, b.Service) })
	}
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	tenants := slices.Clone(c.Tenants)
	for i := range tenants {
		tenants[i].Keys = sorted(tenants[i].Keys)
	}
	slices.SortFunc(tenants, func(a, b Tenant) int { return cmp.Compare(a.Name, b.Name) })
	return Config{Services: services, Routes: routes, Keyed: c.RequiresKeys(), Tenants: tenants, Limits: c.Limits}
}

// sorted returns a sorted copy of values.
func sorted[T cmp.Ordered](values []T) []T {
	clone := slices.Clone(values)
	slices.Sort(clone)
	return clone
}

// FindService returns the service with the name, or nil. c must be in canonical
// order.
func (c Config) FindService(name qhid.Service) *Service {
	i, found := slices.BinarySearchFunc(c.Services, name, func(s Service, name qhid.Service) int {
		return cmp.Compare(s.Name, name)
	})
	if !found {
		return nil
	}
	return &c.Services[i]
}

// FindRoute returns the route with the name, or nil. c must be in canonical
// order.
func (c Config) FindRoute(name qhid.Route) *Route {
	i, found := slices.BinarySearchFunc(c.Routes, name, func(r Route, name qhid.Route) int {
		return cmp.Compare(r.Name, name)
	})
	if !found {
		return nil
	}
	return &c.Routes[i]
}

// RoutesOf returns the names of the routes that send calls to the service, in the
// order of c.Routes.
func (c Config) RoutesOf(service qhid.Service) []qhid.Route {
	var routes []qhid.Route
	for i := range c.Routes {
		if slices.ContainsFunc(c.Routes[i].Shares, func(s Share) bool { return s.Service == service }) {
			routes = append(routes, c.Routes[i].Name)
		}
	}
	return routes
}
