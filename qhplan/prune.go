package qhplan

import (
	"context"
	"fmt"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// Pruned is what Prune deleted.
type Pruned struct {
	Plans int `json:"plans"`
	// Left counts old plans that could not be deleted now.
	Left int `json:"left"`
}

// Prune deletes the plans that were made from a version more than keep versions
// back. They can't be confirmed any more, since their bases are pruned too.
func (p *Planner) Prune(ctx context.Context, keep int) (Pruned, error) {
	if keep < 1 {
		return Pruned{}, qherr.New(qherr.BadInput, nil, "keep at least 1", "%d versions to keep", keep)
	}
	head, err := p.chain.Read(ctx)
	if err != nil {
		return Pruned{}, err
	}
	var pruned Pruned
	for _, list := range pruneLists() {
		objects, err := p.store.List(ctx, list)
		if err != nil {
			return pruned, err
		}
		for _, object := range objects {
			base, err := baseOf(object.Key)
			if err != nil || base+qhid.Version(keep) >= head.Version {
				continue
			}
			if p.store.Delete(ctx, object.Key, object.Revision) != nil {
				pruned.Left++
				continue
			}
			pruned.Plans++
		}
	}
	return pruned, nil
}

// pruneLists returns the prefixes that split all plans into lists: by their
// base, or by its two leading digits.
func pruneLists() []qhplatform.Key {
	const digits = 100
	var lists []qhplatform.Key
	for i := range qhid.Version(digits) {
		if i < digits/10 {
			lists = append(lists, basePrefix(i))
			continue
		}
		lists = append(lists, prefix+qhplatform.Key(fmt.Sprintf("p%d", i)))
	}
	return lists
}

// baseOf returns the version that a plan was made from.
func baseOf(key qhplatform.Key) (qhid.Version, error) {
	var base qhid.Version
	_, err := fmt.Sscanf(strings.TrimPrefix(string(key), string(prefix)), "p%d-", &base)
	return base, err
}
