// Package qhroute matches calls to routes and chooses services by shares.
package qhroute

import (
	"slices"
	"strings"

	"quetzalhaven.dev/qhconfig"
)

// Index finds the route of a call. It is never changed once built.
type Index struct {
	// hosts has the routes of each host in lower case, longest prefix first;
	// the empty host matches every host.
	hosts map[string][]*qhconfig.Route
}

// NewIndex returns the index of routes that were checked before.
func NewIndex(routes []qhconfig.Route) *Index {
	hosts := make(map[string][]*qhconfig.Route)
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		hosts[host] = append(hosts[host], &routes[i])
	}
	for _, list := range hosts {
		slices.SortStableFunc(list, func(a, b *qhconfig.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return &Index{hosts: hosts}
}

// Match returns the route of a call, or nil where none matches. A route of the
// call's host goes before one of every host, then the longest prefix wins.
func (x *Index) Match(host, method, path string) *qhconfig.Route {
	host = strings.ToLower(host)
	if route := match(x.hosts[host], method, path); route != nil || host == "" {
		return route
	}
	return match(x.hosts[""], method, path)
}

func match(routes []*qhconfig.Route, method, path string) *qhconfig.Route {
	for _, route := range routes {
		if hasMethod(route, method) && hasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func hasMethod(route *qhconfig.Route, method string) bool {
	return len(route.Methods) == 0 || slices.Contains(route.Methods, method)
}

// hasPrefix matches whole path segments: /urn matches /urn and /urn/1, not /urns.
func hasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return strings.HasSuffix(prefix, "/") || len(path) == len(prefix) || path[len(prefix)] == '/'
}
