package qhtext

import (
	"fmt"
	"strings"

	"quetzalhaven.dev/qhctl/qhask"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// Node writes the state of a node and its configuration.
func (w *Writer) Node(state qhask.State) {
	w.Field("node", string(state.Node))
	w.Field("zone", string(state.Zone))
	w.Field("build", state.Build)
	w.Field("started", formatTime(state.Started))
	w.Field("state", string(state.State))
	w.Field("ready", state.Ready)
	if state.Config.Version == 0 {
		w.Field("holds", "no version")
	} else {
		w.Field("holds", fmt.Sprintf("version %d with %s and %s, digest %s", state.Config.Version,
			plural(state.Config.Services, "service"), plural(state.Config.Routes, "route"), state.Config.Digest))
	}
	for _, problem := range state.Config.Problems {
		w.Field("repaired", problem.String())
	}
	for _, refused := range state.Config.Refusals {
		w.Field("refuses", fmt.Sprintf("version %d: %s", refused.Version, refused.Reason))
	}
}

// Decisions writes the decisions of a node about a call.
func (w *Writer) Decisions(request qhid.Request, node qhid.Address, decisions []qhask.Decision) {
	if len(decisions) == 0 {
		w.Line("node %s has no decision about request %s; query the node that received the call, which keeps only the newest decisions", node, request)
		return
	}
	w.Field("request", string(request))
	for _, decision := range decisions {
		w.Field(string(decision.Kind), decisionText(decision))
	}
}

// decisionText describes a decision on one line.
func decisionText(d qhask.Decision) string {
	parts := []string{formatTime(d.Time)}
	add := func(format, value string) {
		if value != "" {
			parts = append(parts, fmt.Sprintf(format, value))
		}
	}
	add("%s", string(d.Reason))
	add("(%s)", d.Outcome)
	if d.Version != 0 {
		parts = append(parts, fmt.Sprintf("on version %d", d.Version))
	}
	add("route %s", string(d.Route))
	add("service %s", string(d.Service))
	add("target %s", string(d.Target))
	add("rather than %s", string(d.RunnerUp))
	add("at node %s", string(d.Node))
	if d.Attempt > 1 {
		parts = append(parts, fmt.Sprintf("attempt %d", d.Attempt))
	}
	add("%s", d.Detail)
	return strings.Join(parts, " ")
}

// Members writes a table of the members that a node knows.
func (w *Writer) Members(members []qhmember.Entry) {
	rows := make([][]string, len(members))
	for i, member := range members {
		rows[i] = []string{string(member.Node), string(member.Zone), string(member.State), string(member.PeerAddress), targetList(member)}
	}
	w.Table([]string{"node", "zone", "state", "peers", "targets"}, rows)
}

func targetList(member qhmember.Entry) string {
	if len(member.Targets) == 0 {
		return "-"
	}
	texts := make([]string, len(member.Targets))
	for i, target := range member.Targets {
		texts[i] = fmt.Sprintf("%s (%s, %s)", target.ID, target.Service, target.State)
	}
	return strings.Join(texts, ", ")
}
