package qhconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"quetzalhaven.dev/qhid"
)

// Repair returns a copy of the configuration that passes CheckUsable unless it exceeds
// a size limit, and the problems that it found. Of an invalid entry it keeps what
// cannot make a call go where the configuration does not send it, or run twice:
//
//   - an unknown retry policy becomes RetryNever;
//   - a negative limit or duration is unset; one that is too high is lowered, except for
//     slots, queues and attempts, which are unset too;
//   - a service that a route names but the configuration does not list is added;
//   - a route without a usable destination, or with the host, prefix and method of
//     another one, becomes unavailable, so that its calls are refused and match no
//     shorter prefix;
//   - a key that two tenants have is not used;
//   - a tenant with a negative allowance, or a name that no header can carry, becomes
//     unavailable, so that its calls are refused;
//   - tenants of one name become one, with the stricter of their limits;
//   - a configuration whose tenants are all left out still requires keys;
//   - a route whose host or prefix cannot be matched, and a service without a
//     valid name, are left out.
func (c Config) Repair() (Config, []Problem) {
	r := &repairer{checker{usable: true}}
	repaired := c.Canonical()
	repaired.Services = r.repairServices(repaired.Services)
	repaired.Routes = r.repairRoutes(repaired.Routes)
	repaired.Services = r.addMissingServices(repaired.Services, repaired.Routes)
	repaired.Tenants = r.repairTenants(repaired.Tenants)
	r.repairLimits(&repaired.Limits)
	return repaired.Canonical(), r.problems
}

// repairer repairs one configuration and collects its problems.
type repairer struct{ checker }

func (r *repairer) repairServices(services []Service) []Service {
	kept := services[:0]
	for i := range services {
		service := services[i]
		r.setEntry("service", string(service.Name))
		if !isUsableName(string(service.Name)) {
			r.addProblem("give it a valid name", "the service is left out, because its name is not valid")
			continue
		}
		if len(kept) > 0 && kept[len(kept)-1].Name == service.Name {
			r.addProblem("keep one of them", "the name is used twice; the first one is used")
			continue
		}
		unsetOutOfRange(r, "slots", &service.Slots, MaxSlots)
		unsetOutOfRange(r, "queue", &service.MaxQueue, MaxQueue)
		lowerOutOfRange(r, "connections", &service.MaxConnections, MaxConnections)
		service.Retired = slices.DeleteFunc(slices.Compact(service.Retired), func(target qhid.Target) bool { return !isUsableName(string(target)) })
		kept = append(kept, service)
	}
	return kept
}

// unsetOutOfRange sets a value to 0 if it is not between 0 and limit.
func unsetOutOfRange[T ~int | ~int64](r *repairer, field string, value *T, limit T) {
	if *value >= 0 && *value <= limit {
		return
	}
	r.addProblem(fmt.Sprintf("set it between 0 and %v", limit), "%s %v is out of range and unset", field, *value)
	*value = 0
}

// lowerOutOfRange sets a value above the limit to the limit, and a negative one to 0.
func lowerOutOfRange[T ~int | ~int64](r *repairer, field string, value *T, limit T) {
	if *value > limit {
		r.addProblem(fmt.Sprintf("set it between 0 and %v", limit), "%s %v is out of range and taken as %v", field, *value, limit)
		*value = limit
	}
	unsetOutOfRange(r, field, value, limit)
}

func (r *repairer) repairRoutes(routes []Route) []Route {
	kept := routes[:0]
	names := make(map[qhid.Route]bool, len(routes))
	for i := range routes {
		route := routes[i]
		r.setEntry("route", string(route.Name))
		if !r.canMatch(&route) {
			continue
		}
		r.repairName(&route, names)
		r.repairMethods(&route)
		r.repairShares(&route)
		r.repairRouteLimits(&route)
		kept = append(kept, route)
	}
	return r.joinOverlaps(kept)
}

// canMatch reports whether the host and the prefix of the route are valid and not
// both left out.
func (r *repairer) canMatch(route *Route) bool {
	check := &checker{usable: true}
	check.checkHost(route.Host)
	check.checkPrefix(route.Prefix)
	if len(check.problems) > 0 {
		r.addProblem(check.problems[0].Remedy, "the route is left out: %s", check.problems[0].Message)
		return false
	}
	return true
}

// repairName gives the route a valid name that no earlier route has.
func (r *repairer) repairName(route *Route, names map[qhid.Route]bool) {
	base := route.Name
	if !isUsableName(string(base)) {
		base = "unnamed"
	}
	for n := 2; names[route.Name] || !isUsableName(string(route.Name)); n++ {
		route.Name = qhid.Route(fmt.Sprintf("%.100s.%d", base, n))
	}
	if route.Name != base {
		r.addProblem("give it a valid name of its own", "the name is not valid or used twice; the route is called %q", route.Name)
	}
	names[route.Name] = true
}

// repairMethods makes the route unavailable if its methods are not valid.
func (r *repairer) repairMethods(route *Route) {
	route.Methods = slices.Compact(route.Methods)
	check := &checker{}
	check.checkMethods(route.Methods)
	if len(check.problems) > 0 {
		route.Methods = nil
		r.makeUnavailable(route, check.problems[0].Message)
	}
}

// makeUnavailable removes the destination of a route.
func (r *repairer) makeUnavailable(route *Route, because string) {
	r.addProblem("correct the route", "its calls are refused: %s", because)
	route.Unavailable, route.Shares = true, nil
}

