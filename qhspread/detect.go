package qhspread

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	// maxComparedNodes bounds the other nodes probed to compare with an
	// unresponsive one.
	maxComparedNodes = 5
	// probeJitter bounds the random delay before the first probe of a suspect.
	probeJitter = 100 * time.Millisecond
	// recheckInterval is the mean time between two checks of a suspect while
	// too few other nodes respond to mark it down.
	recheckInterval = time.Second
	// maxChecks bounds the checks of one suspect.
	maxChecks = 30
)

// suspectSet holds the suspects, which are the nodes being checked for a failure.
type suspectSet struct {
	mu       sync.Mutex
	checking map[qhid.Node]bool
	// unresponsive holds the nodes in checking that did not respond to a probe.
	unresponsive map[qhid.Node]bool
}

func newSuspectSet() *suspectSet {
	return &suspectSet{checking: make(map[qhid.Node]bool), unresponsive: make(map[qhid.Node]bool)}
}

// startCheck adds a suspect. It returns false if the node is one already.
func (s *suspectSet) startCheck(node qhid.Node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checking[node] {
		return false
	}
	s.checking[node] = true
	return true
}

func (s *suspectSet) finishCheck(node qhid.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.checking, node)
	delete(s.unresponsive, node)
}

func (s *suspectSet) markUnresponsive(node qhid.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive[node] = true
}

func (s *suspectSet) unresponsiveCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unresponsive)
}

// checkInBackground starts a check of a node of this availability zone, which
// marks the node down if it does not respond while other nodes do.
func (s *Spreader) checkInBackground(node qhid.Node) {
	entry, ok := s.Members.Get(node)
	if !ok || entry.Zone != s.zone || entry.State == qhmember.Down || !s.suspects.startCheck(node) {
		return
	}
	s.group.Go(func(ctx context.Context) {
		defer s.suspects.finishCheck(node)
		sleep(ctx, jitter(probeJitter))
		for range maxChecks {
			if ctx.Err() != nil || s.checkSuspect(ctx, entry) {
				return
			}
			sleep(ctx, recheckInterval/2+jitter(recheckInterval))
		}
	})
}

// checkSuspect probes a suspect and, if it does not respond, other nodes. It
// returns true if no further check is needed.
func (s *Spreader) checkSuspect(ctx context.Context, entry qhmember.Entry) bool {
	current, _ := s.Members.Get(entry.Node)
	if current.State == qhmember.Down || qhmember.Compare(current, entry) > 0 || s.probe(ctx, entry) {
		return true // already marked down, refuted by a newer entry, or responsive
	}
	s.suspects.markUnresponsive(entry.Node)
	reach := s.measureReachability(ctx)
	if !reach.confirmsFailure() {
		s.metrics.inconclusive.Inc()
		s.Log.Warn("node does not respond, but too few other nodes respond to mark it down", zap.String("peer", string(entry.Node)),
			zap.Int("silent", reach.Unresponsive), zap.Int("responding", reach.Responding))
		return false
	}
	if down, ok := s.Members.MarkDown(entry); ok {
		s.metrics.markedDown.Inc()
		s.Log.Warn("node marked down", zap.String("peer", string(entry.Node)))
		s.propagate([]qhmember.Entry{down}, origin{})
	}
	return true
}

// measureReachability probes other nodes and counts the nodes of this
// availability zone by their state.
func (s *Spreader) measureReachability(ctx context.Context) reachability {
	reach := reachability{Unresponsive: s.suspects.unresponsiveCount(), Responding: s.countResponding(ctx), RemoteReachable: s.remoteReachable()}
	for _, entry := range s.Members.View().Entries {
		switch {
		case entry.Zone != s.zone || entry.State == qhmember.Leaving:
		case entry.State == qhmember.Down:
			reach.Down++
		default:
			reach.Up++
		}
	}
	return reach
}

// probe reports whether a node responds on a new connection.
func (s *Spreader) probe(ctx context.Context, entry qhmember.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := s.transport.Dial(ctx, entry.PeerAddress)
	if err != nil {
		return false
	}
	defer link.Close()
	response, err := s.requestDigests(ctx, link, false)
	return err == nil && response.Node == entry.Node
}

// countResponding probes some other nodes of this availability zone and returns
// how many of them respond.
func (s *Spreader) countResponding(ctx context.Context) int {
	results := make(chan bool, maxComparedNodes)
	others := s.randomNodes(min(maxComparedNodes, s.suspects.unresponsiveCount()+1))
	for _, entry := range others {
		s.group.Go(func(context.Context) { results <- s.probe(ctx, entry) })
	}
	responding := 0
	for range others {
		select {
		case answered := <-results:
			if answered {
				responding++
			}
		case <-ctx.Done():
		}
	}
	return responding
}

// randomNodes returns up to limit random other nodes of this availability zone
// that are up and not suspects.
func (s *Spreader) randomNodes(limit int) []qhmember.Entry {
	var list []qhmember.Entry
	for _, entry := range s.Members.View().Entries {
		if entry.Zone == s.zone && entry.Node != s.self && isUp(entry) && !s.suspects.has(entry.Node) {
			list = append(list, entry)
		}
	}
	shuffle(list)
	return list[:min(limit, len(list))]
}

func (s *suspectSet) has(node qhid.Node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checking[node]
}

// isUp reports whether a node is neither marked down nor leaving.
func isUp(entry qhmember.Entry) bool {
	return entry.State != qhmember.Down && entry.State != qhmember.Leaving
}

// remoteReachable reports whether the platform or a root of another
// availability zone was reached within the silence timeout.
func (s *Spreader) remoteReachable() bool {
	if s.platformContact.within(s.silenceTimeout) {
		return true
	}
	remoteRoots := s.filterNeighbors(func(n *neighbor) bool {
		return n.role == roleRoot && n.zone != s.zone && time.Since(n.link.LastReceived()) < s.silenceTimeout
	})
	return len(remoteRoots) > 0
}
