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

// Options are the parts that a Planner uses.
type Options struct {
	Store qhplatform.Store
	Chain *qhhead.Chain
	// Reach may be nil, which leaves the reach of plans unknown.
	Reach ReachFunc
	// Now is the clock; nil for the system's.
	Now func() time.Time
	// NewID makes the ids of plans; nil for random ones.
	NewID func(base qhid.Version) qhid.Plan
}

// Planner makes and confirms plans.
type Planner struct {
	store qhplatform.Store
	chain *qhhead.Chain
	reach ReachFunc
	now   func() time.Time
	newID func(base qhid.Version) qhid.Plan
}

// New returns a planner.
func New(options Options) *Planner {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewID == nil {
		options.NewID = newPlanID
	}
	return &Planner{store: options.Store, chain: options.Chain, reach: options.Reach, now: options.Now, newID: options.NewID}
}

// Plan makes a plan of the intents from the newest version and keeps it on the
// platform. It changes nothing that is in force.
func (p *Planner) Plan(ctx context.Context, author string, intents qhintent.File) (Plan, error) {
	head, err := p.chain.Read(ctx)
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
		return Plan{}, qherr.New(qherr.Refused, nil, "there is nothing to confirm", "the intents change nothing in version %d", head.Version)
	}
	plan.Diff.Base, plan.Diff.Next = head.Version, head.Version+1
	plan.Changes = withReasons(changesOf(base, plan.Diff), result)
	plan.Reach = reachOfDiff(ctx, p.reach, base, plan.Diff)
	return plan, p.save(ctx, plan)
}

// planError adds to an error that no plan was made.
func planError(err error) error {
	if !qherr.Is(err, qherr.Unavailable) {
		return err
	}
	return qherr.New(qherr.Unavailable, err, "nothing was planned, plan again when the platform answers", "the newest version can't be read")
}

// applyIntents returns what the intents make of base.
func (p *Planner) applyIntents(ctx context.Context, head qhhead.Head, base qhconfig.Config, intents qhintent.File) (qhintent.Result, error) {
	if version := intents.RollbackVersion(); version != 0 {
		return p.rollback(ctx, head, base, version, intents.Reason)
	}
	return intents.Apply(base)
}

// withReasons puts the reasons of the intents into lines.
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

// maxWriteAttempts bounds the tries to write a plan.
const maxWriteAttempts = 4

// save writes the plan. An answer that is lost is settled by looking.
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
	return qherr.New(qherr.Unavailable, err, "nothing was changed, plan again when the platform answers", "the plan was not kept")
}

// Get returns the plan of the id, or NotFound.
func (p *Planner) Get(ctx context.Context, id qhid.Plan) (Plan, error) {
	plan, _, err := p.get(ctx, id)
	return plan, err
}

func (p *Planner) get(ctx context.Context, id qhid.Plan) (Plan, qhplatform.Revision, error) {
	if !IsID(string(id)) {
		return Plan{}, 0, qherr.New(qherr.BadInput, nil, "use the id that qhctl plan prints, as in p12-0123456789ab", "%q is no id of a plan", string(id))
	}
	object, err := p.store.Get(ctx, planKey(id))
	if qherr.Is(err, qherr.NotFound) {
		return Plan{}, 0, qherr.New(qherr.NotFound, nil, "make it with qhctl plan -f INTENT", "there is no plan %s", id)
	}
	if err != nil {
		return Plan{}, 0, err
	}
	plan, err := decode(object.Value)
	if err != nil {
		return Plan{}, 0, qherr.New(qherr.Internal, err, "make the plan anew", "plan %s on the platform can't be read", id)
	}
	return plan, object.Revision, nil
}
