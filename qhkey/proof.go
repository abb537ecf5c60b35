package qhkey

import (
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhclock"
)

// freshShare is the part of the revocation delay for which a proof holds. The rest
// covers what happens between the last look at it and the arrival of the call.
const freshShare = 0.9

// Proof is the latest moment at which the configuration in force on this node was known
// to be the newest one. Moments are on this machine's own steady clock, which also
// counts the time for which it was suspended. It is safe for concurrent use.
type Proof struct {
	// maxAge is the age up to which a proof holds; 0 means that none is needed.
	maxAge time.Duration
	now    func() qhclock.Instant
	// at is the moment, 0 before the first one.
	at atomic.Int64
}

// NewProof returns a proof that is not given yet. A key that was withdrawn must not be
// used for longer than revokeDelay; 0 means that no proof is needed.
func NewProof(revokeDelay time.Duration, now func() qhclock.Instant) *Proof {
	return &Proof{maxAge: time.Duration(freshShare * float64(revokeDelay)), now: now}
}

// Now returns the current moment, to be taken before a request whose response may prove
// that the configuration was the newest then.
func (p *Proof) Now() qhclock.Instant { return p.now() }

// Confirm records that the configuration in force was the newest at a moment.
func (p *Proof) Confirm(at qhclock.Instant) {
	for known := p.at.Load(); int64(at) > known; known = p.at.Load() {
		if p.at.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// Age returns the age of the proof, or false if there is none yet.
func (p *Proof) Age() (time.Duration, bool) {
	at := p.at.Load()
	return p.now().Since(qhclock.Instant(at)), at != 0
}

// IsFresh reports whether calls may be admitted by the configuration in force now.
func (p *Proof) IsFresh() bool {
	if p.maxAge == 0 {
		return true
	}
	age, ok := p.Age()
	return ok && age <= p.maxAge
}

// IsNeeded reports whether keyed calls need a proof.
func (p *Proof) IsNeeded() bool { return p.maxAge > 0 }
