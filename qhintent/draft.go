package qhintent

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// Result is the outcome of applying intents to a configuration.
type Result struct {
	// Config is valid and in canonical order.
	Config qhconfig.Config
	// ServiceReasons and RouteReasons hold the reasons for the changes of each
	// entry, one per intent.
	ServiceReasons map[qhid.Service][]string
	RouteReasons   map[qhid.Route][]string
}

// draft is a mutable configuration to which intents are applied.
type draft struct {
	services map[qhid.Service]*qhconfig.Service
	routes   map[qhid.Route]*qhconfig.Route
	result   Result
}

// Apply applies the intents to base, which is not changed. The error is of kind
// Refused if an intent cannot be applied or the result is invalid, and of kind
// BadInput for a Rollback, which Apply does not support.
func (f File) Apply(base qhconfig.Config) (Result, error) {
	d := newDraft(base)
	for _, intent := range f.Intents {
		if err := d.applyIntent(intent); err != nil {
			return Result{}, err
		}
		d.addReason(intent, f.Reason)
	}
	d.result.Config = d.config()
	if err := d.checkRemoved(base); err != nil {
		return Result{}, err
	}
	if err := d.result.Config.Check(); err != nil {
		return Result{}, err
	}
	return d.result, nil
}

func newDraft(base qhconfig.Config) *draft {
	d := &draft{
		services: make(map[qhid.Service]*qhconfig.Service, len(base.Services)),
		routes:   make(map[qhid.Route]*qhconfig.Route, len(base.Routes)),
		result:   Result{ServiceReasons: make(map[qhid.Service][]string), RouteReasons: make(map[qhid.Route][]string)},
	}
	base = base.Canonical() // a deep copy
	for i := range base.Services {
		d.services[base.Services[i].Name] = &base.Services[i]
	}
	for i := range base.Routes {
		d.routes[base.Routes[i].Name] = &base.Routes[i]
	}
	return d
}

func (d *draft) config() qhconfig.Config {
	var config qhconfig.Config
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		config.Services = append(config.Services, *d.services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.routes)) {
		config.Routes = append(config.Routes, *d.routes[name])
	}
	return config.Canonical()
}

// addReason records the reason for the change of the intent's entry.
func (d *draft) addReason(intent Intent, reason string) {
	text := intent.String()
	if intent.Verb == Shift && intent.From != "" {
		text += fmt.Sprintf(" by %d%% from %s to %s", intent.Percent, intent.From, intent.To)
	}
	if intent.Reason != "" {
		reason = intent.Reason
	}
	text += ": " + reason
	if intent.Route != "" {
		d.result.RouteReasons[intent.Route] = append(d.result.RouteReasons[intent.Route], text)
		return
	}
	d.result.ServiceReasons[intent.Service] = append(d.result.ServiceReasons[intent.Service], text)
}

// checkRemoved refuses the removal of a service that a route still uses.
func (d *draft) checkRemoved(base qhconfig.Config) error {
	for i := range base.Services {
		name := base.Services[i].Name
		if d.services[name] != nil {
			continue
		}
		if routes := d.result.Config.RoutesOf(name); len(routes) > 0 {
			return qherr.New(qherr.Refused, nil, "remove or shift the routes first, or in the same file",
				"service %q is still used by %s", name, quoteRoutes(routes))
		}
	}
	return nil
}

func quoteRoutes(routes []qhid.Route) string {
	texts := make([]string, len(routes))
	for i, route := range routes {
		texts[i] = fmt.Sprintf("route %q", route)
	}
	return strings.Join(texts, ", ")
}
