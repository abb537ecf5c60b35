package qhproxy

import (
	"sync"
	"time"
)

// targetRuns has the deadlines of the in-flight calls at targets of this VM. The zero
// value is ready to use. It is safe for concurrent use.
type targetRuns struct {
	mu sync.Mutex
	// deadlines counts the calls by their deadline.
	deadlines map[time.Time]int
}

// add adds a call until the returned function is called.
func (r *targetRuns) add(deadline time.Time) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deadlines == nil {
		r.deadlines = make(map[time.Time]int)
	}
	r.deadlines[deadline]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.deadlines[deadline]--; r.deadlines[deadline] == 0 {
			delete(r.deadlines, deadline)
		}
	}
}

// latest returns the latest deadline, zero if there are no calls.
func (r *targetRuns) latest() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var latest time.Time
	for deadline := range r.deadlines {
		latest = laterOf(latest, deadline)
	}
	return latest
}
