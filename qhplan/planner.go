package qhplan

import (
	"context"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhintent"
	"quetzalhaven.dev/qhplatform"
)

// Options configures a Planner.
type Options struct {
	Store qhplatform.Store
	Chain *qhhead.Chain
	// Reach queries a node for the reach of a plan; nil leaves the reach unknown.
	Reach ReachFunc
	// Now returns the current time; nil uses time.Now.
	Now func() time.Time
	// NewID generates plan ids; nil generates random ones.
	NewID func(base qhid.Version) qhid.Plan
}

// Planner creates, confirms, explains and prunes plans.
type Planner struct {
	store qhplatform.Store
	chain *qhhead.Chain
	reach ReachFunc
	now   func() time.Time
	newID func(base qhid.Version) qhid.Plan
}

// New returns a Planner.
func New(options Options) *Planner {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewID == nil {
		options.NewID = newPlanID
	}
	return &Planner{store: options.Store, chain: options.Chain, reach: options.Reach, now: options.Now, newID: options.NewID}
}

// Plan applies the intents to the newest version and stores the result as a plan
// on the platform. The configuration in force does not change.
func (p *Planner) Plan(ctx context.Context, author string, intents qhintent.File) (Plan, error) {
	head, err := p.chain.ReadHead(ctx)
	if err != nil {
		return Plan{}, planError(err)
	}
	base, _, err := p.chain.Load(ctx, head)
	if err != nil {
		return Plan{}, planError(err)
	}
	result, err := p.applyIntents(ctx, head, base, intents)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{
		ID:               p.newID(head.Version),
		Base:             head.Version,
		BaseRecordDigest: head.RecordDigest,
		Author:           author,
		Reason:           intents.Reason,
		Time:             p.now().UTC(),
		RollbackTo:       intents.RollbackVersion(),
		Diff:             qhconfig.Compare(base, result.Config),
	}
	if plan.Diff.Empty() {
		return Plan{}, qherr.New(qherr.Refused, nil, "there is nothing to confirm", "the intents do not change version %d", head.Version)
	}
	plan.Diff.Base, plan.Diff.Next = head.Version, head.Version+1
	plan.Changes = withReasons(changesOf(base, plan.Diff), result)
	plan.Reach = reachOfDiff(ctx, p.reach, base, plan.Diff)
	return plan, p.save(ctx, plan)
}

// planError replaces an error of kind Unavailable by one that states that no plan
// was made.
func planError(err error) error {
	if !qherr.Is(err, qherr.Unavailable) {
		return err
	}
	return qherr.New(qherr.Unavailable, err, "nothing was planned, plan again when the platform is available", "the newest version cannot be read")
}

// applyIntents applies the intents to base, or returns the rollback if they
// contain one.
func (p *Planner) applyIntents(ctx context.Context, head qhhead.Head, base qhconfig.Config, intents qhintent.File) (qhintent.Result, error) {
	if version := intents.RollbackVersion(); version != 0 {
		return p.rollback(ctx, head, base, version, intents.Reason)
	}
	return intents.Apply(base)
}

// withReasons sets the reasons of the intents in the changes and returns them.
func withReasons(changes []EntryChange, result qhintent.Result) []EntryChange {
	for i := range changes {
		if changes[i].Route != "" {
			changes[i].Reasons = result.RouteReasons[changes[i].Route]
			continue
		}
		changes[i].Reasons = result.ServiceReasons[changes[i].Service]
	}
	return changes
}

// maxWriteAttempts limits the attempts to write a plan.
const maxWriteAttempts = 4

// save writes the plan. If the response to a write was lost, it reads the plan
// back to find out whether the write succeeded.
func (p *Planner) save(ctx context.Context, plan Plan) error {
	data, err := encode(plan)
	if err != nil {
		return err
	}
	for range maxWriteAttempts {
		_, err = p.store.Create(ctx, planKey(plan.ID), data)
		if err == nil {
			return nil
		}
		if !qherr.Is(err, qherr.Unknown) && !qherr.Is(err, qherr.Conflict) {
			break
		}
		var stored Plan
		if stored, err = p.Get(ctx, plan.ID); err == nil && stored.Diff.Digest == plan.Diff.Digest {
			return nil
		}
	}
	if qherr.Is(err, qherr.BadInput) {
		return qherr.New(qherr.Refused, err, "split the intents into several files", "the plan is too large")
	}
	return qherr.New(qherr.Unavailable, err, "nothing was changed, plan again when the platform is available", "the plan was not stored")
}

// Get returns the plan with the id. The error is of kind BadInput if id is not a
// plan id, and NotFound if there is no such plan.
func (p *Planner) Get(ctx context.Context, id qhid.Plan) (Plan, error) {
	plan, _, err := p.get(ctx, id)
	return plan, err
}

func (p *Planner) get(ctx context.Context, id qhid.Plan) (Plan, qhplatform.Revision, error) {
	if !IsID(string(id)) {
		return Plan{}, 0, qherr.New(qherr.BadInput, nil, "use the id that qhctl plan prints, as in p12-0123456789ab", "%q is not a plan id", string(id))
	}
	object, err := p.store.Get(ctx, planKey(id))
	if qherr.Is(err, qherr.NotFound) {
		return Plan{}, 0, qherr.New(qherr.NotFound, nil, "create one with qhctl plan -f INTENT", "plan %s does not exist", id)
	}
	if err != nil {
		return Plan{}, 0, err
	}
	plan, err := decode(object.Value)
	if err != nil {
		return Plan{}, 0, qherr.New(qherr.Internal, err, "make a new plan", "plan %s on the platform cannot be decoded", id)
	}
	return plan, object.Revision, nil
}
