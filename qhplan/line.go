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

// Line is what a plan or a version changes of one service or route.
type Line struct {
	Action  Action       `json:"action"`
	Service qhid.Service `json:"service,omitempty"`
	Route   qhid.Route   `json:"route,omitempty"`
	// Fields are those that change, in the order of the configuration's model.
	Fields []Field `json:"fields,omitempty"`
	// Why has the reasons, one for each intent; it is empty where they are
	// not known.
	Why []string `json:"why,omitempty"`
}

// Field is one field of an entry before and after; empty where it was not set.
type Field struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Subject names the entry, as in `route "urns"`.
func (l Line) Subject() string {
	if l.Route != "" {
		return fmt.Sprintf("route %q", l.Route)
	}
	return fmt.Sprintf("service %q", l.Service)
}

// linesOf returns what the diff does to base.
func linesOf(base qhconfig.Config, diff qhconfig.Diff) []Line {
	var lines []Line
	for i := range diff.Services {
		after := &diff.Services[i]
		before := base.FindService(after.Name)
		lines = append(lines, Line{Action: actionOf(before), Service: after.Name, Fields: changedFields(serviceFields(before), serviceFields(after))})
	}
	for _, name := range diff.RemovedServices {
		lines = append(lines, Line{Action: ActionRemove, Service: name, Fields: changedFields(serviceFields(base.FindService(name)), serviceFields(nil))})
	}
	for i := range diff.Routes {
		after := &diff.Routes[i]
		before := base.FindRoute(after.Name)
		lines = append(lines, Line{Action: actionOf(before), Route: after.Name, Fields: changedFields(routeFields(before), routeFields(after))})
	}
	for _, name := range diff.RemovedRoutes {
		lines = append(lines, Line{Action: ActionRemove, Route: name, Fields: changedFields(routeFields(base.FindRoute(name)), routeFields(nil))})
	}
	return lines
}

func actionOf[T any](before *T) Action {
	if before == nil {
		return ActionAdd
	}
	return ActionChange
}

// value is one field of an entry as operators read it.
type value struct{ name, text string }

func changedFields(before, after []value) []Field {
	var fields []Field
	for i := range before {
		if before[i].text != after[i].text {
			fields = append(fields, Field{Name: before[i].name, Before: before[i].text, After: after[i].text})
		}
	}
	return fields
}

// serviceFields returns the fields of a service; nil stands for none.
func serviceFields(service *qhconfig.Service) []value {
	if service == nil {
		service = &qhconfig.Service{}
	}
	return []value{
		{"slots", number(service.Slots)},
		{"queue", number(service.MaxQueue)},
		{"connections", number(service.MaxConnections)},
		{"retired", list(service.Retired)},
	}
}

// routeFields returns the fields of a route; nil stands for none.
func routeFields(route *qhconfig.Route) []value {
	repeat := ""
	switch {
	case route == nil:
		route = &qhconfig.Route{}
	case route.Retry == qhconfig.RetryNever:
		repeat = "never"
	default:
		repeat = string(route.Retry)
	}
	return []value{
		{"host", route.Host},
		{"prefix", route.Prefix},
		{"methods", list(route.Methods)},
		{"shares", shares(route.Shares)},
		{"repeat", repeat},
		{"timeout", duration(route.Timeout)},
		{"silence", duration(route.FirstByteTimeout)},
		{"body", number(int(route.MaxBodyBytes))},
	}
}

func number(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func duration(d qhconfig.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func list[T ~string](values []T) string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = string(value)
	}
	return strings.Join(texts, " ")
}

func shares(values []qhconfig.Share) string {
	texts := make([]string, len(values))
	for i, share := range values {
		texts[i] = fmt.Sprintf("%s %d%%", share.Service, share.Percent)
	}
	return strings.Join(texts, ", ")
}
