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
	// kind and name are those of the entry that is checked; the kind is empty
	// for the whole configuration.
	kind, name string
	// services has the names that routes may use.
	services map[qhid.Service]bool
}

// at says which entry the next problems belong to.
func (c *checker) at(kind, name string) { c.kind, c.name = kind, name }

func (c *checker) add(remedy, format string, args ...any) {
	where := "configuration"
	if c.kind != "" {
		where = fmt.Sprintf("%s %q", c.kind, clip(c.name))
	}
	c.problems = append(c.problems, Problem{Where: where, What: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) count(what string, count, limit int) {
	if count > limit {
		c.add(fmt.Sprintf("keep to %d", limit), "%d %s are more than %d", count, what, limit)
	}
}

// within checks that a value is between 0 and limit.
func (c *checker) within(field string, value, limit int64) {
	if value < 0 || value > limit {
		c.add(fmt.Sprintf("set it between 0 and %d", limit), "%s %d is out of bounds", field, value)
	}
}

// order checks that two names that follow on each other are in order.
func (c *checker) order(kind, before, after string) {
	c.at(kind, after)
	switch {
	case before == after:
		c.add("keep one of them", "the name stands twice")
	case before > after:
		c.add("order them by name", "it stands after %q", before)
	}
}

func (c *checker) checkName(kind, name string) {
	if isName(name) {
		return
	}
	c.add(fmt.Sprintf("use 1 to %d letters, digits, dots, hyphens and underscores, a letter or digit first", MaxName),
		"%q is no name of a %s", clip(name), kind)
}

func (c *checker) service(s *Service) {
	c.at("service", string(s.Name))
	c.checkName("service", string(s.Name))
	c.services[s.Name] = true
	c.within("slots", int64(s.Slots), MaxSlots)
	c.within("queue", int64(s.MaxQueue), MaxQueue)
	c.within("connections", int64(s.MaxConnections), MaxConnections)
	c.count("retired targets", len(s.Retired), MaxRetired)
	for _, target := range s.Retired {
		c.checkName("target", string(target))
	}
	checkOrdered(c, "retired target", s.Retired)
}

func (c *checker) route(r *Route) {
	c.at("route", string(r.Name))
	c.checkName("route", string(r.Name))
	c.host(r.Host)
	c.prefix(r.Prefix)
	c.methods(r.Methods)
	c.shares(r.Shares)
	c.repeat(r.Retry)
	c.limits(r)
}

func (c *checker) host(host string) {
	if host != "" && (len(host) > MaxHost || strings.ContainsFunc(host, notInHost)) {
		c.add(`write the host without scheme and port, as in "booking.example"`, "host %q can't be matched", clip(host))
	}
}

func (c *checker) prefix(prefix string) {
	const remedy = `write the path's beginning, as in "/urns"`
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.add(remedy, "prefix %q does not begin with a slash", clip(prefix))
	case len(prefix) > MaxPrefix:
		c.add(fmt.Sprintf("keep to %d bytes", MaxPrefix), "prefix %q has %d bytes", clip(prefix), len(prefix))
	case strings.ContainsAny(prefix, "?# ") || strings.Contains(prefix, "//"):
		c.add(remedy, "prefix %q has a space, a query, a fragment or an empty segment", clip(prefix))
	case hasDots(prefix):
		c.add(remedy, "prefix %q has a segment . or ..", clip(prefix))
	}
}

func (c *checker) methods(methods []string) {
	c.count("methods", len(methods), MaxMethods)
	for _, method := range methods {
		if method == "" || strings.ContainsFunc(method, notInMethod) || len(method) > MaxName {
			c.add(`write it in upper case, as in "GET"`, "%q is no method", clip(method))
		}
	}
	checkOrdered(c, "method", methods)
}

func (c *checker) shares(shares []Share) {
	c.count("shares", len(shares), MaxShares)
	if slices.ContainsFunc(shares, func(s Share) bool { return s.Weight != 0 }) {
		c.weights(shares)
		return
	}
	var total qhid.Percent
	for i, share := range shares {
		if i > 0 {
			checkOrdered(c, "share of service", []qhid.Service{shares[i-1].Service, share.Service})
		}
		total += share.Percent
		c.shared(share)
		if share.Percent < 1 || share.Percent > TotalPercent {
			c.add("set it between 1 and 100, or leave the service out", "share %d of service %q is out of bounds",
				share.Percent, clip(string(share.Service)))
		}
	}
	if total != TotalPercent {
		c.add("change the shares so that they add up to 100", "shares add up to %d", total)
	}
}

// shared checks that the service of a share exists.
func (c *checker) shared(share Share) {
	if !c.services[share.Service] {
		c.add("add the service first or name another", "service %q does not exist", clip(string(share.Service)))
	}
}

// weights checks shares that are given as weights.
func (c *checker) weights(shares []Share) {
	for i, share := range shares {
		if i > 0 {
			checkOrdered(c, "share of service", []qhid.Service{shares[i-1].Service, share.Service})
		}
		c.shared(share)
		if share.Weight < 1 || share.Weight > MaxWeight || share.Percent != 0 {
			c.add(fmt.Sprintf("give every share of the route a weight between 1 and %d and no percent", MaxWeight),
				"weight %d of service %q does not go with the other shares", share.Weight, clip(string(share.Service)))
		}
	}
}

func (c *checker) repeat(repeat RetryPolicy) {
	switch repeat {
	case RetryNever, RetrySafe, RetryKeyed:
		return
	}
	c.add(`use "safe", "keyed", or leave it out for never`, "repeat %q is unknown", clip(string(repeat)))
}

func (c *checker) limits(r *Route) {
	c.duration("timeout", r.Timeout)
	c.duration("silence", r.FirstByteTimeout)
	if r.Timeout > 0 && r.FirstByteTimeout > r.Timeout {
		c.add("shorten the silence or lengthen the timeout", "silence %s is longer than timeout %s", r.FirstByteTimeout, r.Timeout)
	}
	c.within("body", int64(r.MaxBodyBytes), int64(MaxBody))
	c.within("priority", int64(r.Priority), MaxPriority)
	c.within("attempts", int64(r.MaxAttempts), MaxAttempts)
	c.duration("objective", r.LatencyObjective)
}

func (c *checker) duration(field string, value Duration) {
	if value < 0 || value > MaxTimeout {
		c.add(fmt.Sprintf("set it between 0s and %s", MaxTimeout), "%s %s is out of bounds", field, value)
	}
}

// checkOrdered checks that the values are in order and each stands once.
func checkOrdered[T ~string](c *checker, what string, values []T) {
	for i := 1; i < len(values); i++ {
		switch {
		case values[i-1] == values[i]:
			c.add("keep one of them", "%s %q stands twice", what, clip(string(values[i])))
		case values[i-1] > values[i]:
			c.add("put them in order", "%s %q stands after %q", what, clip(string(values[i])), clip(string(values[i-1])))
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
				c.at("route", string(route.Name))
				c.add("give them different methods, prefixes or hosts",
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

// bounds checks the limits of callers.
func (c *checker) bounds(limits CallerLimits) {
	c.at("", "")
	c.within("limits.headers", int64(limits.MaxHeaderBytes), int64(MaxBody))
	c.within("limits.body", int64(limits.MaxBodyBytes), int64(MaxBody))
	c.duration("limits.header", limits.HeaderTimeout)
	c.duration("limits.idle", limits.IdleTimeout)
}
