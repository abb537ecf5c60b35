package qhtext

import (
	"fmt"

	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhplan"
)

// Plan writes what a plan does, where and why, and how to confirm it.
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
		return "none, it makes the first version"
	}
	return fmt.Sprintf("version %d", plan.Base)
}

func (w *Writer) changes(lines []qhplan.EntryChange) {
	for _, line := range lines {
		w.Field(string(line.Action), line.Subject())
		for _, field := range line.Fields {
			w.Detail("%s: %s -> %s", field.Name, orUnset(field.Before), orUnset(field.After))
		}
		for _, why := range line.Reasons {
			w.Detail("why: %s", why)
		}
	}
}

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
	w.Field("reach", fmt.Sprintf("%s, as node %s knows them", plural(reach.Nodes, "node"), reach.Node))
	for _, zone := range reach.Zones {
		w.Detail("%s: %s, %s of these services", zone.Zone, plural(zone.Nodes, "node"), plural(zone.Targets, "target"))
	}
}

// Confirmation writes what became of a confirm.
func (w *Writer) Confirmation(confirmed qhplan.Confirmation) {
	switch {
	case confirmed.AlreadyInEffect:
		w.Line("plan %s is version %d already, nothing was changed", confirmed.Plan, confirmed.Version)
	case confirmed.Version > confirmed.Base+1:
		w.Line("plan %s is version %d, rebased over %s that touched nothing of it", confirmed.Plan, confirmed.Version,
			plural(int(confirmed.Version-confirmed.Base-1), "version"))
	default:
		w.Line("plan %s is version %d", confirmed.Plan, confirmed.Version)
	}
	w.Line("see how far it is in force with: qhctl status --wait")
}

// VersionExplanation writes how a version came to be.
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
		w.Field("note", "the plan is not kept any more, so that the reason of each line is not known")
		return
	}
	if len(explanation.RebasedOver) > 0 {
		w.Field("rebased", fmt.Sprintf("from version %d over %s", explanation.Plan.Base, versionRange(explanation.RebasedOver)))
	}
	w.concurrent(explanation.Concurrent)
}

// PlanExplanation writes what a plan does and what became of it.
func (w *Writer) PlanExplanation(explanation qhplan.PlanExplanation) {
	w.planHeader(explanation.Plan)
	switch explanation.State {
	case qhplan.StateInEffect:
		w.Field("state", fmt.Sprintf("in effect as version %d", explanation.Version))
	case qhplan.StateRefused:
		w.Field("state", "can't be confirmed any more: "+explanation.RefusalReason)
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
		w.Field("raced by", fmt.Sprintf("%s of %s (%s), %s", plan.Plan, plan.Author, plan.Reason, state))
	}
}

func versionRange[T ~uint64](list []T) string {
	if len(list) == 1 {
		return fmt.Sprintf("version %d", list[0])
	}
	return fmt.Sprintf("versions %d to %d", list[0], list[len(list)-1])
}

// History writes the newest versions.
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
