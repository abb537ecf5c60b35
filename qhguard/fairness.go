package qhguard

import (
	"math"
	"time"

	"quetzalhaven.dev/qhmember"
)

const (
	// priorityLevels is the number of ranks of calls; higher values count as the last one.
	priorityLevels = qhmember.RoomLevels
	// fairnessHalfLife is the half-life of the request and admission counts.
	fairnessHalfLife = 3 * time.Second
	// starvationRatio is the ratio of a priority's admission rate to the
	// overall admission rate below which the priority counts as starved.
	starvationRatio = 0.4
	// mostUrgent is the priority before all others.
	mostUrgent = 0
	// minSlotShare is the least share of the slots that is expected to be left by more
	// urgent calls.
	minSlotShare = 0.1
	// starvationMinRequests is the decayed number of requests below which a
	// priority never counts as starved.
	starvationMinRequests = 3
)

// fairness counts the recent requests, admissions and slot time of each priority. More
// urgent calls get slots first, so under overload the less urgent ones would be
// starved without these counts.
type fairness struct {
	requested, admitted [priorityLevels]float64
	// worked has the slot time of the recent calls of each priority, in seconds.
	worked [priorityLevels]float64
	// decayedAt is when the counts were last decayed.
	decayedAt time.Time
}

// priorityLevel returns the index of a priority in the counts.
func priorityLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// recordRequest decays all counts and counts a new request of the priority.
func (f *fairness) recordRequest(now time.Time, priority int) {
	decay := math.Exp2(-float64(now.Sub(f.decayedAt)) / float64(fairnessHalfLife))
	if f.decayedAt.IsZero() {
		decay = 0
	}
	f.decayedAt = now
	for i := range f.requested {
		f.requested[i] *= decay
		f.admitted[i] *= decay
		f.worked[i] *= decay
	}
	f.requested[priorityLevel(priority)]++
}

// recordAdmission counts a call that was given a slot.
func (f *fairness) recordAdmission(priority int) { f.admitted[priorityLevel(priority)]++ }

// recordWork counts the time for which a call occupied a slot.
func (f *fairness) recordWork(priority int, elapsed time.Duration) {
	f.worked[priorityLevel(priority)] += elapsed.Seconds()
}

// urgentShare returns the share of the slots that calls of the same priority and a more
// urgent rank have lately occupied. Between priorities no one is to be starved, so that
// the work of a more urgent priority says little about the wait.
func (f *fairness) urgentShare(rank, slots int) float64 {
	level := priorityLevel(rank)
	first := level - level%qhmember.RanksPerPriority
	worked := 0.0
	for _, seconds := range f.worked[first:level] {
		worked += seconds
	}
	return worked * math.Ln2 / fairnessHalfLife.Seconds() / float64(slots)
}

// isStarved reports whether the admission rate of the priority is below
// starvationRatio of the overall rate.
func (f *fairness) isStarved(priority int) bool {
	level := priorityLevel(priority)
	if f.requested[level] < starvationMinRequests {
		return false
	}
	requested, admitted := 0.0, 0.0
	for i := range f.requested {
		requested += f.requested[i]
		admitted += f.admitted[i]
	}
	return f.admitted[level]/f.requested[level] < starvationRatio*admitted/requested
}
