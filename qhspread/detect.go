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
	// maxWitnesses bounds the other nodes probed along with a suspect.
	maxWitnesses = 5
	// probeJitter bounds the random delay before a suspect is probed.
	probeJitter = 100 * time.Millisecond
	// recheckInterval is the mean time between two checks of a suspect while
	// the evidence is not sufficient.
	recheckInterval = time.Second
	// maxChecks bounds the checks of one suspect.
	maxChecks = 30
)

// suspectSet holds the nodes that are currently being checked.
type suspectSet struct {
	mu       sync.Mutex
	checking map[qhid.Node]bool
	// unresponsive holds the nodes in checking that did not answer a probe.
	unresponsive map[qhid.Node]bool
}

func newSuspectSet() *suspectSet {
	return &suspectSet{checking: make(map[qhid.Node]bool), unresponsive: make(map[qhid.Node]bool)}
}

// start returns false if the node is being checked already.
func (set *suspectSet) start(node qhid.Node) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.checking[node] {
		return false
	}
	set.checking[node] = true
	return true
}

func (set *suspectSet) finish(node qhid.Node) {
	set.mu.Lock()
	defer set.mu.Unlock()
	delete(set.checking, node)
	delete(set.unresponsive, node)
}

func (set *suspectSet) markUnresponsive(node qhid.Node) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.unresponsive[node] = true
}

func (set *suspectSet) unresponsiveCount() int {
	set.mu.Lock()
	defer set.mu.Unlock()
	return len(set.unresponsive)
}

// suspect checks a node of this availability zone in the background and marks
// it down if it does not answer while other nodes do.
func (s *Spreader) suspect(node qhid.Node) {
	entry, ok := s.Members.Get(node)
	if !ok || entry.Zone != s.zone || entry.State == qhmember.Down || !s.suspects.start(node) {
		return
	}
	s.group.Go(func(ctx context.Context) {
		defer s.suspects.finish(node)
		sleep(ctx, jitter(probeJitter))
		for range maxChecks {
			if ctx.Err() != nil || s.checkSuspect(ctx, entry) {
				return
			}
			sleep(ctx, recheckInterval/2+jitter(recheckInterval))
		}
	})
}

// checkSuspect probes a suspect and, if it does not answer, other nodes. It
// returns true if no further check is needed.
func (s *Spreader) checkSuspect(ctx context.Context, entry qhmember.Entry) bool {
	current, _ := s.Members.Get(entry.Node)
	if current.State == qhmember.Down || qhmember.Compare(current, entry) > 0 || s.probe(ctx, entry) {
		return true // already down, refuted by a newer entry, or alive
	}
	s.suspects.markUnresponsive(entry.Node)
	observed := s.collectEvidence(ctx)
	if !observed.provesFailure() {
		s.counts.inconclusive.Inc()
		s.Log.Warn("node does not answer, but too few other nodes answer to mark it down", zap.String("peer", string(entry.Node)),
			zap.Int("silent", observed.Unresponsive), zap.Int("responding", observed.Responding))
		return false
	}
	if down, ok := s.Members.MarkDown(entry); ok {
		s.counts.markedDown.Inc()
		s.Log.Warn("node marked down", zap.String("peer", string(entry.Node)))
		s.propagate([]qhmember.Entry{down}, origin{})
	}
	return true
}

func (s *Spreader) collectEvidence(ctx context.Context) evidence {
	observed := evidence{Unresponsive: s.suspects.unresponsiveCount(), Responding: s.countResponding(ctx), RemoteReachable: s.remoteReachable()}
	for _, entry := range s.Members.View().Entries {
		switch {
		case entry.Zone != s.zone || entry.State == qhmember.Leaving:
		case entry.State == qhmember.Down:
			observed.Down++
		default:
			observed.InUse++
		}
	}
	return observed
}

// probe reports whether a node answers on a new connection.
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
// how many answer.
func (s *Spreader) countResponding(ctx context.Context) int {
	results := make(chan bool, maxWitnesses)
	witnesses := s.randomNodes(min(maxWitnesses, s.suspects.unresponsiveCount()+1))
	for _, entry := range witnesses {
		s.group.Go(func(context.Context) { results <- s.probe(ctx, entry) })
	}
	responding := 0
	for range witnesses {
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
// that are in use and not suspected.
func (s *Spreader) randomNodes(limit int) []qhmember.Entry {
	var list []qhmember.Entry
	for _, entry := range s.Members.View().Entries {
		if entry.Zone == s.zone && entry.Node != s.self && inUse(entry) && !s.suspects.has(entry.Node) {
			list = append(list, entry)
		}
	}
	shuffle(list)
	return list[:min(limit, len(list))]
}

func (set *suspectSet) has(node qhid.Node) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.checking[node]
}

func inUse(entry qhmember.Entry) bool {
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
