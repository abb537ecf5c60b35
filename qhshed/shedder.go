// Package qhshed decides which calls a node refuses because the node itself has too
// little processor time. It answers the load of callers that return at once: reading,
// placing and forwarding calls that can no longer be answered in time takes the
// processor from those that can, and a node then answers nobody.
//
// The package also spreads the times at which refused callers return.
package qhshed

import (
	"math"
	"sync"
	"time"
)

const (
	// period is how often the limit is adjusted, while calls arrive.
	period = 200 * time.Millisecond
	// targetDelay is the mean time that a runnable goroutine may wait for the
	// processor. A call needs about ten turns on the way to its target and back.
	targetDelay = 15 * time.Millisecond
	// forwardedDelayFactor is the delay, as a multiple of targetDelay, from which on
	// calls of other nodes are refused too.
	forwardedDelayFactor = 10
	// minChange and maxChange bound the factor by which the limit changes in a
	// period.
	minChange = 0.92
	maxChange = 1.1
	// fastChange is the factor by which the limit grows after a period with less than
	// fastShare of the target delay.
	fastChange = 1.5
	fastShare  = 0.05
	// ceilingPercent is the part of the ceiling from which up to it the limit grows
	// slowly: by minIncrease a period, and at least by one call.
	ceilingPercent = 90
	minIncrease    = 1.02
	// minLimit is the least number of calls admitted per period, so that the delay
	// can be measured.
	minLimit = 2
)

// Origin says how a call came to the node.
type Origin int

// The origins of calls.
const (
	// Forwarded is a call that another node forwards to a target of this VM.
	Forwarded Origin = iota
	// Returned is a caller's call that was refused before and waited since then.
	Returned
	// New is a caller's first attempt.
	New
	// TooSoon is a caller's call that was sent again sooner than any refusal allows.
	TooSoon
)

// urgencies is the number of priorities that are told apart; higher ones count as
// the last.
const urgencies = 12

// levels is the number of levels by which calls are ordered, see levelOf.
const levels = 3 * urgencies

// levelOf returns the level of a caller's call; lower ones are admitted first: by
// priority, at the same priority returned calls before new ones, and all that came too
// soon at the end.
func levelOf(origin Origin, priority int) int {
	urgency := min(max(priority, 0), urgencies-1)
	switch origin {
	case TooSoon:
		return 2*urgencies + urgency
	case New:
		return 2*urgency + 1
	default:
		return 2 * urgency
	}
}

// Options configures a Shedder.
type Options struct {
	// Delay returns the mean time that runnable goroutines have waited for the
	// processor since the call before.
	Delay func() time.Duration
	// OnChange is called when the node begins or ceases to refuse calls, without the
	// shedder's lock. It may be nil.
	OnChange func(State)
}

// State is what the decisions rest on.
type State struct {
	// Limited is set while calls are refused.
	Limited bool `json:"limited"`
	// Limit is the number of callers' calls admitted per period; 0 if not limited.
	Limit int `json:"limit,omitempty"`
	// Ceiling is the limit at which the delay was too long last; 0 if unknown.
	Ceiling int `json:"ceiling,omitempty"`
	// Lowered is set if the limit was lowered at the end of the last period.
	Lowered bool `json:"lowered,omitempty"`
	// Arrived and Admitted count the callers' calls of the last period.
	Arrived  int `json:"arrived"`
	Admitted int `json:"admitted"`
	// Delay is the mean wait for the processor in the last period.
	Delay time.Duration `json:"delay"`
}

// Shedder admits calls as long as the node has processor time for them. It is safe for
// concurrent use.
type Shedder struct {
	Options

	mu    sync.Mutex
	state State
	// periodEnd is when the current period ends; zero before the first call.
	periodEnd time.Time
	// arrived and admitted count the callers' calls of the current period.
	arrived  [levels]int
	admitted int
	// cutoff is the level of which only the part cutoffShare is admitted, and nothing
	// above it. It is levels while nothing is refused.
	cutoff      int
	cutoffShare float64
}

