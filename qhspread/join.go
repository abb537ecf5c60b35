package qhspread

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhwire"
)

const (
	// maxTreeDepth bounds the number of links from a node to its root.
	maxTreeDepth = 32
	// maxRetryAfter bounds the random delay after which a node that was refused
	// by joinLimiter may ask again.
	maxRetryAfter = 2 * time.Second
)

// onJoin handles the request of a node to become a child of this one.
func (s *Spreader) onJoin(_ context.Context, link *qhwire.Link, request qhwire.JoinRequest) (qhwire.LinkResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.joinLimiter.Allow() {
		return s.linkResponse("too many newcomers", jitter(maxRetryAfter)), nil
	}
	if reason := s.joinRefusalReason(request); reason != "" {
		return s.linkResponse(reason, 0), nil
	}
	if children := s.children(); len(children) >= s.Settings.Fanout && !s.hasChild(request.Node) {
		response := s.linkResponse("full", 0)
		response.Redirect = s.peerAddress(children[rand.IntN(len(children))].node) //nolint:gosec // spreads load, no secret
		return response, nil
	}
	s.disconnectChild(request.Node)
	child := newNeighbor(link, roleChild, request.Node, request.Zone, request.Version)
	s.addNeighbor(child)
	return s.linkResponse("", 0), nil
}

// joinRefusalReason returns why a node cannot be a child, however many children
// there are, or "". The caller must hold s.mu.
func (s *Spreader) joinRefusalReason(request qhwire.JoinRequest) string {
	switch {
	case s.leaving:
		return "leaving"
	case request.Zone != s.zone:
		return "another availability zone"
	case slices.Contains(s.path, request.Node):
		return "above in the tree"
	case len(s.path) >= maxTreeDepth:
		return "too deep"
	}
	return ""
}

// hasChild reports whether a node is a child already, for example because it
// reconnects over a new link. The caller must hold s.mu.
func (s *Spreader) hasChild(node qhid.Node) bool {
	return slices.ContainsFunc(s.children(), func(n *neighbor) bool { return n.node == node })
}

// disconnectChild closes the existing links to a child, so that it is not
// counted twice. The caller must hold s.mu.
func (s *Spreader) disconnectChild(node qhid.Node) {
	for _, n := range s.children() {
		if n.node == node {
			delete(s.neighbors, n)
			s.disconnect(n, "joined again")
		}
	}
}

// children returns the neighbors below this node. The caller must hold s.mu.
func (s *Spreader) children() []*neighbor {
	var children []*neighbor
	for n := range s.neighbors {
		if n.role == roleChild {
			children = append(children, n)
		}
	}
	return children
}

// linkResponse returns the response to a JoinRequest or RootLinkRequest. An empty
// reason accepts the request. The caller must hold s.mu.
func (s *Spreader) linkResponse(reason string, retryAfter time.Duration) qhwire.LinkResponse {
	version, _ := s.versions.latest()
	return qhwire.LinkResponse{
		Node:       s.self,
		Zone:       s.zone,
		Version:    version,
		Path:       slices.Clone(s.path),
		RetryAfter: qhconfig.Duration(retryAfter),
		Reason:     reason,
	}
}

func (s *Spreader) peerAddress(node qhid.Node) qhid.Address {
	entry, _ := s.Members.Get(node)
	return entry.PeerAddress
}

// onPath handles a path update of the parent. A node that is itself in the path
// disconnects from the parent to break the cycle.
func (s *Spreader) onPath(_ context.Context, link *qhwire.Link, update qhwire.PathUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.joinAttempt != nil && s.joinAttempt.link == link {
		s.joinAttempt.path = update.Path
	}
	parent := s.parent
	if parent == nil || parent.link != link {
		return
	}
	if slices.Contains(update.Path, s.self) || len(update.Path) >= maxTreeDepth {
		s.disconnect(parent, "ring") // a cycle in the distribution tree, not the ring of zone names
		return
	}
	s.setPath(append(slices.Clone(update.Path), s.self))
}

// disconnect closes the link to a neighbor after a CloseNotice. The caller must
// hold s.mu.
func (s *Spreader) disconnect(n *neighbor, reason string) {
	n.markClosing()
	s.group.Go(func(ctx context.Context) {
		_ = n.link.Notify(ctx, qhwire.KindClose, qhwire.CloseNotice{Reason: reason}) // the link is closed in any case
		n.link.Close()
	})
}

// join asks the node at an address to be the parent and follows redirects. It
// reports whether a node accepted.
func (s *Spreader) join(ctx context.Context, address qhid.Address) bool {
	for range maxTreeDepth {
		response, ok := s.requestJoin(ctx, address)
		if ok {
			return true
		}
		if response.RetryAfter > 0 {
			s.relays.backOff(address, time.Duration(response.RetryAfter))
		}
		if response.Redirect == "" || response.Redirect == s.Self.PeerAddress {
			return false
		}
		address = response.Redirect
	}
	return false
}

// requestJoin sends one join request. It returns the response, and whether the
// peer is now the parent.
func (s *Spreader) requestJoin(ctx context.Context, address qhid.Address) (qhwire.LinkResponse, bool) {
	link, err := s.transport.Dial(ctx, address)
	if err != nil {
		return qhwire.LinkResponse{}, false
	}
	version, _ := s.versions.latest()
	requestCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s.setJoinAttempt(&joinAttempt{link: link})
	defer s.setJoinAttempt(nil)
	request := qhwire.JoinRequest{Node: s.self, Zone: s.zone, Version: version}
	response, err := qhwire.Request[qhwire.LinkResponse](requestCtx, link, qhwire.KindJoin, request)
	if err != nil || response.Reason != "" || !s.setParent(link, response) {
		link.Close()
		return response, false
	}
	s.pull(link, response.Version)
	s.group.Go(func(ctx context.Context) { s.reconcileWith(ctx, link) })
	return response, true
}

// joinAttempt is an attempt to join a parent.
type joinAttempt struct {
	link *qhwire.Link
	// path is a path that the parent sent before its response was processed, or
	// nil. It is newer than the path in the response.
	path []qhid.Node
}

func (s *Spreader) setJoinAttempt(attempt *joinAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joinAttempt = attempt
}

// setParent makes the peer of a link the parent, unless this node no longer
// needs one or the link would close a cycle.
func (s *Spreader) setParent(link *qhwire.Link, response qhwire.LinkResponse) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.joinAttempt.path != nil {
		response.Path = s.joinAttempt.path
	}
	if s.parent != nil || s.leaving || response.Zone != s.zone || slices.Contains(response.Path, s.self) {
		return false
	}
	s.parent = newNeighbor(link, roleParent, response.Node, response.Zone, response.Version)
	s.addNeighbor(s.parent)
	s.setPath(append(slices.Clone(response.Path), s.self))
	return true
}
