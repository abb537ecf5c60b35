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
	// maxSample bounds the nodes that are asked beside a suspect.
	maxSample = 5
	// probePause is the bound of the jitter before a suspect is asked.
	probePause = 100 * time.Millisecond
	// doubtPause is the wait of a node that doubts itself before it looks again.
	doubtPause = time.Second
	// doubtRounds bounds how often it looks again for one suspect.
	doubtRounds = 30
)

// suspects has the nodes that are being asked whether they live.
type suspects struct {
	mu    sync.Mutex
	nodes map[qhid.Node]bool
	// silent has those of nodes that gave no answer.
	silent map[qhid.Node]bool
}

func newSuspects() *suspects {
	return &suspects{nodes: make(map[qhid.Node]bool), silent: make(map[qhid.Node]bool)}
}

// begin returns false where the node is being asked already.
func (x *suspects) begin(node qhid.Node) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.nodes[node] {
		return false
	}
	x.nodes[node] = true
	return true
}

func (x *suspects) end(node qhid.Node) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.nodes, node)
	delete(x.silent, node)
}

func (x *suspects) setSilent(node qhid.Node) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.silent[node] = true
}

func (x *suspects) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.silent)
}

// suspect asks a node of this availability zone whether it lives, and marks it
// down where it gives no answer and others do.
func (s *Spreader) suspect(node qhid.Node) {
	entry, ok := s.Members.Get(node)
	if !ok || entry.Zone != s.zone || entry.State == qhmember.Down || !s.suspects.begin(node) {
		return
	}
	s.group.Go(func(ctx context.Context) {
		defer s.suspects.end(node)
		pause(ctx, jitter(probePause))
		for range doubtRounds {
			if ctx.Err() != nil || s.judge(ctx, entry) {
				return
			}
			pause(ctx, doubtPause/2+jitter(doubtPause))
		}
	})
}

// judge asks a suspect and, where it is silent, others. It returns true where
// nothing is left to find out.
func (s *Spreader) judge(ctx context.Context, entry qhmember.Entry) bool {
	known, _ := s.Members.Get(entry.Node)
	if known.State == qhmember.Down || qhmember.Compare(known, entry) > 0 || s.probe(ctx, entry) {
		return true // known to be down, or heard of since, or alive
	}
	s.suspects.setSilent(entry.Node)
	found := s.evidence(ctx)
	if !found.convicts() {
		s.counts.doubts.Inc()
		s.Log.Warn("node gives no answer, but too few others do", zap.String("peer", string(entry.Node)),
			zap.Int("silent", found.Suspects), zap.Int("heard", found.Heard))
		return false
	}
	if down, ok := s.Members.MarkDown(entry); ok {
		s.counts.downs.Inc()
		s.Log.Warn("node is down", zap.String("peer", string(entry.Node)))
		s.pass([]qhmember.Entry{down}, origin{})
	}
	return true
}

func (s *Spreader) evidence(ctx context.Context) evidence {
	found := evidence{Suspects: s.suspects.count(), Heard: s.heardAround(ctx), Abroad: s.heardAbroad()}
	for _, entry := range s.Members.View().Entries {
		switch {
		case entry.Zone != s.zone || entry.State == qhmember.Leaving:
		case entry.State == qhmember.Down:
			found.Down++
		default:
			found.Known++
		}
	}
	return found
}

// probe tells whether a node answers on a new connection.
func (s *Spreader) probe(ctx context.Context, entry qhmember.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := s.transport.Dial(ctx, entry.PeerAddress)
	if err != nil {
		return false
	}
	defer link.Close()
	answer, err := s.ask(ctx, link, false)
	return err == nil && answer.Node == entry.Node
}

// heardAround returns how many of some other nodes of this availability zone
// answer just now.
func (s *Spreader) heardAround(ctx context.Context) int {
	answers := make(chan bool, maxSample)
	sample := s.sample(min(maxSample, s.suspects.count()+1))
	for _, entry := range sample {
		s.group.Go(func(context.Context) { answers <- s.probe(ctx, entry) })
	}
	heard := 0
	for range sample {
		select {
		case answered := <-answers:
			if answered {
				heard++
			}
		case <-ctx.Done():
		}
	}
	return heard
}

// sample returns random other nodes of this availability zone that are in use
// and not suspected.
func (s *Spreader) sample(most int) []qhmember.Entry {
	var list []qhmember.Entry
	for _, entry := range s.Members.View().Entries {
		if entry.Zone == s.zone && entry.Node != s.self && inUse(entry) && !s.suspects.has(entry.Node) {
			list = append(list, entry)
		}
	}
	shuffle(list)
	return list[:min(most, len(list))]
}

func (x *suspects) has(node qhid.Node) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.nodes[node]
}

func inUse(entry qhmember.Entry) bool {
	return entry.State != qhmember.Down && entry.State != qhmember.Leaving
}

// heardAbroad tells whether the platform or a root of another availability zone
// was heard lately.
func (s *Spreader) heardAbroad() bool {
	if s.platform.within(s.silence) {
		return true
	}
	abroad := s.list(func(n *neighbor) bool {
		return n.role == roleRoot && n.zone != s.zone && time.Since(n.link.Heard()) < s.silence
	})
	return len(abroad) > 0
}
