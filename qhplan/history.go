package qhplan

import (
	"context"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhead"
	"quetzalhaven.dev/qhid"
)

// maxHistoryReads limits how many versions one query reads back from the head.
const maxHistoryReads = 2000

// History returns the records of at most limit versions, newest first.
func (p *Planner) History(ctx context.Context, limit int) ([]qhhead.Record, error) {
	head, err := p.chain.ReadHead(ctx)
	if err != nil {
		return nil, err
	}
	return p.chain.History(ctx, head, limit)
}

// findVersion returns the head and the record of an old version. It first looks
// for the plan that created the version, and otherwise walks back from the head.
func (p *Planner) findVersion(ctx context.Context, head qhhead.Head, version qhid.Version) (qhhead.Head, qhhead.Record, error) {
	if version == 0 || version > head.Version {
		return qhhead.Head{}, qhhead.Record{}, qherr.New(qherr.NotFound, nil, "use a version that qhctl history lists",
			"version %d does not exist, the newest is %d", version, head.Version)
	}
	if found, record, ok := p.findVersionByPlan(ctx, version); ok {
		return found, record, nil
	}
	depth := int(min(head.Version-version, maxHistoryReads)) + 1
	records, err := p.chain.History(ctx, head, depth)
	if err != nil {
		return qhhead.Head{}, qhhead.Record{}, err
	}
	digest := head.RecordDigest
	for _, record := range records {
		if record.Version == version {
			return qhhead.Head{Version: version, RecordDigest: digest, Plan: record.Plan}, record, nil
		}
		digest = record.PreviousDigest
	}
	return qhhead.Head{}, qhhead.Record{}, qherr.New(qherr.NotFound, nil, "use a version that qhctl history lists",
		"version %d was pruned or is more than %d versions back", version, maxHistoryReads)
}

// findVersionByPlan finds a version by the record in the plan that created it.
func (p *Planner) findVersionByPlan(ctx context.Context, version qhid.Version) (qhhead.Head, qhhead.Record, bool) {
	plans, err := p.plansFromBase(ctx, version-1)
	if err != nil {
		return qhhead.Head{}, qhhead.Record{}, false
	}
	for _, plan := range plans {
		if plan.Committed == nil || plan.Committed.Version != version {
			continue
		}
		head := qhhead.Head{Version: version, RecordDigest: plan.Committed.RecordDigest, Plan: plan.ID}
		records, err := p.chain.History(ctx, head, 1)
		if err == nil && len(records) == 1 && records[0].Plan == plan.ID {
			return head, records[0], true
		}
	}
	return qhhead.Head{}, qhhead.Record{}, false
}
