// Package qhroute matches calls to routes and chooses services by shares.
package qhroute

import (
	"slices"
	"strings"

	"quetzalhaven.dev/qhconfig"
)

// Index finds the route of a call. It is never changed once built.
type Index struct {
	// hosts has the routes of each host in lower case; the empty host matches
	// every host.
	hosts map[string]*prefixes
}

// prefixes has the routes of one host.
type prefixes struct {
	// routes has the routes of each prefix, those with methods first.
	routes map[string][]*qhconfig.Route
	// longest is the length of the longest prefix.
	longest int
}

// NewIndex returns the index of routes that were checked before.
func NewIndex(routes []qhconfig.Route) *Index {
	index := &Index{hosts: make(map[string]*prefixes)}
	for i := range routes {
		index.add(&routes[i])
	}
	return index
}

func (x *Index) add(route *qhconfig.Route) {
	host := strings.ToLower(route.Host)
	p := x.hosts[host]
	if p == nil {
		p = &prefixes{routes: make(map[string][]*qhconfig.Route)}
		x.hosts[host] = p
	}
	list := append(p.routes[route.Prefix], route)
	slices.SortStableFunc(list, func(a, b *qhconfig.Route) int { return anyMethod(a) - anyMethod(b) })
	p.routes[route.Prefix] = list
	p.longest = max(p.longest, len(route.Prefix))
}

// anyMethod is 1 for a route that matches every method, else 0.
func anyMethod(route *qhconfig.Route) int {
	if len(route.Methods) == 0 {
		return 1
	}
	return 0
}

// Match returns the route of a call, or nil where none matches. A route of the
// call's host goes before one of every host, then the longest prefix wins, then
// a route that names the method. It takes time with the path, not the routes.
func (x *Index) Match(host, method, path string) *qhconfig.Route {
	host = strings.ToLower(host)
	if route := x.hosts[host].match(method, path); route != nil || host == "" {
		return route
	}
	return x.hosts[""].match(method, path)
}

// match looks up each prefix that ends where a segment of the path does, the
// longest first. /urn matches /urn and /urn/1, and /urn/ matches /urn/1 only.
func (p *prefixes) match(method, path string) *qhconfig.Route {
	if p == nil {
		return nil
	}
	if len(path) <= p.longest {
		if route := p.at(path, method); route != nil {
			return route
		}
	}
	for i := min(len(path)-1, p.longest); i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if i < p.longest && i+1 < len(path) {
			if route := p.at(path[:i+1], method); route != nil {
				return route
			}
		}
		if route := p.at(path[:i], method); route != nil {
			return route
		}
	}
	return nil
}

// at returns the route of exactly this prefix that takes the method, or nil.
func (p *prefixes) at(prefix, method string) *qhconfig.Route {
	for _, route := range p.routes[prefix] {
		if len(route.Methods) == 0 || slices.Contains(route.Methods, method) {
			return route
		}
	}
	return nil
}
