package qhfeed

import "quetzalhaven.dev/qhplatform"

// position is a place in the history of a store.
type position struct {
	// era is 0 as long as the store has not told it.
	era      qhplatform.Era
	revision qhplatform.Revision
}

// succession says how a response relates to the position reached before.
type succession int

const (
	// follows is a response of the same history.
	follows succession = iota
	// precedes is an older response, as of a reader that is behind.
	precedes
	// restored is a response of a store that was restored from a copy after the
	// position was reached. What is known of its objects and revisions is void.
	restored
)

// compareEra returns how a response of the given era relates to p. A response that
// does not tell its era follows.
func (p position) compareEra(era qhplatform.Era) succession {
	switch {
	case p.era == 0 || era == 0 || era == p.era:
		return follows
	case era < p.era:
		return precedes
	default:
		return restored
	}
}

// compareListing returns how a listing at next relates to p. Without the eras of
// both, a lower revision tells a restore if the store itself sent the listing,
// because revisions never go back otherwise.
func (p position) compareListing(next position, fromStore bool) succession {
	if byEra := p.compareEra(next.era); byEra != follows || next.revision >= p.revision {
		return byEra
	}
	if fromStore && (p.era == 0 || next.era == 0) {
		return restored
	}
	return precedes
}

// advance returns the position after a response at next that follows p.
func (p position) advance(next position) position {
	return position{era: max(p.era, next.era), revision: max(p.revision, next.revision)}
}
