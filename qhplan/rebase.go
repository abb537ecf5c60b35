package qhplan

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// accessSet is what a difference writes and reads of a configuration.
type accessSet struct {
	// writtenServices and routes are added, changed or removed.
	writtenServices map[qhid.Service]bool
	writtenRoutes   map[qhid.Route]bool
	// readServices are the services that the routes name before or after.
	readServices map[qhid.Service]bool
}

func accessSetOf(base qhconfig.Config, diff qhconfig.Diff) accessSet {
	access := accessSet{writtenServices: make(map[qhid.Service]bool), writtenRoutes: make(map[qhid.Route]bool), readServices: make(map[qhid.Service]bool)}
	for i := range diff.Services {
		access.writtenServices[diff.Services[i].Name] = true
	}
	for _, name := range diff.RemovedServices {
		access.writtenServices[name] = true
	}
	for i := range diff.Routes {
		access.addRoute(diff.Routes[i].Name, base.FindRoute(diff.Routes[i].Name), &diff.Routes[i])
	}
	for _, name := range diff.RemovedRoutes {
		access.addRoute(name, base.FindRoute(name))
	}
	return access
}

// addRoute notes a route and the services of its states, of which some are nil.
func (a accessSet) addRoute(name qhid.Route, states ...*qhconfig.Route) {
	a.writtenRoutes[name] = true
	for _, state := range states {
		if state == nil {
			continue
		}
		for _, share := range state.Shares {
			a.readServices[share.Service] = true
		}
	}
}

// rebase returns what a plan makes of head, whose base is gone, or an error of
// kind Conflict where the two have something in common.
//
// A plan is rebased where neither it nor what happened since its base writes
// what the other writes or reads. It writes the services and routes that it
// changes; it reads the services that its routes send calls to, before or
// after. Two plans that only read the same service, such as two new routes to
// it, have nothing in common. The result is checked whole like any other.
//
// Three ways were weighed. To refuse each plan whose base is gone is simplest,
// but with a change every few seconds an operator who reads a plan for a minute
// would never get it confirmed. To rebase whatever still applies and passes the
// check lets through what nobody has seen: a share shifted to a service whose
// slots were cut meanwhile is valid. Comparing what is written and read keeps
// every line of the plan as the operator saw it, and what it rests on too.
// A plan that goes back to an old version is never rebased, since it promises
// the whole of the old content.
func (p Plan) rebase(base, head qhconfig.Config, version qhid.Version) (qhconfig.Config, error) {
	if p.RollbackTo != 0 {
		return qhconfig.Config{}, p.conflictError(version, "it goes back to the whole of an old version")
	}
	planned := accessSetOf(base, p.Diff)
	committed := accessSetOf(base, qhconfig.Compare(base, head))
	if common := planned.conflictsWith(committed); len(common) > 0 {
		return qhconfig.Config{}, p.conflictError(version, "both touch "+strings.Join(common, ", "))
	}
	next := p.Diff.Merge(head)
	if err := next.Check(); err != nil {
		return qhconfig.Config{}, p.conflictError(version, err.Error())
	}
	return next, nil
}

// conflictError is the error of a plan that can't be rebased.
func (p Plan) conflictError(version qhid.Version, why string) error {
	return qherr.New(qherr.Conflict, nil, "make the plan anew and look at what changed",
		"plan %s was made from version %d, and version %d is the newest by now: %s", p.ID, p.Base, version, why)
}

// conflictsWith names what one side writes and the other writes or reads.
func (a accessSet) conflictsWith(other accessSet) []string {
	services := make(map[qhid.Service]bool)
	routes := make(map[qhid.Route]bool)
	addIntersection(services, a.writtenServices, other.writtenServices)
	addIntersection(services, a.writtenServices, other.readServices)
	addIntersection(services, a.readServices, other.writtenServices)
	addIntersection(routes, a.writtenRoutes, other.writtenRoutes)
	var common []string
	for _, name := range slices.Sorted(maps.Keys(services)) {
		common = append(common, fmt.Sprintf("service %q", name))
	}
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		common = append(common, fmt.Sprintf("route %q", name))
	}
	return common
}

// addIntersection adds to common what both have.
func addIntersection[N comparable](common, a, b map[N]bool) {
	for name := range a {
		if b[name] {
			common[name] = true
		}
	}
}
