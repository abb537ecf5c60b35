package qhplan

import (
	"context"
	"fmt"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// PruneResult counts what Prune deleted.
type PruneResult struct {
	Plans int `json:"plans"`
	// NotDeleted counts the old plans whose deletion failed.
	NotDeleted int `json:"left"`
}

// Prune deletes the plans that were made from a version more than keep versions
// behind the head. They can no longer be confirmed, since their base versions are
// pruned too.
func (p *Planner) Prune(ctx context.Context, keep int) (PruneResult, error) {
	if keep < 1 {
		return PruneResult{}, qherr.New(qherr.BadInput, nil, "keep at least 1", "%d is not a valid number of versions to keep", keep)
	}
	head, err := p.chain.ReadHead(ctx)
	if err != nil {
		return PruneResult{}, err
	}
	var pruned PruneResult
	for _, prefix := range allPlanPrefixes() {
		objects, err := p.store.List(ctx, prefix)
		if err != nil {
			return pruned, err
		}
		for _, object := range objects {
			base, err := baseOfKey(object.Key)
			if err != nil || base+qhid.Version(keep) >= head.Version {
				continue
			}
			if p.store.Delete(ctx, object.Key, object.Revision) != nil {
				pruned.NotDeleted++
				continue
			}
			pruned.Plans++
		}
	}
	return pruned, nil
}

// allPlanPrefixes returns key prefixes that partition all plans, so that each
// listing stays small: by the base version if it has one digit, and otherwise by
// its two leading digits.
func allPlanPrefixes() []qhplatform.Key {
	const digits = 100
	var prefixes []qhplatform.Key
	for i := range qhid.Version(digits) {
		if i < digits/10 {
			prefixes = append(prefixes, baseKeyPrefix(i))
			continue
		}
		prefixes = append(prefixes, keyPrefix+qhplatform.Key(fmt.Sprintf("p%d", i)))
	}
	return prefixes
}

// baseOfKey returns the base version of the plan stored under key.
func baseOfKey(key qhplatform.Key) (qhid.Version, error) {
	var base qhid.Version
	_, err := fmt.Sscanf(strings.TrimPrefix(string(key), string(keyPrefix)), "p%d-", &base)
	return base, err
}
