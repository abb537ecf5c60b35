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
	// maxDepth bounds the links from a node to its root.
	maxDepth = 32
	// maxWait bounds how long a newcomer is told to wait.
	maxWait = 2 * time.Second
)

// onJoin answers a node that wants this one as its parent.
func (s *Spreader) onJoin(_ context.Context, link *qhwire.Link, join qhwire.Join) (qhwire.Joined, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admit.Allow() {
		return s.joined("too many newcomers", jitter(maxWait)), nil
	}
	if reason := s.objection(join); reason != "" {
		return s.joined(reason, 0), nil
	}
	if children := s.children(); len(children) >= s.Settings.Fanout && !s.hasChild(join.Node) {
		answer := s.joined("full", 0)
		answer.To = s.addressOf(children[rand.IntN(len(children))].node) //nolint:gosec // spreads load, no secret
		return answer, nil
	}
	s.dropChild(join.Node)
	child := newNeighbor(link, roleChild, join.Node, join.Zone, join.Version)
	s.connect(child)
	return s.joined("", 0), nil
}

// objection tells why a node cannot be a child at all. It is called with the
// lock held.
func (s *Spreader) objection(join qhwire.Join) string {
	switch {
	case s.leaving:
		return "leaving"
	case join.Zone != s.zone:
		return "another availability zone"
	case slices.Contains(s.path, join.Node):
		return "above in the tree"
	case len(s.path) >= maxDepth:
		return "too deep"
	}
	return ""
}

// hasChild tells whether a node is a child already, on a link that it has given
// up. It is called with the lock held.
func (s *Spreader) hasChild(node qhid.Node) bool {
	return slices.ContainsFunc(s.children(), func(n *neighbor) bool { return n.node == node })
}

// dropChild ends the links to a child, so that it is not counted twice. It is
// called with the lock held.
func (s *Spreader) dropChild(node qhid.Node) {
	for _, n := range s.children() {
		if n.node == node {
			delete(s.neighbors, n)
			s.drop(n, "joined again")
		}
	}
}

// children returns the neighbors below this node. It is called with the lock held.
func (s *Spreader) children() []*neighbor {
	var children []*neighbor
	for n := range s.neighbors {
		if n.role == roleChild {
			children = append(children, n)
		}
	}
	return children
}

// joined returns the answer to a Join or Hello with what the other end has to
// know of this node; an empty reason accepts. It is called with the lock held.
func (s *Spreader) joined(reason string, wait time.Duration) qhwire.Joined {
	version, _ := s.content.known()
	return qhwire.Joined{
		Node:    s.self,
		Zone:    s.zone,
		Version: version,
		Path:    slices.Clone(s.path),
		Wait:    qhconfig.Duration(wait),
		Reason:  reason,
	}
}

func (s *Spreader) addressOf(node qhid.Node) qhid.Address {
	entry, _ := s.Members.Get(node)
	return entry.PeerAddress
}

// onPath takes the path of the parent. A node that finds itself in it leaves
// the parent, so that no ring stays.
func (s *Spreader) onPath(_ context.Context, link *qhwire.Link, path qhwire.Path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.joining != nil && s.joining.link == link {
		s.joining.path = path.Path
	}
	parent := s.parent
	if parent == nil || parent.link != link {
		return
	}
	if slices.Contains(path.Path, s.self) || len(path.Path) >= maxDepth {
		s.drop(parent, "ring")
		return
	}
	s.setPath(append(slices.Clone(path.Path), s.self))
}

// drop ends the link to a neighbor in good order. It is called with the lock held.
func (s *Spreader) drop(n *neighbor, reason string) {
	n.setLeft()
	s.group.Go(func(ctx context.Context) {
		_ = n.link.Notify(ctx, qhwire.KindBye, qhwire.Bye{Reason: reason}) // it ends either way
		n.link.Close()
	})
}

// join asks the node at an address to be the parent and follows where it points.
// It returns whether this node has a parent now.
func (s *Spreader) join(ctx context.Context, address qhid.Address) bool {
	for range maxDepth {
		answer, ok := s.joinOnce(ctx, address)
		if ok {
			return true
		}
		if answer.Wait > 0 {
			s.relays.avoid(address, time.Duration(answer.Wait))
		}
		if answer.To == "" || answer.To == s.Self.PeerAddress {
			return false
		}
		address = answer.To
	}
	return false
}

func (s *Spreader) joinOnce(ctx context.Context, address qhid.Address) (qhwire.Joined, bool) {
	link, err := s.transport.Dial(ctx, address)
	if err != nil {
		return qhwire.Joined{}, false
	}
	version, _ := s.content.known()
	asked, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s.setJoining(&joining{link: link})
	defer s.setJoining(nil)
	join := qhwire.Join{Node: s.self, Zone: s.zone, Version: version}
	answer, err := qhwire.Call[qhwire.Joined](asked, link, qhwire.KindJoin, join)
	if err != nil || answer.Reason != "" || !s.setParent(link, answer) {
		link.Close()
		return answer, false
	}
	s.pull(link, answer.Version)
	s.group.Go(func(ctx context.Context) { s.compare(ctx, link) })
	return answer, true
}

// joining is an attempt to get a parent.
type joining struct {
	link *qhwire.Link
	// path is what the parent sent before its answer was taken; nil for nothing.
	// It is newer than the path in the answer.
	path []qhid.Node
}

func (s *Spreader) setJoining(attempt *joining) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joining = attempt
}

// setParent makes the other end of a link the parent where this node still
// needs one and no ring would close.
func (s *Spreader) setParent(link *qhwire.Link, answer qhwire.Joined) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.joining.path != nil {
		answer.Path = s.joining.path
	}
	if s.parent != nil || s.leaving || answer.Zone != s.zone || slices.Contains(answer.Path, s.self) {
		return false
	}
	s.parent = newNeighbor(link, roleParent, answer.Node, answer.Zone, answer.Version)
	s.connect(s.parent)
	s.setPath(append(slices.Clone(answer.Path), s.self))
	return true
}
