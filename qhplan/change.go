package qhplan

import (
	"fmt"
	"strconv"
	"strings"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// Action says what a line does to an entry.
type Action string

// The actions.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// EntryChange is what a plan or a version changes of one service or route.
type EntryChange struct {
	Action  Action       `json:"action"`
	Service qhid.Service `json:"service,omitempty"`
	Route   qhid.Route   `json:"route,omitempty"`
	// Fields are those that change, in the order of the configuration's model.
	Fields []FieldChange `json:"fields,omitempty"`
	// Reasons has the reasons, one for each intent; it is empty where they are
	// not known.
	Reasons []string `json:"why,omitempty"`
}

// FieldChange is one field of an entry before and after; empty where it was not set.
type FieldChange struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Subject names the entry, as in `route "urns"`.
func (l EntryChange) Subject() string {
	if l.Route != "" {
		return fmt.Sprintf("route %q", l.Route)
	}
	return fmt.Sprintf("service %q", l.Service)
}

// changesOf returns what the diff does to base.
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

func actionOf[T any](before *T) Action {
	if before == nil {
		return ActionAdd
	}
	return ActionChange
}

// fieldValue is one field of an entry as operators read it.
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

// serviceFields returns the fields of a service; nil stands for none.
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

// routeFields returns the fields of a route; nil stands for none.
func routeFields(route *qhconfig.Route) []fieldValue {
	repeat := ""
	switch {
	case route == nil:
		route = &qhconfig.Route{}
	case route.Retry == qhconfig.RetryNever:
		repeat = "never"
	default:
		repeat = string(route.Retry)
	}
	return []fieldValue{
		{"host", route.Host},
		{"prefix", route.Prefix},
		{"methods", formatNames(route.Methods)},
		{"shares", formatShares(route.Shares)},
		{"repeat", repeat},
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
