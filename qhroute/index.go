// Package qhroute matches calls to routes and splits the calls of a route between
// services by their shares.
package qhroute

import (
	"slices"
	"strings"

	"quetzalhaven.dev/qhconfig"
)

// Index finds the route of a call. It is immutable and safe for concurrent use.
type Index struct {
	// hosts maps lower-case host names to their routes. The empty host matches
	// every host.
	hosts map[string]*hostRoutes
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	// routes maps a path prefix to its routes; routes that list methods come
	// first.
	routes map[string][]*qhconfig.Route
	// maxPrefixLen is the length of the longest prefix in bytes.
	maxPrefixLen int
}

// NewIndex returns an index of the routes, which must be valid.
func NewIndex(routes []qhconfig.Route) *Index {
	index := &Index{hosts: make(map[string]*hostRoutes)}
	for i := range routes {
		index.add(&routes[i])
	}
	return index
}

func (i *Index) add(route *qhconfig.Route) {
	host := strings.ToLower(route.Host)
	h := i.hosts[host]
	if h == nil {
		h = &hostRoutes{routes: make(map[string][]*qhconfig.Route)}
		i.hosts[host] = h
	}
	list := append(h.routes[route.Prefix], route)
	slices.SortStableFunc(list, func(a, b *qhconfig.Route) int { return methodRank(a) - methodRank(b) })
	h.routes[route.Prefix] = list
	h.maxPrefixLen = max(h.maxPrefixLen, len(route.Prefix))
}

// methodRank orders routes of the same prefix: 0 for a route that lists methods,
// 1 for a route that matches every method.
func methodRank(route *qhconfig.Route) int {
	if len(route.Methods) == 0 {
		return 1
	}
	return 0
}

// Match returns the route of a call, or nil if none matches. Precedence: a route
// of the call's host with its port, then without, before one that matches every host, then
// the longest prefix, then a route that lists the method. The run time depends on the length of the
// path, not on the number of routes.
func (i *Index) Match(host, method, path string) *qhconfig.Route {
	host = strings.ToLower(host)
	if route := i.hosts[host].match(method, path); route != nil || host == "" {
		return route
	}
	if name := StripPort(host); name != host {
		if route := i.hosts[name].match(method, path); route != nil {
			return route
		}
	}
	return i.hosts[""].match(method, path)
}

// match looks up every prefix of the path that ends at a segment boundary,
// longest first. /urn matches /urn and /urn/1, while /urn/ matches /urn/1 only.
func (h *hostRoutes) match(method, path string) *qhconfig.Route {
	if h == nil {
		return nil
	}
	if len(path) <= h.maxPrefixLen {
		if route := h.lookup(path, method); route != nil {
			return route
		}
	}
	for i := min(len(path)-1, h.maxPrefixLen); i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if i < h.maxPrefixLen && i+1 < len(path) {
			if route := h.lookup(path[:i+1], method); route != nil {
				return route
			}
		}
		if route := h.lookup(path[:i], method); route != nil {
			return route
		}
	}
	return nil
}

// lookup returns the route with exactly this prefix that accepts the method, or
// nil.
func (h *hostRoutes) lookup(prefix, method string) *qhconfig.Route {
	for _, route := range h.routes[prefix] {
		if len(route.Methods) == 0 || slices.Contains(route.Methods, method) {
			return route
		}
	}
	return nil
}
