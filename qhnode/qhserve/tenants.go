package qhserve

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhfeed"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhkey"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhquota"
)

const (
	// quotaPath is the HTTP path on which a node answers messages to the pools that it
	// keeps.
	quotaPath = "/quota"
	// maxKeepers is the number of nodes that keep pools.
	maxKeepers = 4
	// quotaMargin is the part of the allowed excess that is used. The rest covers nodes
	// that do not know of each other yet.
	quotaMargin = 0.7
)

// startTenants creates what the node needs to admit the calls of tenants. Tokens are
// minted once Local.Run runs, which needs the source.
func (n *Node) startTenants() {
	var delay time.Duration
	if n.Settings.Bounds.StrictRevoke {
		delay = time.Duration(n.Settings.Bounds.RevokeDelay)
	}
	n.proof = qhkey.NewProof(delay, qhclock.Now)
	n.metrics.NewGauge("qh_proof_age_seconds", func() float64 {
		age, ok := n.proof.Age()
		if !ok {
			return -1
		}
		return age.Seconds()
	})
	client := qhfeed.NewPeerClient()
	n.quota = qhquota.New(qhquota.Options{
		Limit: n.tenantLimit, Keys: n.limitedTenants, Nodes: n.mintingNodes, Keepers: n.quotaKeepers, Self: n.Settings.ID,
		Now: qhclock.Now, Group: n.group, Log: n.Log, Metrics: n.metrics,
		Send: func(ctx context.Context, to qhid.Node, message qhquota.Message) (qhquota.Reply, error) {
			entry, _ := n.members.Get(to) // an entry without an address fails to be called
			return qhfeed.Ask[qhquota.Reply](ctx, client, entry.PeerAddress, quotaPath, message)
		},
	})
}

// tenantLimit returns the allowance of a tenant in the configuration in force.
func (n *Node) tenantLimit(key qhquota.Key) (qhquota.Limit, bool) {
	snapshot := n.holder.Current()
	if snapshot == nil {
		return qhquota.Limit{}, false
	}
	tenant := snapshot.Config.FindTenant(qhid.Tenant(key))
	if tenant == nil || tenant.Rate <= 0 {
		return qhquota.Limit{}, false
	}
	rate, burst, bounds := float64(tenant.Rate), float64(tenant.Burst), n.Settings.Bounds
	inWindow := rate*time.Duration(bounds.QuotaWindow).Seconds() + burst
	return qhquota.Limit{Rate: rate, Burst: burst, Excess: quotaMargin * (bounds.QuotaExcess*inWindow + bounds.QuotaSlack)}, true
}

// limitedTenants returns the tenants with an allowance.
func (n *Node) limitedTenants() []qhquota.Key {
	snapshot := n.holder.Current()
	if snapshot == nil {
		return nil
	}
	var keys []qhquota.Key
	for i := range snapshot.Config.Tenants {
		if snapshot.Config.Tenants[i].Rate > 0 {
			keys = append(keys, qhquota.Key(snapshot.Config.Tenants[i].Name))
		}
	}
	return keys
}

// mintingNodes returns the number of nodes that divide the allowances, or 0 if this node
// must not mint: before it knows the others, and while it has no target, since its entry is
// not announced then and the others divide without it. Its callers use what the pools have.
func (n *Node) mintingNodes() int {
	select {
	case <-n.source.ready:
	default:
		return 0
	}
	if len(n.members.Self().Targets) == 0 {
		return 0
	}
	return len(n.members.View().Entries)
}

// quotaKeepers returns the nodes that may keep the pool of a key, in the order of a hash
// of key and node: those with the fastest links.
func (n *Node) quotaKeepers(key qhquota.Key) []qhid.Node {
	entries := slices.DeleteFunc(slices.Clone(n.members.View().Entries), func(entry qhmember.Entry) bool {
		return entry.State != qhmember.Up || len(entry.Targets) == 0 // others do not know this node without targets
	})
	slices.SortFunc(entries, func(a, b qhmember.Entry) int {
		return cmp.Or(cmp.Compare(b.LinkSpeed, a.LinkSpeed), cmp.Compare(a.Node, b.Node))
	})
	entries = entries[:min(len(entries), maxKeepers)]
	keepers := make([]qhid.Node, len(entries))
	for i, entry := range entries {
		keepers[i] = entry.Node
	}
	rank := func(node qhid.Node) uint64 { return xxhash.Sum64String(string(key) + "/" + string(node)) }
	slices.SortFunc(keepers, func(a, b qhid.Node) int { return cmp.Compare(rank(a), rank(b)) })
	return keepers
}

// withQuota adds the handler of messages to this node's pools to that of the peers'
// listener.
func (n *Node) withQuota(peers http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", peers)
	mux.HandleFunc("POST "+quotaPath, func(w http.ResponseWriter, r *http.Request) { qhfeed.Answer(w, r, n.quota.Answer) })
	return mux
}
