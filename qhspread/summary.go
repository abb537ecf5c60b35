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

// summaryPeriod is how often the summary is sent to the parent if it has changed.
const summaryPeriod = 250 * time.Millisecond

// Summary returns the summary of this node and all nodes below it.
func (s *Spreader) Summary() qhstatus.Summary {
	parts := []qhstatus.Summary{s.ownSummary()}
	for _, n := range s.neighborsWithRole(roleChild) {
		parts = append(parts, n.lastSummary())
	}
	return sumSummaries(parts)
}

// ownSummary returns the summary of this node alone. It counts the node at the
// version in force, or at 0 if there is none.
func (s *Spreader) ownSummary() qhstatus.Summary {
	own := qhstatus.Summary{Refusals: s.Holder.Refusals()}
	var inForce qhid.Version
	if snapshot := s.Holder.Current(); snapshot != nil {
		inForce = snapshot.Version
	}
	own.Versions = []qhstatus.VersionCount{{Version: inForce, Nodes: 1}}
	if len(own.Refusals) > 0 {
		own.RefusingNodes = 1
	}
	return own
}

// sumSummaries adds up the node counts and keeps the refusals of the newest
// versions, at most qhstatus.MaxRefusals.
func sumSummaries(parts []qhstatus.Summary) qhstatus.Summary {
	nodes := make(map[qhid.Version]int)
	var total qhstatus.Summary
	for _, part := range parts {
		for _, count := range part.Versions {
			nodes[count.Version] += count.Nodes
		}
		total.RefusingNodes += part.RefusingNodes
		total.Refusals = append(total.Refusals, part.Refusals...)
	}
	for version, count := range nodes {
		total.Versions = append(total.Versions, qhstatus.VersionCount{Version: version, Nodes: count})
	}
	slices.SortFunc(total.Versions, func(a, b qhstatus.VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	slices.SortFunc(total.Refusals, func(a, b qhstatus.Refusal) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Node, b.Node))
	})
	total.Refusals = total.Refusals[:min(len(total.Refusals), qhstatus.MaxRefusals)]
	return total
}

func equalSummaries(a, b qhstatus.Summary) bool { return reflect.DeepEqual(a, b) }

// sendSummary sends the summary to the parent if it differs from the last one
// sent.
func (s *Spreader) sendSummary(ctx context.Context) {
	summary := s.Summary()
	s.mu.Lock()
	parent := s.parent
	s.mu.Unlock()
	if parent == nil || equalSummaries(parent.lastSummary(), summary) {
		return
	}
	if parent.link.Notify(ctx, qhwire.KindSummary, summary) == nil {
		parent.setSummary(summary)
	}
}

// onSummary stores the summary of a child.
func (s *Spreader) onSummary(_ context.Context, link *qhwire.Link, summary qhwire.Summary) {
	if n := s.neighborOn(link); n != nil && n.role == roleChild {
		n.setSummary(summary)
	}
	if s.isRoot() {
		s.convergence.observe(s.Summary(), time.Now())
	}
}
