package qhplan

import (
	"context"
	"slices"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
)

// VersionExplanation describes who created a version, from which plan and why.
type VersionExplanation struct {
	Version qhid.Version `json:"version"`
	// Record holds who confirmed the version, when and why.
	Record qhhead.Record `json:"record"`
	// Changes are the differences from the previous version; nil if that version
	// was pruned.
	Changes []EntryChange `json:"lines"`
	// Plan is the plan that created the version; nil if it was pruned.
	Plan *Plan `json:"plan,omitempty"`
	// RebasedOver lists the versions that the plan was rebased over, oldest first.
	RebasedOver []qhid.Version `json:"over,omitempty"`
	// Concurrent lists the other plans that were made from the plan's base.
	Concurrent []ConcurrentPlan `json:"concurrent,omitempty"`
}

// ConcurrentPlan is a plan that was made from the same base as another.
type ConcurrentPlan struct {
	Plan   qhid.Plan `json:"plan"`
	Author string    `json:"author"`
	Reason string    `json:"reason"`
	Time   time.Time `json:"time"`
	// Version is the version that the plan created, 0 if it is not known to be
	// committed.
	Version qhid.Version `json:"version,omitempty"`
}

// State is the state of a plan.
type State string

// The states of a plan.
const (
	// StateOpen is a plan that can be confirmed onto the current head.
	StateOpen State = "open"
	// StateCommitted is a plan that has created a version. The version need not
	// be in force on every node yet.
	StateCommitted State = "in effect"
	// StateRefused is a plan that can no longer be confirmed; a new one is needed.
	StateRefused State = "refused"
)

// PlanExplanation describes the state of a plan.
type PlanExplanation struct {
	Plan  Plan  `json:"plan"`
	State State `json:"state"`
	// RefusalReason is why a confirm would be refused; set in StateRefused.
	RefusalReason string `json:"why,omitempty"`
	// Head is the newest version.
	Head qhid.Version `json:"head"`
	// Version is the version that the plan created, 0 for none.
	Version    qhid.Version     `json:"version,omitempty"`
	Concurrent []ConcurrentPlan `json:"concurrent,omitempty"`
}

// ExplainVersion returns who created a version, when and why, what it changed,
// its plan, and the concurrent plans. The error is of kind NotFound if the
// version does not exist or was pruned.
func (p *Planner) ExplainVersion(ctx context.Context, version qhid.Version) (VersionExplanation, error) {
	head, err := p.chain.ReadHead(ctx)
	if err != nil {
		return VersionExplanation{}, err
	}
	versionHead, record, err := p.findVersion(ctx, head, version)
	if err != nil {
		return VersionExplanation{}, err
	}
	explanation := VersionExplanation{Version: version, Record: record}
	if explanation.Changes, err = p.changesInVersion(ctx, versionHead, record); err != nil {
		return VersionExplanation{}, err
	}
	plan, err := p.Get(ctx, record.Plan)
	if qherr.Is(err, qherr.NotFound) {
		return explanation, nil
	}
	if err != nil {
		return VersionExplanation{}, err
	}
	explanation.Plan = &plan
	for rebasedOver := plan.Base + 1; rebasedOver < version; rebasedOver++ {
		explanation.RebasedOver = append(explanation.RebasedOver, rebasedOver)
	}
	copyReasons(explanation.Changes, plan.Changes)
	explanation.Concurrent, err = p.concurrentPlans(ctx, plan)
	return explanation, err
}

// changesInVersion returns the differences between a version and the previous
// one, or nil if the previous one was pruned.
func (p *Planner) changesInVersion(ctx context.Context, head qhhead.Head, record qhhead.Record) ([]EntryChange, error) {
	before, _, err := p.chain.Load(ctx, qhhead.Head{Version: record.Version - 1, RecordDigest: record.PreviousDigest})
	if qherr.Is(err, qherr.NotFound) {
		return nil, nil // pruned
	}
	if err != nil {
		return nil, err
	}
	after, _, err := p.chain.Load(ctx, head)
	if err != nil {
		return nil, err
	}
	return changesOf(before, qhconfig.Compare(before, after)), nil
}

// copyReasons copies the reasons of the plan's changes to the changes of the
// same entries.
func copyReasons(changes, planned []EntryChange) {
	reasons := make(map[string][]string, len(planned))
	for _, change := range planned {
		reasons[change.Subject()] = change.Reasons
	}
	for i := range changes {
		changes[i].Reasons = reasons[changes[i].Subject()]
	}
}

// ExplainPlan returns a plan and its state.
func (p *Planner) ExplainPlan(ctx context.Context, id qhid.Plan) (PlanExplanation, error) {
	plan, err := p.Get(ctx, id)
	if err != nil {
		return PlanExplanation{}, err
	}
	head, err := p.chain.ReadHead(ctx)
	if err != nil {
		return PlanExplanation{}, err
	}
	explanation := PlanExplanation{Plan: plan, State: StateOpen, Head: head.Version}
	if err := p.resolveState(ctx, plan, head, &explanation); err != nil {
		return PlanExplanation{}, err
	}
	explanation.Concurrent, err = p.concurrentPlans(ctx, plan)
	return explanation, err
}

// resolveState sets the state of the plan and, where they apply, the version
// that it created or the reason why it would be refused.
func (p *Planner) resolveState(ctx context.Context, plan Plan, head qhhead.Head, explanation *PlanExplanation) error {
	if plan.Committed != nil {
		explanation.State, explanation.Version = StateCommitted, plan.Committed.Version
		return nil
	}
	committed, found, err := p.findCommitted(ctx, plan, head, maxHistoryReads)
	if found {
		explanation.State, explanation.Version = StateCommitted, committed.Version
		return nil
	}
	if err == nil {
		_, err = p.configAfter(ctx, plan, head)
	}
	if qherr.Is(err, qherr.Conflict) || qherr.Is(err, qherr.Refused) {
		explanation.State, explanation.RefusalReason = StateRefused, err.Error()
		return nil
	}
	return err
}

// concurrentPlans returns the other plans made from the plan's base, oldest
// first.
func (p *Planner) concurrentPlans(ctx context.Context, plan Plan) ([]ConcurrentPlan, error) {
	plans, err := p.plansFromBase(ctx, plan.Base)
	if err != nil {
		return nil, err
	}
	var concurrent []ConcurrentPlan
	for _, other := range plans {
		if other.ID == plan.ID {
			continue
		}
		concurrentPlan := ConcurrentPlan{Plan: other.ID, Author: other.Author, Reason: other.Reason, Time: other.Time}
		if other.Committed != nil {
			concurrentPlan.Version = other.Committed.Version
		}
		concurrent = append(concurrent, concurrentPlan)
	}
	slices.SortStableFunc(concurrent, func(a, b ConcurrentPlan) int { return a.Time.Compare(b.Time) })
	return concurrent, nil
}

// plansFromBase returns the plans that were made from a version, ordered by id.
func (p *Planner) plansFromBase(ctx context.Context, base qhid.Version) ([]Plan, error) {
	objects, err := p.store.List(ctx, baseKeyPrefix(base))
	if err != nil {
		return nil, err
	}
	plans := make([]Plan, 0, len(objects))
	for _, object := range objects {
		plan, err := decode(object.Value)
		if err != nil {
			return nil, qherr.New(qherr.Internal, err, "delete it on the platform", "%s cannot be read", object.Key)
		}
		plans = append(plans, plan)
	}
	return plans, nil
}
