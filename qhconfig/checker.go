package qhconfig

import (
	"fmt"
	"slices"
	"strings"

	"quetzalhaven.dev/qhid"
)

// checker collects the problems of one configuration.
type checker struct {
	problems []Problem
	// kind and name identify the entry being checked; kind is empty for
	// problems of the configuration itself.
	kind, name string
	// services holds the names that routes may refer to.
	services map[qhid.Service]bool
	// usable selects the rules of CheckUsable.
	usable bool
}

// setEntry sets the entry that the next problems are reported for.
func (c *checker) setEntry(kind, name string) { c.kind, c.name = kind, name }

func (c *checker) addProblem(remedy, format string, args ...any) {
	location := "configuration"
	if c.kind != "" {
		location = fmt.Sprintf("%s %q", c.kind, truncate(c.name))
	}
	c.problems = append(c.problems, Problem{Location: location, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) checkCount(noun string, count, limit int) {
	if count > limit {
		c.addProblem(fmt.Sprintf("use at most %d", limit), "%d %s exceed the limit of %d", count, noun, limit)
	}
}

// checkRange checks that a value is between 0 and limit.
func (c *checker) checkRange(field string, value, limit int64) {
	if value < 0 || value > limit {
		c.addProblem(fmt.Sprintf("set it between 0 and %d", limit), "%s %d is out of range", field, value)
	}
}

// checkOrder checks that two adjacent names are sorted and distinct.
func (c *checker) checkOrder(kind, before, after string) {
	c.setEntry(kind, after)
	switch {
	case before == after:
		c.addProblem("keep one of them", "the name is used twice")
	case before > after:
		c.addProblem("sort them by name", "it is listed after %q", before)
	}
}

func (c *checker) checkName(kind, name string) {
	if c.usable {
		if !isUsableName(name) {
			c.addProblem(remedyUsableName(), "%q is not a usable %s name", truncate(name), kind)
		}
		return
	}
	if isValidName(name) {
		return
	}
	c.addProblem(fmt.Sprintf("use 1 to %d letters, digits, dots, hyphens and underscores, starting with a letter or digit", MaxNameBytes),
		"%q is not a valid %s name", truncate(name), kind)
}

func (c *checker) checkService(s *Service) {
	c.setEntry("service", string(s.Name))
	c.checkName("service", string(s.Name))
	c.services[s.Name] = true
	c.checkRange("slots", int64(s.Slots), MaxSlots)
	c.checkRange("queue", int64(s.MaxQueue), MaxQueue)
	c.checkRange("connections", int64(s.MaxConnections), MaxConnections)
	c.checkCount("retired targets", len(s.Retired), MaxRetired)
	for _, target := range s.Retired {
		c.checkName("target", string(target))
	}
	checkSortedUnique(c, "retired target", s.Retired)
}

func (c *checker) checkRoute(r *Route) {
	c.setEntry("route", string(r.Name))
	c.checkName("route", string(r.Name))
	c.checkHost(r.Host)
	c.checkPrefix(r.Prefix)
	c.checkMethods(r.Methods)
	if !r.Unavailable || len(r.Shares) > 0 {
		c.checkShares(r.Shares)
	}
	c.checkRetry(r.Retry)
	c.checkRouteLimits(r)
}

func (c *checker) checkHost(host string) {
	if c.usable {
		if len(host) > MaxUsablePathBytes || strings.ContainsFunc(host, isInvalidInHostHeader) {
			c.addProblem(`write the host as callers send it, as in "booking.example"`, "host %q is in no request", truncate(host))
		}
		return
	}
	if host != "" && (len(host) > MaxHostBytes || strings.ContainsFunc(host, isInvalidInHost)) {
		c.addProblem(`write the host without scheme and port, as in "booking.example"`, "host %q is not a valid host name", truncate(host))
	}
}

func (c *checker) checkPrefix(prefix string) {
	const remedy = `write the start of a path, as in "/urns"`
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.addProblem(remedy, "prefix %q does not start with a slash", truncate(prefix))
	case len(prefix) > c.maxPrefixBytes():
		c.addProblem(fmt.Sprintf("use at most %d bytes", c.maxPrefixBytes()), "prefix %q has %d bytes", truncate(prefix), len(prefix))
	case strings.ContainsAny(prefix, "?# ") || !c.usable && strings.Contains(prefix, "//"):
		c.addProblem(remedy, "prefix %q contains a space, a query, a fragment or an empty segment", truncate(prefix))
	case hasDotSegment(prefix):
		c.addProblem(remedy, "prefix %q contains a . or .. segment", truncate(prefix))
	}
}

func (c *checker) maxPrefixBytes() int {
	if c.usable {
		return MaxUsablePathBytes
	}
	return MaxPrefixBytes
}

func (c *checker) checkMethods(methods []string) {
	c.checkCount("methods", len(methods), MaxMethods)
	for _, method := range methods {
		if method == "" || strings.ContainsFunc(method, isInvalidInMethod) || len(method) > MaxNameBytes {
			c.addProblem(`write it in upper case, as in "GET"`, "%q is not a valid HTTP method", truncate(method))
		}
	}
	checkSortedUnique(c, "method", methods)
}

func (c *checker) checkShares(shares []Share) {
	if !c.usable {
		c.checkCount("shares", len(shares), MaxShares)
	}
	if slices.ContainsFunc(shares, func(s Share) bool { return s.Weight != 0 }) {
		c.checkWeights(shares)
		return
	}
	var total qhid.Percent
	for i, share := range shares {
		if i > 0 {
			checkSortedUnique(c, "share of service", []qhid.Service{shares[i-1].Service, share.Service})
		}
		total += share.Percent
		c.checkServiceExists(share)
		if share.Percent < 1 || share.Percent > TotalPercent {
			c.addProblem("set it between 1 and 100, or leave the service out", "share %d of service %q is out of range",
				share.Percent, truncate(string(share.Service)))
		}
	}
	if total != TotalPercent {
		c.addProblem("change the shares so that they add up to 100", "shares add up to %d", total)
	}
}

// checkServiceExists checks that the service of a share exists.
func (c *checker) checkServiceExists(share Share) {
	if !c.services[share.Service] {
		c.addProblem("add the service first or name another", "service %q does not exist", truncate(string(share.Service)))
	}
}

// checkWeights checks shares given as weights.
func (c *checker) checkWeights(shares []Share) {
	for i, share := range shares {
		if i > 0 {
			checkSortedUnique(c, "share of service", []qhid.Service{shares[i-1].Service, share.Service})
		}
		c.checkServiceExists(share)
		if share.Weight < 1 || share.Weight > MaxWeight || share.Percent != 0 {
			c.addProblem(fmt.Sprintf("give every share of the route a weight between 1 and %d and no percent", MaxWeight),
				"weight %d of service %q is out of range or combined with a percentage", share.Weight, truncate(string(share.Service)))
		}
	}
}

func (c *checker) checkRetry(policy RetryPolicy) {
	switch policy {
	case RetryNever, RetrySafe, RetryKeyed:
		return
	}
	c.addProblem(`use "safe", "keyed", or leave it out for never`, "repeat %q is unknown", truncate(string(policy)))
}

func (c *checker) checkRouteLimits(r *Route) {
	if r.Unavailable && len(r.Shares) > 0 {
		c.addProblem("remove the shares or make it available", "it is unavailable but has shares")
	}
	c.checkDuration("timeout", r.Timeout)
	c.checkDuration("silence", r.FirstByteTimeout)
	if r.Timeout > 0 && r.FirstByteTimeout > r.Timeout {
		c.addProblem("shorten the silence or lengthen the timeout", "silence %s is longer than timeout %s", r.FirstByteTimeout, r.Timeout)
	}
	c.checkRange("body", int64(r.MaxBodyBytes), int64(MaxBody))
	c.checkRange("priority", int64(r.Priority), MaxPriority)
	c.checkRange("attempts", int64(r.MaxAttempts), MaxAttempts)
	c.checkDuration("objective", r.LatencyObjective)
}

func (c *checker) checkDuration(field string, value Duration) {
	if value < 0 || value > MaxTimeout {
		c.addProblem(fmt.Sprintf("set it between 0s and %s", MaxTimeout), "%s %s is out of range", field, value)
	}
}

// checkSortedUnique checks that the values are sorted without duplicates.
func checkSortedUnique[T ~string](c *checker, noun string, values []T) {
	for i := 1; i < len(values); i++ {
		switch {
		case values[i-1] == values[i]:
			c.addProblem("keep one of them", "%s %q is listed twice", noun, truncate(string(values[i])))
		case values[i-1] > values[i]:
			c.addProblem("sort them", "%s %q is listed after %q", noun, truncate(string(values[i])), truncate(string(values[i-1])))
		}
	}
}

// checkOverlaps checks that no call matches two routes of equal precedence.
func (c *checker) checkOverlaps(routes []Route) {
	type matchKey struct{ host, prefix string }
	routesByKey := make(map[matchKey][]*Route, len(routes))
	for i := range routes {
		route := &routes[i]
		key := matchKey{strings.ToLower(route.Host), route.Prefix}
		for _, other := range routesByKey[key] {
			if other.Name != route.Name && methodsOverlap(other.Methods, route.Methods) {
				c.setEntry("route", string(route.Name))
				c.addProblem("give them different methods, prefixes or hosts",
					"it has the host %q, the prefix %q and a method in common with route %q", truncate(route.Host), truncate(route.Prefix), truncate(string(other.Name)))
				break
			}
		}
		routesByKey[key] = append(routesByKey[key], route)
	}
}

// methodsOverlap reports whether some method matches both lists; an empty list
// matches every method.
func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}

// checkCallerLimits checks the limits of callers.
func (c *checker) checkCallerLimits(limits CallerLimits) {
	c.setEntry("", "")
	c.checkRange("limits.headers", int64(limits.MaxHeaderBytes), int64(MaxBody))
	c.checkRange("limits.body", int64(limits.MaxBodyBytes), int64(MaxBody))
	c.checkDuration("limits.header", limits.HeaderTimeout)
	c.checkDuration("limits.idle", limits.IdleTimeout)
}
