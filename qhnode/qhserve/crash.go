package qhserve

import (
	"context"
	"net/http"
	"slices"
	"time"

	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qhfeed"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

// crashPath is the HTTP path on which a node answers messages about requests that crash
// targets.
const crashPath = "/crash"

// startCrashes creates what the node needs to find requests that crash targets.
func (n *Node) startCrashes() {
	quarantine := time.Duration(n.Settings.Calls.Quarantine)
	if n.Settings.Store == nil || quarantine == 0 {
		return
	}
	client := qhfeed.NewPeerClient()
	n.crashes = qhcrash.New(qhcrash.Options{
		Quarantine: quarantine, Services: n.localServices, Peers: n.otherNodesOf, PeersKnown: func() <-chan struct{} { return n.source.ready }, Now: time.Now, Group: n.group, Log: n.Log, Metrics: n.metrics,
		Send: func(ctx context.Context, to qhid.Node, message qhcrash.Message) (qhcrash.Message, error) {
			entry, _ := n.members.Get(to) // an entry without an address fails to be called
			return qhfeed.Ask[qhcrash.Message](ctx, client, entry.PeerAddress, crashPath, message)
		},
	})
}

// localServices returns the services that have targets on this VM, announced or in the
// settings.
func (n *Node) localServices() []qhid.Service {
	var services []qhid.Service
	if service := n.localService(); service != "" {
		services = append(services, service)
	}
	for _, target := range n.targets.List() {
		if !slices.Contains(services, target.Service) {
			services = append(services, target.Service)
		}
	}
	return services
}

// otherNodesOf returns the other nodes that have targets of a service.
func (n *Node) otherNodesOf(service qhid.Service) []qhid.Node {
	var nodes []qhid.Node
	for _, entry := range n.members.View().Entries {
		hasTarget := slices.ContainsFunc(entry.Targets, func(target qhmember.AnnouncedTarget) bool { return target.Service == service })
		if hasTarget && entry.Node != n.Settings.ID {
			nodes = append(nodes, entry.Node)
		}
	}
	return nodes
}

// withCrashes adds the handler of messages about requests that crash targets to that of
// the peers' listener.
func (n *Node) withCrashes(peers http.Handler) http.Handler {
	if n.crashes == nil {
		return peers
	}
	mux := http.NewServeMux()
	mux.Handle("/", peers)
	mux.HandleFunc("POST "+crashPath, func(w http.ResponseWriter, r *http.Request) { qhfeed.Answer(w, r, n.crashes.Answer) })
	return mux
}
