package qhserve

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/platform"
	"quetzalhaven.dev/qhcanary"
	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhfeed"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

// rolloutPath is the HTTP path on which a node reports on its targets to the decider of
// a roll-out.
const rolloutPath = "/rollout"

// rolloutQuestion is a decider's question.
type rolloutQuestion struct {
	Service qhid.Service `json:"s"`
}

// hasRollouts reports whether the settings let operators order roll-outs.
func (n *Node) hasRollouts() bool {
	return n.Settings.Store != nil && n.Settings.Bounds.CanaryShare > 0
}

// startRollouts starts what the node needs to keep to roll-outs. The book is filled by
// the feed.
func (n *Node) startRollouts() {
	if !n.hasRollouts() {
		return
	}
	book := qhcanary.NewBook(n.Log)
	n.canary = &qhcanary.Local{Book: book, Shares: qhcanary.NewShares(n.Settings.Bounds.CanaryShare), Door: qhcanary.NewDoor(book, time.Now)}
	n.metrics.NewGauge("qh_rollouts", func() float64 { return float64(len(book.List())) })
}

// startDecider lets the node take part in deciding on roll-outs.
func (n *Node) startDecider(store qhplatform.Store) {
	if n.canary == nil {
		return
	}
	client := qhfeed.NewPeerClient()
	decider := qhcanary.NewDecider(qhcanary.DeciderOptions{
		Self: n.Settings.ID, Book: n.canary.Book, Store: store, Codec: platform.RolloutCodec(), View: n.members.View, Now: qhclock.Now, Log: n.Log,
		Ask: func(ctx context.Context, node qhmember.Entry, service qhid.Service) (qhcanary.Report, error) {
			if node.Node == n.Settings.ID {
				return n.rolloutReport(service), nil
			}
			return qhfeed.Ask[qhcanary.Report](ctx, client, node.PeerAddress, rolloutPath, rolloutQuestion{Service: service})
		},
	})
	n.group.Go(decider.Run)
}

// rolloutReport reports on the targets of a service on this VM.
func (n *Node) rolloutReport(service qhid.Service) qhcanary.Report {
	targets := make(map[qhid.Target]qhid.Software)
	for _, target := range n.targets.List() {
		if target.Service == service {
			targets[target.ID] = target.Software
		}
	}
	return n.canary.Door.Report(service, targets)
}

// withRollouts adds the handler of deciders' questions to that of the peers' listener.
func (n *Node) withRollouts(peers http.Handler) http.Handler {
	if n.canary == nil {
		return peers
	}
	mux := http.NewServeMux()
	mux.Handle("/", peers)
	mux.HandleFunc("POST "+rolloutPath, func(w http.ResponseWriter, r *http.Request) {
		qhfeed.Answer(w, r, func(question rolloutQuestion) qhcanary.Report { return n.rolloutReport(question.Service) })
	})
	return mux
}

// onRollouts records roll-outs that the feed has received.
func (n *Node) onRollouts(objects []qhplatform.Object, isListing, restored bool) {
	listed := make(map[qhid.Service]bool, len(objects))
	current := make(map[qhid.Service]qhid.Software, len(objects))
	for _, object := range objects {
		service := qhcanary.ServiceOf(platform.RolloutPrefix, object.Key)
		if object.Value == nil {
			n.canary.Book.Remove(service)
			continue
		}
		listed[service] = true
		rollout, err := platform.RolloutCodec().Decode(object)
		if err != nil {
			n.Log.Warn("order of a roll-out is not carried out", zap.String("key", string(object.Key)), zap.Uint64("revision", uint64(object.Revision)), zap.Error(err))
			continue
		}
		n.canary.Book.Put(rollout, restored)
	}
	for _, known := range n.canary.Book.List() {
		if isListing && !listed[known.Order.Service] {
			n.canary.Book.Remove(known.Order.Service)
		}
		current[known.Order.Service] = known.Order.Software
	}
	n.canary.Shares.Forget(current)
}