// NewShedder returns a shedder that admits everything in its first period.
func NewShedder(options Options) *Shedder { return &Shedder{Options: options, cutoff: levels} }

// State returns the state at the end of the last period.
func (s *Shedder) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Admit reports whether the node has processor time for a call. random is in [0, 1).
func (s *Shedder) Admit(now time.Time, origin Origin, priority int, random float64) bool {
	s.mu.Lock()
	var admitted bool
	changed := s.endPeriod(now)
	if origin == Forwarded {
		admitted = !s.state.Limited || s.state.Delay < forwardedDelayFactor*targetDelay
	} else {
		level := levelOf(origin, priority)
		s.arrived[level]++
		admitted = level < s.cutoff || level == s.cutoff && random < s.cutoffShare && s.admitted < s.state.Limit
		if admitted {
			s.admitted++
		}
	}
	state := s.state
	s.mu.Unlock()
	if changed && s.OnChange != nil {
		s.OnChange(state)
	}
	return admitted
}

// endPeriod adjusts the limit if the period has ended. It returns whether the node
// began or ceased to refuse calls. The lock is held.
func (s *Shedder) endPeriod(now time.Time) bool {
	if now.Before(s.periodEnd) && s.periodEnd.Sub(now) <= period {
		return false
	}
	isFirst := s.periodEnd.IsZero()
	// After a pause without calls the counts are those of a longer time.
	elapsed := float64(now.Sub(s.periodEnd)+period) / float64(period)
	s.periodEnd = now.Add(period)
	delay := s.Delay()
	if isFirst {
		return false
	}
	arrived := 0
	for _, count := range s.arrived {
		arrived += count
	}
	before := s.state
	s.state = State{Arrived: arrived, Admitted: s.admitted, Delay: delay}
	s.state.Limit, s.state.Lowered = nextLimit(before, s.state, max(elapsed, 1))
	s.state.Limited = s.state.Limit > 0
	switch {
	case s.state.Lowered:
		s.state.Ceiling = s.state.Limit * 100 / ceilingPercent
	case s.state.Limited:
		s.state.Ceiling = before.Ceiling
	}
	s.setCutoff()
	s.arrived, s.admitted = [levels]int{}, 0
	return before.Limited != s.state.Limited
}

// nextLimit returns the number of calls to admit in the next period, 0 for all, and
// whether it is lower than before. A limit that was just lowered is kept for a period,
// in which the calls before it are worked off. elapsed is the length of the last period
// in periods.
func nextLimit(before, last State, elapsed float64) (limit int, lowered bool) {
	switch {
	case last.Delay > targetDelay && before.Lowered:
		return before.Limit, false
	case last.Delay > targetDelay:
		admitted := float64(last.Admitted) / elapsed
		if before.Limited {
			admitted = min(admitted, float64(before.Limit))
		}
		return max(int(admitted*changeFor(last.Delay)), minLimit), true
	case !before.Limited || last.Admitted == last.Arrived:
		return 0, false
	}
	next := int(float64(before.Limit) * changeFor(last.Delay))
	if before.Limit < before.Ceiling {
		next = min(next, before.Ceiling*ceilingPercent/100)
	}
	return max(next, before.Limit+1, int(minIncrease*float64(before.Limit))), false
}

// changeFor returns the factor by which the limit changes after a period with the given
// delay. The root damps it: the delay grows faster than the load.
func changeFor(delay time.Duration) float64 {
	if float64(delay) < fastShare*float64(targetDelay) {
		return fastChange
	}
	return min(max(math.Sqrt(float64(targetDelay)/float64(max(delay, 1))), minChange), maxChange)
}

// setCutoff sets the cutoff so that as many calls as the limit allows are admitted, if
// the next period has the arrivals of the last one. The lock is held.
func (s *Shedder) setCutoff() {
	s.cutoff, s.cutoffShare = levels, 0
	if !s.state.Limited {
		return
	}
	room := s.state.Limit
	for level, count := range s.arrived {
		if count > room {
			s.cutoff, s.cutoffShare = level, float64(room)/float64(count)
			return
		}
		room -= count
	}
}
