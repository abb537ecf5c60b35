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

// touched is what a difference writes and reads of a configuration.
type touched struct {
	// services and routes are added, changed or removed.
	services map[qhid.Service]bool
	routes   map[qhid.Route]bool
	// used are the services that the routes name before or after.
	used map[qhid.Service]bool
}

func touchedBy(base qhconfig.Config, diff qhconfig.Diff) touched {
	t := touched{services: make(map[qhid.Service]bool), routes: make(map[qhid.Route]bool), used: make(map[qhid.Service]bool)}
	for i := range diff.Services {
		t.services[diff.Services[i].Name] = true
	}
	for _, name := range diff.RemovedServices {
		t.services[name] = true
	}
	for i := range diff.Routes {
		t.route(diff.Routes[i].Name, base.FindRoute(diff.Routes[i].Name), &diff.Routes[i])
	}
	for _, name := range diff.RemovedRoutes {
		t.route(name, base.FindRoute(name))
	}
	return t
}

// route notes a route and the services of its states, of which some are nil.
func (t touched) route(name qhid.Route, states ...*qhconfig.Route) {
	t.routes[name] = true
	for _, state := range states {
		if state == nil {
			continue
		}
		for _, share := range state.Shares {
			t.used[share.Service] = true
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
	if p.Back != 0 {
		return qhconfig.Config{}, p.baseGone(version, "it goes back to the whole of an old version")
	}
	plan := touchedBy(base, p.Diff)
	since := touchedBy(base, qhconfig.Compare(base, head))
	if common := plan.inCommon(since); len(common) > 0 {
		return qhconfig.Config{}, p.baseGone(version, "both touch "+strings.Join(common, ", "))
	}
	next := p.Diff.Merge(head)
	if err := next.Check(); err != nil {
		return qhconfig.Config{}, p.baseGone(version, err.Error())
	}
	return next, nil
}

// baseGone is the error of a plan that can't be rebased.
func (p Plan) baseGone(version qhid.Version, why string) error {
	return qherr.New(qherr.Conflict, nil, "make the plan anew and look at what changed",
		"plan %s was made from version %d, and version %d is the newest by now: %s", p.ID, p.Base, version, why)
}

// inCommon names what one side writes and the other writes or reads.
func (t touched) inCommon(other touched) []string {
	services := make(map[qhid.Service]bool)
	routes := make(map[qhid.Route]bool)
	overlap(services, t.services, other.services)
	overlap(services, t.services, other.used)
	overlap(services, t.used, other.services)
	overlap(routes, t.routes, other.routes)
	var common []string
	for _, name := range slices.Sorted(maps.Keys(services)) {
		common = append(common, fmt.Sprintf("service %q", name))
	}
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		common = append(common, fmt.Sprintf("route %q", name))
	}
	return common
}

// overlap adds to common what both have.
func overlap[N comparable](common, a, b map[N]bool) {
	for name := range a {
		if b[name] {
			common[name] = true
		}
	}
}
