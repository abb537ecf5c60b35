package qhspread

import (
	"cmp"
	"context"
	"reflect"
	"slices"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstatus"
	"quetzalhaven.dev/qhwire"
)

// summaryPeriod is the shortest time between two summaries to the parent.
const summaryPeriod = 250 * time.Millisecond

// Summary adds up this node and all below it.
func (s *Spreader) Summary() qhstatus.Summary {
	parts := []qhstatus.Summary{s.ownSummary()}
	for _, n := range s.withRole(roleChild) {
		parts = append(parts, n.getSummary())
	}
	return addUp(parts)
}

// ownSummary counts this node alone. It counts at the version that it holds, 0
// where it holds none.
func (s *Spreader) ownSummary() qhstatus.Summary {
	own := qhstatus.Summary{Refusals: s.Holder.Refusals()}
	var held qhid.Version
	if snapshot := s.Holder.Current(); snapshot != nil {
		held = snapshot.Version
	}
	own.Versions = []qhstatus.VersionCount{{Version: held, Nodes: 1}}
	if len(own.Refusals) > 0 {
		own.RefusingNodes = 1
	}
	return own
}

// addUp returns the sum of summaries.
func addUp(parts []qhstatus.Summary) qhstatus.Summary {
	nodes := make(map[qhid.Version]int)
	var sum qhstatus.Summary
	for _, part := range parts {
		for _, count := range part.Versions {
			nodes[count.Version] += count.Nodes
		}
		sum.RefusingNodes += part.RefusingNodes
		sum.Refusals = append(sum.Refusals, part.Refusals...)
	}
	for version, count := range nodes {
		sum.Versions = append(sum.Versions, qhstatus.VersionCount{Version: version, Nodes: count})
	}
	slices.SortFunc(sum.Versions, func(a, b qhstatus.VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	slices.SortFunc(sum.Refusals, func(a, b qhstatus.Refusal) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Node, b.Node))
	})
	sum.Refusals = sum.Refusals[:min(len(sum.Refusals), qhstatus.MaxRefusals)]
	return sum
}

func equal(a, b qhstatus.Summary) bool { return reflect.DeepEqual(a, b) }

// sendSummary tells the parent the summary where it has changed since the last
// that this parent was sent.
func (s *Spreader) sendSummary(ctx context.Context) {
	summary := s.Summary()
	s.mu.Lock()
	parent := s.parent
	s.mu.Unlock()
	if parent == nil || equal(parent.getSummary(), summary) {
		return
	}
	if parent.link.Notify(ctx, qhwire.KindSummary, summary) == nil {
		parent.setSummary(summary)
	}
}

// onSummary takes the summary of a child.
func (s *Spreader) onSummary(_ context.Context, link *qhwire.Link, summary qhwire.Summary) {
	if n := s.find(link); n != nil && n.role == roleChild {
		n.setSummary(summary)
	}
	if s.isRoot() {
		s.converged.see(s.Summary(), time.Now())
	}
}
