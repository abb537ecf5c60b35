package qhplan

import (
	"fmt"
	"strconv"
	"strings"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// Action is how an entry changes.
type Action string

// The actions.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// EntryChange is the change of one service or route by a plan or a version.
// Exactly one of Service and Route is set.
type EntryChange struct {
	Action  Action       `json:"action"`
	Service qhid.Service `json:"service,omitempty"`
	Route   qhid.Route   `json:"route,omitempty"`
	// Fields are the fields that change, in the order of the configuration types.
	Fields []FieldChange `json:"fields,omitempty"`
	// Reasons has one reason for each intent; empty if they are not known.
	Reasons []string `json:"why,omitempty"`
}

// FieldChange holds the value of a field before and after a change; the empty
// string means unset.
type FieldChange struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Subject returns the kind and name of the entry, as in `route "urns"`.
func (c EntryChange) Subject() string {
	if c.Route != "" {
		return fmt.Sprintf("route %q", c.Route)
	}
	return fmt.Sprintf("service %q", c.Service)
}

// changesOf returns the changes that the diff makes to base.
func changesOf(base qhconfig.Config, diff qhconfig.Diff) []EntryChange {
	var changes []EntryChange
	for i := range diff.Services {
		after := &diff.Services[i]
		before := base.FindService(after.Name)
		changes = append(changes, EntryChange{Action: actionOf(before), Service: after.Name, Fields: changedFields(serviceFields(before), serviceFields(after))})
	}
	for _, name := range diff.RemovedServices {
		changes = append(changes, EntryChange{Action: ActionRemove, Service: name, Fields: changedFields(serviceFields(base.FindService(name)), serviceFields(nil))})
	}
	for i := range diff.Routes {
		after := &diff.Routes[i]
		before := base.FindRoute(after.Name)
		changes = append(changes, EntryChange{Action: actionOf(before), Route: after.Name, Fields: changedFields(routeFields(before), routeFields(after))})
	}
	for _, name := range diff.RemovedRoutes {
		changes = append(changes, EntryChange{Action: ActionRemove, Route: name, Fields: changedFields(routeFields(base.FindRoute(name)), routeFields(nil))})
	}
	return changes
}

// actionOf returns the action for an entry that exists after the change; before is
// nil if it did not exist earlier.
func actionOf[T any](before *T) Action {
	if before == nil {
		return ActionAdd
	}
	return ActionChange
}

// fieldValue is one field of an entry as shown to operators.
type fieldValue struct{ name, text string }

func changedFields(before, after []fieldValue) []FieldChange {
	var fields []FieldChange
	for i := range before {
		if before[i].text != after[i].text {
			fields = append(fields, FieldChange{Name: before[i].name, Before: before[i].text, After: after[i].text})
		}
	}
	return fields
}

// serviceFields returns the fields of a service; all are unset if it is nil.
func serviceFields(service *qhconfig.Service) []fieldValue {
	if service == nil {
		service = &qhconfig.Service{}
	}
	return []fieldValue{
		{"slots", formatNumber(service.Slots)},
		{"queue", formatNumber(service.MaxQueue)},
		{"connections", formatNumber(service.MaxConnections)},
		{"retired", formatNames(service.Retired)},
	}
}

// routeFields returns the fields of a route; all are unset if it is nil.
func routeFields(route *qhconfig.Route) []fieldValue {
	retryPolicy := ""
	switch {
	case route == nil:
		route = &qhconfig.Route{}
	case route.Retry == qhconfig.RetryNever:
		retryPolicy = "never"
	default:
		retryPolicy = string(route.Retry)
	}
	return []fieldValue{
		{"host", route.Host},
		{"prefix", route.Prefix},
		{"methods", formatNames(route.Methods)},
		{"shares", formatShares(route.Shares)},
		{"unavailable", formatFlag(route.Unavailable)},
		{"repeat", retryPolicy},
		{"timeout", formatDuration(route.Timeout)},
		{"silence", formatDuration(route.FirstByteTimeout)},
		{"body", formatNumber(int(route.MaxBodyBytes))},
	}
}

func formatNumber(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func formatFlag(set bool) string {
	if !set {
		return ""
	}
	return "yes"
}

func formatDuration(d qhconfig.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func formatNames[T ~string](values []T) string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = string(value)
	}
	return strings.Join(texts, " ")
}

func formatShares(values []qhconfig.Share) string {
	texts := make([]string, len(values))
	for i, share := range values {
		texts[i] = fmt.Sprintf("%s %d%%", share.Service, share.Percent)
	}
	return strings.Join(texts, ", ")
}
