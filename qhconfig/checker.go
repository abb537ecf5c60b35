package qhconfig

import (
	"fmt"
	"slices"
	"strings"

	"quetzalhaven.dev/qhid"
)

// checker gathers the problems of one configuration.
type checker struct {
	problems []Problem
	// services has the names that routes may use.
	services map[qhid.Service]bool
}

func (c *checker) add(where, remedy, format string, args ...any) {
	c.problems = append(c.problems, Problem{Where: where, What: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) count(where, what string, count, limit int) {
	if count > limit {
		c.add(where, fmt.Sprintf("keep to %d", limit), "%d %s are more than %d", count, what, limit)
	}
}

// within checks that a value is between 0 and limit.
func (c *checker) within(where, field string, value, limit int64) {
	if value < 0 || value > limit {
		c.add(where, fmt.Sprintf("set it between 0 and %d", limit), "%s %d is out of bounds", field, value)
	}
}

// order checks that two names that follow on each other are in order.
func (c *checker) order(kind, before, after string) {
	where := fmt.Sprintf("%s %q", kind, after)
	switch {
	case before == after:
		c.add(where, "keep one of them", "the name stands twice")
	case before > after:
		c.add(where, "order them by name", "it stands after %q", before)
	}
}

func (c *checker) name(where, kind, name string) {
	if isName(name) {
		return
	}
	c.add(where, fmt.Sprintf("use 1 to %d letters, digits, dots, hyphens and underscores, a letter or digit first", MaxName),
		"%q is no name of a %s", clip(name), kind)
}

func (c *checker) service(s *Service) {
	where := fmt.Sprintf("service %q", clip(string(s.Name)))
	c.name(where, "service", string(s.Name))
	c.services[s.Name] = true
	c.within(where, "slots", int64(s.Slots), MaxSlots)
	c.within(where, "queue", int64(s.Queue), MaxQueue)
	c.within(where, "connections", int64(s.Connections), MaxConnections)
	c.count(where, "retired targets", len(s.Retired), MaxRetired)
	for _, target := range s.Retired {
		c.name(where, "target", string(target))
	}
	c.ordered(where, "retired target", names(s.Retired))
}

func (c *checker) route(r *Route) {
	where := fmt.Sprintf("route %q", clip(string(r.Name)))
	c.name(where, "route", string(r.Name))
	c.host(where, r.Host)
	c.prefix(where, r.Prefix)
	c.methods(where, r.Methods)
	c.shares(where, r.Shares)
	c.repeat(where, r.Repeat)
	c.limits(where, r)
}

func (c *checker) host(where, host string) {
	if host != "" && (len(host) > MaxHost || !only(host, hostCharacters)) {
		c.add(where, `write the host without scheme and port, as in "booking.example"`, "host %q can't be matched", clip(host))
	}
}

func (c *checker) prefix(where, prefix string) {
	const remedy = `write the path's beginning, as in "/urns"`
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.add(where, remedy, "prefix %q does not begin with a slash", clip(prefix))
	case len(prefix) > MaxPrefix:
		c.add(where, fmt.Sprintf("keep to %d bytes", MaxPrefix), "prefix %q has %d bytes", clip(prefix), len(prefix))
	case strings.ContainsAny(prefix, "?# ") || strings.Contains(prefix, "//"):
		c.add(where, remedy, "prefix %q has a space, a query, a fragment or an empty segment", clip(prefix))
	case hasDots(prefix):
		c.add(where, remedy, "prefix %q has a segment . or ..", clip(prefix))
	}
}

func (c *checker) methods(where string, methods []string) {
	c.count(where, "methods", len(methods), MaxMethods)
	for _, method := range methods {
		if method == "" || !only(method, methodCharacters) || len(method) > MaxName {
			c.add(where, `write it in upper case, as in "GET"`, "%q is no method", clip(method))
		}
	}
	c.ordered(where, "method", methods)
}

func (c *checker) shares(where string, shares []Share) {
	c.count(where, "shares", len(shares), MaxShares)
	services := make([]string, len(shares))
	var total qhid.Percent
	for i, share := range shares {
		services[i] = string(share.Service)
		total += share.Percent
		if !c.services[share.Service] {
			c.add(where, "add the service first or name another", "service %q does not exist", clip(string(share.Service)))
		}
		if share.Percent < 1 || share.Percent > WholeShare {
			c.add(where, "set it between 1 and 100, or leave the service out", "share %d of service %q is out of bounds",
				share.Percent, clip(string(share.Service)))
		}
	}
	if total != WholeShare {
		c.add(where, "change the shares so that they add up to 100", "shares add up to %d", total)
	}
	c.ordered(where, "share of service", services)
}

func (c *checker) repeat(where string, repeat Repeat) {
	switch repeat {
	case RepeatNever, RepeatSafe, RepeatKeyed:
		return
	}
	c.add(where, `use "safe", "keyed", or leave it out for never`, "repeat %q is unknown", clip(string(repeat)))
}

func (c *checker) limits(where string, r *Route) {
	c.duration(where, "timeout", r.Timeout)
	c.duration(where, "silence", r.Silence)
	if r.Timeout > 0 && r.Silence > r.Timeout {
		c.add(where, "shorten the silence or lengthen the timeout", "silence %s is longer than timeout %s", r.Silence, r.Timeout)
	}
	c.within(where, "body", int64(r.Body), int64(MaxBody))
}

func (c *checker) duration(where, field string, value Duration) {
	if value < 0 || value > MaxTimeout {
		c.add(where, fmt.Sprintf("set it between 0s and %s", MaxTimeout), "%s %s is out of bounds", field, value)
	}
}

// ordered checks that the values are in order and each stands once.
func (c *checker) ordered(where, what string, values []string) {
	for i := 1; i < len(values); i++ {
		switch {
		case values[i-1] == values[i]:
			c.add(where, "keep one of them", "%s %q stands twice", what, clip(values[i]))
		case values[i-1] > values[i]:
			c.add(where, "put them in order", "%s %q stands after %q", what, clip(values[i]), clip(values[i-1]))
		}
	}
}

// overlaps checks that no call matches two routes equally well.
func (c *checker) overlaps(routes []Route) {
	type place struct{ host, prefix string }
	places := make(map[place][]*Route, len(routes))
	for i := range routes {
		route := &routes[i]
		at := place{strings.ToLower(route.Host), route.Prefix}
		for _, other := range places[at] {
			if other.Name != route.Name && shareMethod(other.Methods, route.Methods) {
				c.add(fmt.Sprintf("route %q", clip(string(route.Name))), "give them different methods, prefixes or hosts",
					"it has the host %q, the prefix %q and a method of route %q", clip(route.Host), clip(route.Prefix), clip(string(other.Name)))
				break
			}
		}
		places[at] = append(places[at], route)
	}
}

// shareMethod tells whether a method matches both; none matches every method.
func shareMethod(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}