// repairShares removes shares without a weight and adds up those of the same
// service. Percentages that do not add up to 100 become weights.
func (r *repairer) repairShares(route *Route) {
	if route.Unavailable {
		return
	}
	total := qhid.Percent(0)
	var shares []Share
	for _, share := range route.Shares {
		total += share.Percent
		if !isUsableName(string(share.Service)) {
			r.makeUnavailable(route, fmt.Sprintf("%q is not a valid service name", truncate(string(share.Service))))
			return
		}
		switch {
		case share.RelativeWeight() <= 0:
			r.addProblem("set it above 0 or leave the service out", "weight %d of service %q is left out", share.Weight, share.Service)
		case len(shares) > 0 && shares[len(shares)-1].Service == share.Service:
			shares[len(shares)-1].Percent += share.Percent
			shares[len(shares)-1].Weight += share.Weight
		default:
			shares = append(shares, share)
		}
	}
	if len(shares) == 0 {
		r.makeUnavailable(route, "it has no shares")
		return
	}
	if total != TotalPercent {
		r.toWeights(shares, total)
	}
	route.Shares = shares
}

// toWeights turns percentages into weights, and scales weights above MaxWeight
// down.
func (r *repairer) toWeights(shares []Share, total qhid.Percent) {
	if total != 0 {
		r.addProblem("change the shares so that they add up to 100", "shares add up to %d and are taken as weights", total)
	}
	largest := 0
	for _, share := range shares {
		largest = max(largest, share.RelativeWeight())
	}
	scale := (largest + MaxWeight - 1) / MaxWeight
	if scale > 1 {
		r.addProblem(fmt.Sprintf("set them between 1 and %d", MaxWeight), "the weights are divided by %d", scale)
	}
	for i := range shares {
		shares[i].Percent, shares[i].Weight = 0, max(1, shares[i].RelativeWeight()/scale)
	}
}

func (r *repairer) repairRouteLimits(route *Route) {
	switch route.Retry {
	case RetryNever, RetrySafe, RetryKeyed:
	default:
		r.addProblem(`use a known policy`, "repeat %q is unknown; its calls are executed at most once", truncate(string(route.Retry)))
		route.Retry = RetryNever
	}
	lowerOutOfRange(r, "timeout", &route.Timeout, MaxTimeout)
	lowerOutOfRange(r, "silence", &route.FirstByteTimeout, MaxTimeout)
	if route.Timeout > 0 && route.FirstByteTimeout > route.Timeout {
		route.FirstByteTimeout = route.Timeout
	}
	lowerOutOfRange(r, "objective", &route.LatencyObjective, MaxTimeout)
	lowerOutOfRange(r, "body", &route.MaxBodyBytes, MaxBody)
	unsetOutOfRange(r, "attempts", &route.MaxAttempts, MaxAttempts)
	if priority := min(max(route.Priority, 0), MaxPriority); priority != route.Priority {
		r.addProblem(fmt.Sprintf("set it between 0 and %d", MaxPriority), "priority %d is out of range and taken as %d", route.Priority, priority)
		route.Priority = priority
	}
}

// joinOverlaps keeps the first of the routes with the same host, prefix and a
// method in common. It becomes unavailable unless all of them send their calls to
// the same services, and it retries calls only if all of them do.
func (r *repairer) joinOverlaps(routes []Route) []Route {
	type matchKey struct{ host, prefix string }
	firstByKey := make(map[matchKey][]int, len(routes))
	kept := routes[:0]
	for i := range routes {
		route := routes[i]
		key := matchKey{strings.ToLower(route.Host), route.Prefix}
		other := slices.IndexFunc(firstByKey[key], func(j int) bool { return methodsOverlap(kept[j].Methods, route.Methods) })
		if other < 0 {
			firstByKey[key] = append(firstByKey[key], len(kept))
			kept = append(kept, route)
			continue
		}
		r.joinRoute(&kept[firstByKey[key][other]], &route)
	}
	return kept
}

// joinRoute makes first stand for both routes.
func (r *repairer) joinRoute(first, second *Route) {
	r.setEntry("route", string(second.Name))
	r.addProblem("give them different methods, prefixes or hosts", "the route is left out: its host, prefix and method are those of route %q", first.Name)
	if first.Retry != second.Retry {
		first.Retry = RetryNever
	}
	first.Anonymous = first.Anonymous && second.Anonymous
	if !first.Unavailable && !slices.Equal(first.Shares, second.Shares) {
		r.setEntry("route", string(first.Name))
		r.makeUnavailable(first, fmt.Sprintf("route %q sends the same calls elsewhere", second.Name))
	}
}

// addMissingServices adds the services that routes name and that are not listed.
func (r *repairer) addMissingServices(services []Service, routes []Route) []Service {
	listed := make(map[qhid.Service]bool, len(services))
	for i := range services {
		listed[services[i].Name] = true
	}
	for i := range routes {
		for _, share := range routes[i].Shares {
			if listed[share.Service] {
				continue
			}
			listed[share.Service] = true
			r.setEntry("route", string(routes[i].Name))
			r.addProblem("list the service", "service %q is not listed; it is used without limits", share.Service)
			services = append(services, Service{Name: share.Service})
		}
	}
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

func (r *repairer) repairLimits(limits *CallerLimits) {
	r.setEntry("", "")
	lowerOutOfRange(r, "limits.headers", &limits.MaxHeaderBytes, MaxBody)
	lowerOutOfRange(r, "limits.body", &limits.MaxBodyBytes, MaxBody)
	lowerOutOfRange(r, "limits.header", &limits.HeaderTimeout, MaxTimeout)
	lowerOutOfRange(r, "limits.idle", &limits.IdleTimeout, MaxTimeout)
}
