package qhcanary

import (
	"sync"
	"sync/atomic"

	"quetzalhaven.dev/qhid"
)

// shareMargin is the part of the bound on the share of calls that nodes use up. The
// rest covers calls that are counted late.
const shareMargin = 0.8

// Shares keeps the calls of this node's callers that targets of a new version get
// within a share of the calls that reach the service. As each node keeps it for itself,
// it holds for all together. It is safe for concurrent use.
type Shares struct {
	// share is the part of the calls that a new version may get.
	share    float64
	services sync.Map // shareKey to *shareCounts
}

// shareKey identifies a roll-out.
type shareKey struct {
	service  qhid.Service
	software qhid.Software
}

// shareCounts counts the calls since the roll-out is known.
type shareCounts struct{ reached, sent atomic.Int64 }

// NewShares returns shares without calls. bound is the part of all calls that a new
// version may get at most.
func NewShares(bound float64) *Shares { return &Shares{share: shareMargin * bound} }

func (s *Shares) counts(service qhid.Service, software qhid.Software) *shareCounts {
	key := shareKey{service: service, software: software}
	if counts, ok := s.services.Load(key); ok {
		return counts.(*shareCounts)
	}
	counts, _ := s.services.LoadOrStore(key, new(shareCounts))
	return counts.(*shareCounts)
}

// Take reports whether the next call may be sent to the new version, and counts it if
// so.
func (s *Shares) Take(service qhid.Service, software qhid.Software) bool {
	counts := s.counts(service, software)
	for {
		sent := counts.sent.Load()
		if float64(sent+1) > s.share*float64(counts.reached.Load()) {
			return false
		}
		if counts.sent.CompareAndSwap(sent, sent+1) {
			return true
		}
	}
}

// Reached counts a call that reached a target of the service, of whatever version.
func (s *Shares) Reached(service qhid.Service, software qhid.Software) {
	s.counts(service, software).reached.Add(1)
}

// Forget drops the counts of the roll-outs that are not among the given ones.
func (s *Shares) Forget(current map[qhid.Service]qhid.Software) {
	s.services.Range(func(key, _ any) bool {
		if k := key.(shareKey); current[k.service] != k.software {
			s.services.Delete(key)
		}
		return true
	})
}
