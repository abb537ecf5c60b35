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

// accessSet is the set of entries that a diff writes and reads.
type accessSet struct {
	// writtenServices and writtenRoutes are added, changed or removed.
	writtenServices map[qhid.Service]bool
	writtenRoutes   map[qhid.Route]bool
	// readServices are the services that the written routes send calls to
	// before or after the change.
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

// addRoute adds a written route, and as read the services of its states before and
// after the change. A state is nil if the route does not exist then.
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

// rebase applies a plan to a head that is newer than the plan's base. The error
// is of kind Conflict if the plan conflicts with the versions in between.
//
// A plan conflicts if it writes an entry that the newer versions write or read,
// or the reverse. A diff writes the services and routes that it changes, and
// reads the services that these routes send calls to before or after the change.
// Two plans that only read the same service, such as two new routes to it, do
// not conflict. The result is validated like any other configuration.
//
// Refusing every plan with an outdated base would be simpler, but with a change
// every few seconds an operator who reviews a plan for a minute could never
// confirm it. Rebasing whatever still applies and validates would let changes
// through that nobody reviewed: a share shifted to a service whose slots were
// reduced in the meantime is valid. Comparing write and read sets keeps every
// change of the plan, and the services it depends on, as the operator saw them.
// A rollback is never rebased, since it promises exactly the old content.
func (p Plan) rebase(base, head qhconfig.Config, version qhid.Version) (qhconfig.Config, error) {
	if p.RollbackTo != 0 {
		return qhconfig.Config{}, p.conflictError(version, "it rolls back to the full content of an old version")
	}
	planned := accessSetOf(base, p.Diff)
	committed := accessSetOf(base, qhconfig.Compare(base, head))
	if common := planned.conflictsWith(committed); len(common) > 0 {
		return qhconfig.Config{}, p.conflictError(version, "both write or read "+strings.Join(common, ", "))
	}
	next := p.Diff.Merge(head)
	if err := next.Check(); err != nil {
		return qhconfig.Config{}, p.conflictError(version, err.Error())
	}
	return next, nil
}

// conflictError returns the error of a plan that cannot be rebased onto version.
func (p Plan) conflictError(version qhid.Version, reason string) error {
	return qherr.New(qherr.Conflict, nil, "make a new plan from the newest version and review what changed",
		"plan %s was made from version %d, but the newest version is %d: %s", p.ID, p.Base, version, reason)
}

// conflictsWith returns the entries that one side writes and the other writes or
// reads, services first, ordered by name.
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

// addIntersection adds the names that are in both a and b to common.
func addIntersection[N comparable](common, a, b map[N]bool) {
	for name := range a {
		if b[name] {
			common[name] = true
		}
	}
}
