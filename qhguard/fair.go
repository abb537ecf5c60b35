package qhguard

import (
	"math"
	"time"
)

const (
	// priorities is how many priorities are told apart; later ones count as the last.
	priorities = 8
	// fairHalf is the time after which what was asked and served counts by half.
	fairHalf = 3 * time.Second
	// starveShare is how often, in parts of how often all calls are served, a
	// priority has to be served not to count as starved.
	starveShare = 0.4
	// starveAsked is how many calls of a priority have to be asked for before it
	// can count as starved.
	starveAsked = 3
)

// fairness counts how often the calls of each priority were asked for and served
// lately. Slots go to the more urgent calls first, but while there is no room for
// all no priority is left out wholly.
type fairness struct {
	asked, served [priorities]float64
	// at is when the counts were last aged.
	at time.Time
}

func level(priority int) int { return min(max(priority, 0), priorities-1) }

// ask counts a call that is asked for, and ages all counts.
func (f *fairness) ask(now time.Time, priority int) {
	age := math.Exp2(-float64(now.Sub(f.at)) / float64(fairHalf))
	if f.at.IsZero() {
		age = 0
	}
	f.at = now
	for i := range f.asked {
		f.asked[i] *= age
		f.served[i] *= age
	}
	f.asked[level(priority)]++
}

// serve counts a call that got a slot.
func (f *fairness) serve(priority int) { f.served[level(priority)]++ }

// starved tells whether the calls of the priority are served far less often than
// all calls.
func (f *fairness) starved(priority int) bool {
	own := level(priority)
	if f.asked[own] < starveAsked {
		return false
	}
	asked, served := 0.0, 0.0
	for i := range f.asked {
		asked += f.asked[i]
		served += f.served[i]
	}
	return f.served[own]/f.asked[own] < starveShare*served/asked
}
