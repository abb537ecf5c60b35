package qhtext

import (
	"fmt"

	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhplan"
)

// Plan writes the changes of a plan with their reach and reasons, and the command
// that confirms it.
func (w *Writer) Plan(plan qhplan.Plan) {
	w.planHeader(plan)
	w.changes(plan.Changes)
	w.reach(plan.Reach)
	w.Line("nothing has changed yet; confirm it with: qhctl confirm %s", plan.ID)
}

func (w *Writer) planHeader(plan qhplan.Plan) {
	w.Field("plan", string(plan.ID))
	w.Field("base", baseText(plan))
	w.Field("author", plan.Author)
	w.Field("time", formatTime(plan.Time))
	w.Field("reason", plan.Reason)
	if plan.RollbackTo != 0 {
		w.Field("back", fmt.Sprintf("to version %d", plan.RollbackTo))
	}
}

func baseText(plan qhplan.Plan) string {
	if plan.Base == 0 {
		return "none, it creates the first version"
	}
	return fmt.Sprintf("version %d", plan.Base)
}

func (w *Writer) changes(changes []qhplan.EntryChange) {
	for _, change := range changes {
		w.Field(string(change.Action), change.Subject())
		for _, field := range change.Fields {
			w.Detail("%s: %s -> %s", field.Name, orUnset(field.Before), orUnset(field.After))
		}
		for _, reason := range change.Reasons {
			w.Detail("why: %s", reason)
		}
	}
}

// orUnset returns the text, or "unset" if it is empty.
func orUnset(text string) string {
	if text == "" {
		return "unset"
	}
	return text
}

func (w *Writer) reach(reach qhplan.Reach) {
	w.Field("services", joinNames(reach.Services))
	if reach.UnknownReason != "" {
		w.Field("reach", "unknown: "+reach.UnknownReason)
		return
	}
	w.Field("reach", fmt.Sprintf("%s, as known to node %s", plural(reach.Nodes, "node"), reach.Node))
	for _, zone := range reach.Zones {
		w.Detail("%s: %s, %s of these services", zone.Zone, plural(zone.Nodes, "node"), plural(zone.Targets, "target"))
	}
}

// Confirmation writes the result of a confirm.
func (w *Writer) Confirmation(confirmed qhplan.Confirmation) {
	switch {
	case confirmed.AlreadyCommitted:
		w.Line("plan %s is already in effect as version %d, nothing was changed", confirmed.Plan, confirmed.Version)
	case confirmed.Version > confirmed.Base+1:
		w.Line("plan %s is in effect as version %d, rebased over %s without conflicts", confirmed.Plan, confirmed.Version,
			plural(int(confirmed.Version-confirmed.Base-1), "version"))
	default:
		w.Line("plan %s is in effect as version %d", confirmed.Plan, confirmed.Version)
	}
	w.Line("wait until it is in force on every node with: qhctl status --wait")
}

// VersionExplanation writes the origin and the changes of a version.
func (w *Writer) VersionExplanation(explanation qhplan.VersionExplanation) {
	w.Field("version", fmt.Sprint(explanation.Version))
	w.Field("plan", string(explanation.Record.Plan))
	if explanation.Plan != nil && explanation.Plan.Author != explanation.Record.Author {
		w.Field("planned", "by "+explanation.Plan.Author)
	}
	w.Field("author", explanation.Record.Author)
	w.Field("time", formatTime(explanation.Record.Time))
	w.Field("reason", explanation.Record.Reason)
	w.Field("digest", string(explanation.Record.ConfigDigest))
	w.changes(explanation.Changes)
	if explanation.Plan == nil {
		w.Field("note", "the plan was pruned, so the reason of each change is not known")
		return
	}
	if len(explanation.RebasedOver) > 0 {
		w.Field("rebased", fmt.Sprintf("from version %d over %s", explanation.Plan.Base, versionRange(explanation.RebasedOver)))
	}
	w.concurrent(explanation.Concurrent)
}

// PlanExplanation writes the changes and the state of a plan.
func (w *Writer) PlanExplanation(explanation qhplan.PlanExplanation) {
	w.planHeader(explanation.Plan)
	switch explanation.State {
	case qhplan.StateCommitted:
		w.Field("state", fmt.Sprintf("in effect as version %d", explanation.Version))
	case qhplan.StateRefused:
		w.Field("state", "can no longer be confirmed: "+explanation.RefusalReason)
	default:
		w.Field("state", fmt.Sprintf("open, the newest version is %d; confirm it with: qhctl confirm %s", explanation.Head, explanation.Plan.ID))
	}
	w.changes(explanation.Plan.Changes)
	w.reach(explanation.Plan.Reach)
	w.concurrent(explanation.Concurrent)
}

func (w *Writer) concurrent(concurrent []qhplan.ConcurrentPlan) {
	for _, plan := range concurrent {
		state := "not known to be in effect"
		if plan.Version != 0 {
			state = fmt.Sprintf("in effect as version %d", plan.Version)
		}
		w.Field("parallel", fmt.Sprintf("plan %s by %s (%s), %s", plan.Plan, plan.Author, plan.Reason, state))
	}
}

func versionRange[T ~uint64](list []T) string {
	if len(list) == 1 {
		return fmt.Sprintf("version %d", list[0])
	}
	return fmt.Sprintf("versions %d to %d", list[0], list[len(list)-1])
}

// History writes a table of versions.
func (w *Writer) History(records []qhhead.Record) {
	if len(records) == 0 {
		w.Line("no version was confirmed yet")
		return
	}
	rows := make([][]string, len(records))
	for i, record := range records {
		rows[i] = []string{fmt.Sprint(record.Version), formatTime(record.Time), record.Author, string(record.Plan), record.Reason}
	}
	w.Table([]string{"version", "time", "author", "plan", "reason"}, rows)
}
