package qhintent

import (
	"slices"
	"strings"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

func (d *draft) applyIntent(intent Intent) error {
	switch {
	case intent.Verb == Rollback:
		return qherr.New(qherr.BadInput, nil, "plan the rollback in a file of its own", "%s cannot be applied to a configuration", intent)
	case intent.Route != "":
		return d.applyToRoute(intent)
	default:
		return d.applyToService(intent)
	}
}

func (d *draft) applyToService(intent Intent) error {
	service := d.services[intent.Service]
	if (service != nil) == (intent.Verb == Add) {
		return existenceError(intent, service != nil, knownNames(d.services))
	}
	switch intent.Verb {
	case Remove:
		delete(d.services, intent.Service)
		return nil
	case Retire:
		service.Retired = union(service.Retired, intent.Targets)
		return nil
	case Unretire:
		return applyUnretire(service, intent)
	case Add:
		service = &qhconfig.Service{Name: intent.Service}
		d.services[intent.Service] = service
	}
	setIfGiven(&service.Slots, intent.Slots)
	setIfGiven(&service.MaxQueue, intent.MaxQueue)
	setIfGiven(&service.MaxConnections, intent.MaxConnections)
	return nil
}

func (d *draft) applyToRoute(intent Intent) error {
	route := d.routes[intent.Route]
	if (route != nil) == (intent.Verb == Add) {
		return existenceError(intent, route != nil, knownNames(d.routes))
	}
	switch intent.Verb {
	case Remove:
		delete(d.routes, intent.Route)
		return nil
	case Shift:
		return applyShift(route, intent)
	case Add:
		route = &qhconfig.Route{Name: intent.Route}
		d.routes[intent.Route] = route
	}
	setRoute(route, intent)
	return nil
}

func setRoute(route *qhconfig.Route, intent Intent) {
	setIfGiven(&route.Host, intent.Host)
	setIfGiven(&route.Prefix, intent.Prefix)
	setIfGiven(&route.Timeout, intent.Timeout)
	setIfGiven(&route.FirstByteTimeout, intent.FirstByteTimeout)
	setIfGiven(&route.MaxBodyBytes, intent.MaxBodyBytes)
	if intent.Methods != nil {
		route.Methods = intent.Methods
	}
	if intent.Shares != nil {
		route.Shares = slices.Clone(intent.Shares)
	}
	if intent.Retry != nil {
		route.Retry = retryPolicyOf(*intent.Retry)
	}
}

// retryPolicyOf returns the retry policy for a word in an intent. Unknown words
// are reported by the validation of the configuration.
func retryPolicyOf(word string) qhconfig.RetryPolicy {
	if word == "never" {
		return qhconfig.RetryNever
	}
	return qhconfig.RetryPolicy(word)
}

// applyShift moves percentage points between two services of a route, or replaces
// all its shares.
func applyShift(route *qhconfig.Route, intent Intent) error {
	if intent.Shares != nil {
		route.Shares = slices.Clone(intent.Shares)
		return nil
	}
	from := slices.IndexFunc(route.Shares, func(s qhconfig.Share) bool { return s.Service == intent.From })
	if from < 0 || route.Shares[from].Percent < intent.Percent {
		return qherr.New(qherr.Refused, nil, "shift at most its share", "%s: service %q has a share of %d%%, less than %d%%",
			intent, intent.From, percentOf(route, from), intent.Percent)
	}
	to := slices.IndexFunc(route.Shares, func(s qhconfig.Share) bool { return s.Service == intent.To })
	if to < 0 {
		route.Shares = append(route.Shares, qhconfig.Share{Service: intent.To})
		to = len(route.Shares) - 1
	}
	route.Shares[from].Percent -= intent.Percent
	route.Shares[to].Percent += intent.Percent
	route.Shares = slices.DeleteFunc(route.Shares, func(s qhconfig.Share) bool { return s.Percent == 0 })
	return nil
}

// percentOf returns the percentage of the share with the index, or 0 if the index
// is negative.
func percentOf(route *qhconfig.Route, index int) qhid.Percent {
	if index < 0 {
		return 0
	}
	return route.Shares[index].Percent
}

func applyUnretire(service *qhconfig.Service, intent Intent) error {
	for _, target := range intent.Targets {
		if !slices.Contains(service.Retired, target) {
			return qherr.New(qherr.Refused, nil, "remove it from the targets", "%s: target %q is not retired", intent, target)
		}
	}
	service.Retired = slices.DeleteFunc(service.Retired, func(target qhid.Target) bool {
		return slices.Contains(intent.Targets, target)
	})
	return nil
}

// existenceError returns the error of adding an entry that exists, or of another
// intent about one that does not.
func existenceError(intent Intent, exists bool, known []string) error {
	if exists {
		return qherr.New(qherr.Refused, nil, `use "change", or another name`, "%s: it already exists", intent)
	}
	remedy := "add it first"
	if len(known) > 0 {
		remedy += ", or use one of " + strings.Join(known, ", ")
	}
	return qherr.New(qherr.Refused, nil, remedy, "%s: it does not exist", intent)
}

// maxListedNames limits the names that a remedy lists.
const maxListedNames = 10

// knownNames returns the sorted names of the entries, at most maxListedNames of
// them.
func knownNames[N ~string, T any](entries map[N]*T) []string {
	known := make([]string, 0, len(entries))
	for name := range entries {
		known = append(known, string(name))
	}
	slices.Sort(known)
	if len(known) > maxListedNames {
		known = append(known[:maxListedNames], "...")
	}
	return known
}

// union returns the sorted targets of a and b without duplicates.
func union(a, b []qhid.Target) []qhid.Target {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// setIfGiven sets the field unless value is nil.
func setIfGiven[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}
