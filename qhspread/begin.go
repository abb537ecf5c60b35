package qhspread

import (
	"context"
	"time"
)

const (
	// startBound bounds the question to platform and peers at the start.
	startBound = 3 * time.Second
	// startJitter spreads the starts of a herd over the platform.
	startJitter = 500 * time.Millisecond
	// startPoll is how often the start looks for what it waits for.
	startPoll = 20 * time.Millisecond
	// startPeers is how many peers are asked at the start.
	startPeers = 3
)

// begin asks the platform and peers for the newest version. The node is ready
// when it has it, or when the bound has passed.
func (s *Spreader) begin(ctx context.Context) {
	defer close(s.ready)
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	for ctx.Err() == nil && s.alone() {
		pause(ctx, startPoll)
	}
	s.askPeers(ctx)
	pause(ctx, jitter(startJitter))
	head, err := s.Chain.Read(ctx)
	if err != nil {
		s.askUntilKnown(ctx) // the peers' newest has to do, the exchange goes on
		return
	}
	s.platform.note()
	for ctx.Err() == nil {
		if known, _ := s.content.known(); known >= head.Version {
			return
		}
		pause(ctx, startPoll)
	}
}

// askUntilKnown asks peers again where none had an answer, until the node has a
// version or the bound has passed.
func (s *Spreader) askUntilKnown(ctx context.Context) {
	for ctx.Err() == nil {
		if known, _ := s.content.known(); known > 0 {
			return
		}
		s.askPeers(ctx)
		pause(ctx, startPoll)
	}
}

// askPeers takes the newest version of some nodes of this availability zone.
func (s *Spreader) askPeers(ctx context.Context) {
	for _, entry := range s.sample(startPeers) {
		link, err := s.transport.Dial(ctx, entry.PeerAddress)
		if err != nil {
			continue
		}
		if answer, err := s.ask(ctx, link, false); err == nil {
			s.even(ctx, link, answer)
		}
		link.Close()
	}
}
