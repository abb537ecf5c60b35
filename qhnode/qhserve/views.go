package qhserve

import (
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhoperate"
	"quetzalhaven.dev/qhquota"
)

// rolloutViews returns the roll-outs as this node knows them.
func (n *Node) rolloutViews() []qhoperate.RolloutView {
	views := []qhoperate.RolloutView{}
	if n.canary == nil {
		return views
	}
	for _, rollout := range n.canary.Book.List() {
		view := qhoperate.RolloutView{Service: rollout.Order.Service, Software: rollout.Order.Software, Duration: rollout.Order.TimeLimit()}
		if state := rollout.State; state != nil {
			view.Phase, view.Elapsed, view.Exposed, view.Decider, view.Reason = string(state.Phase), time.Duration(state.Elapsed), len(state.Exposed), state.Decider, state.Reason
			view.Answers, view.Failures, view.OldAnswers, view.OldFailures = state.Tally.NewAnswers, state.Tally.NewFailures, state.Tally.OldAnswers, state.Tally.OldFailures
		}
		views = append(views, view)
	}
	return views
}

// tenantsView returns the tenants as this node knows them. It has no keys, only their
// fingerprints.
func (n *Node) tenantsView() qhoperate.TenantsView {
	view := qhoperate.TenantsView{ProofAge: -1, KeysUsable: true, Tenants: []qhoperate.TenantView{}}
	uses := make(map[qhid.Tenant]qhquota.Use)
	if n.proof != nil {
		view.KeysUsable = n.proof.IsFresh()
		if age, ok := n.proof.Age(); ok {
			view.ProofAge = age
		}
		for _, use := range n.quota.Uses() {
			uses[qhid.Tenant(use.Key)] = use
		}
	}
	snapshot := n.holder.Current()
	if snapshot == nil {
		return view
	}
	for i := range snapshot.Config.Tenants {
		tenant := &snapshot.Config.Tenants[i]
		use := uses[tenant.Name]
		entry := qhoperate.TenantView{Tenant: tenant.Name, Priority: tenant.Priority, Rate: float64(tenant.Rate), Burst: tenant.Burst, Demand: use.Demand, Refused: use.Refused, Keys: []string{}}
		for _, key := range tenant.Keys {
			entry.Keys = append(entry.Keys, key.Fingerprint())
		}
		view.Tenants = append(view.Tenants, entry)
	}
	return view
}
