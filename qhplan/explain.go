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

// Story tells how a version came to be.
type Story struct {
	Version qhid.Version `json:"version"`
	// Record has who confirmed it, when and why.
	Record qhhead.Record `json:"record"`
	// Lines tell what it changed.
	Lines []Line `json:"lines"`
	// Plan is the plan that made it, nil where it is not kept any more.
	Plan *Plan `json:"plan,omitempty"`
	// Over are the versions that the plan was rebased over, oldest first.
	Over []qhid.Version `json:"over,omitempty"`
	// Rivals are the other plans that were made from the plan's base.
	Rivals []Rival `json:"rivals,omitempty"`
}

// Rival is a plan that raced another.
type Rival struct {
	Plan   qhid.Plan `json:"plan"`
	Author string    `json:"author"`
	Reason string    `json:"reason"`
	Time   time.Time `json:"time"`
	// Version is the one that it made, 0 where it is not known to be in effect.
	Version qhid.Version `json:"version,omitempty"`
}

// State says what became of a plan.
type State string

// The states of a plan.
const (
	// Open can be confirmed, as the head stands now.
	Open State = "open"
	// InEffect has made a version.
	InEffect State = "in effect"
	// Refused can't be confirmed any more; a new plan has to be made.
	Refused State = "refused"
)

// Fate tells what became of a plan.
type Fate struct {
	Plan  Plan  `json:"plan"`
	State State `json:"state"`
	// Why tells why it would be refused.
	Why string `json:"why,omitempty"`
	// Head is the newest version.
	Head qhid.Version `json:"head"`
	// Version is the one that it made, 0 for none.
	Version qhid.Version `json:"version,omitempty"`
	Rivals  []Rival      `json:"rivals,omitempty"`
}

// ExplainVersion tells who made a version, when and why, what it changed, from
// which plan, and what raced it.
func (p *Planner) ExplainVersion(ctx context.Context, version qhid.Version) (Story, error) {
	head, err := p.chain.Read(ctx)
	if err != nil {
		return Story{}, err
	}
	made, record, err := p.find(ctx, head, version)
	if err != nil {
		return Story{}, err
	}
	story := Story{Version: version, Record: record}
	if story.Lines, err = p.linesOf(ctx, made, record); err != nil {
		return Story{}, err
	}
	plan, err := p.Get(ctx, record.Plan)
	if qherr.Is(err, qherr.NotFound) {
		return story, nil
	}
	if err != nil {
		return Story{}, err
	}
	story.Plan = &plan
	for over := plan.Base + 1; over < version; over++ {
		story.Over = append(story.Over, over)
	}
	addReasons(story.Lines, plan.Lines)
	story.Rivals, err = p.rivals(ctx, plan)
	return story, err
}

// linesOf returns what a version changed of the one before.
func (p *Planner) linesOf(ctx context.Context, head qhhead.Head, record qhhead.Record) ([]Line, error) {
	before, _, err := p.chain.Load(ctx, qhhead.Head{Version: record.Version - 1, Record: record.Previous})
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
	return linesOf(before, qhconfig.Compare(before, after)), nil
}

// addReasons takes over the reasons of a plan's lines.
func addReasons(lines, plan []Line) {
	reasons := make(map[string][]string, len(plan))
	for _, line := range plan {
		reasons[line.Subject()] = line.Why
	}
	for i := range lines {
		lines[i].Why = reasons[lines[i].Subject()]
	}
}

// ExplainPlan tells what a plan does and what became of it.
func (p *Planner) ExplainPlan(ctx context.Context, id qhid.Plan) (Fate, error) {
	plan, err := p.Get(ctx, id)
	if err != nil {
		return Fate{}, err
	}
	head, err := p.chain.Read(ctx)
	if err != nil {
		return Fate{}, err
	}
	fate := Fate{Plan: plan, State: Open, Head: head.Version}
	if err := p.judge(ctx, plan, head, &fate); err != nil {
		return Fate{}, err
	}
	fate.Rivals, err = p.rivals(ctx, plan)
	return fate, err
}

// judge finds out what became of the plan.
func (p *Planner) judge(ctx context.Context, plan Plan, head qhhead.Head, fate *Fate) error {
	if plan.Done != nil {
		fate.State, fate.Version = InEffect, plan.Done.Version
		return nil
	}
	made, found, err := p.made(ctx, plan, head)
	if found {
		fate.State, fate.Version = InEffect, made.Version
		return nil
	}
	if err == nil {
		_, err = p.next(ctx, plan, head)
	}
	if qherr.Is(err, qherr.Conflict) || qherr.Is(err, qherr.Refused) {
		fate.State, fate.Why = Refused, err.Error()
		return nil
	}
	return err
}

// rivals returns the other plans of the plan's base, the oldest first.
func (p *Planner) rivals(ctx context.Context, plan Plan) ([]Rival, error) {
	plans, err := p.plansOf(ctx, plan.Base)
	if err != nil {
		return nil, err
	}
	var rivals []Rival
	for _, other := range plans {
		if other.ID == plan.ID {
			continue
		}
		rival := Rival{Plan: other.ID, Author: other.Author, Reason: other.Reason, Time: other.Time}
		if other.Done != nil {
			rival.Version = other.Done.Version
		}
		rivals = append(rivals, rival)
	}
	slices.SortStableFunc(rivals, func(a, b Rival) int { return a.Time.Compare(b.Time) })
	return rivals, nil
}

// plansOf returns the plans that were made from a version, ordered by id.
func (p *Planner) plansOf(ctx context.Context, base qhid.Version) ([]Plan, error) {
	objects, err := p.store.List(ctx, rivalPrefix(base))
	if err != nil {
		return nil, err
	}
	plans := make([]Plan, 0, len(objects))
	for _, object := range objects {
		plan, err := qhconfig.Decode[Plan](object.Value)
		if err != nil {
			return nil, qherr.New(qherr.Internal, err, "delete it on the platform", "%s can't be read", object.Key)
		}
		plans = append(plans, plan)
	}
	return plans, nil
}
