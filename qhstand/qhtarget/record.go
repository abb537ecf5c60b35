package qhtarget

import (
	"maps"
	"sync"

	"quetzalhaven.dev/qhid"
)

// maxRuns bounds the runs that are kept one by one. Counts go on above it.
const maxRuns = 100_000

// Run is one call that ran.
type Run struct {
	Request qhid.Request `json:"request"`
	Key     string       `json:"key,omitempty"`
	Method  string       `json:"method"`
	Path    string       `json:"path"`
	// Cancelled tells that the caller went away, or its time passed, while the
	// call ran.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Record is what a target did.
type Record struct {
	Target qhid.Target `json:"target"`
	// Ran counts calls that began to run.
	Ran int `json:"ran"`
	// Shed counts calls that were refused before they ran.
	Shed int `json:"shed"`
	// Cancelled counts calls whose caller went away, or whose time passed, while
	// they ran.
	Cancelled int `json:"cancelled"`
	// Running and Peak are the calls that run now, and the most at a time.
	Running int `json:"running"`
	Peak    int `json:"peak"`
	// Connections and Most are the open connections, and the most at a time.
	Connections int `json:"connections"`
	Most        int `json:"most"`
	// Requests and Keys count runs by request id and by idempotency key.
	Requests map[qhid.Request]int `json:"requests"`
	Keys     map[string]int       `json:"keys"`
	// Runs are the first runs in the order in which they began.
	Runs []Run `json:"runs"`
}

// recorder keeps the record.
type recorder struct {
	mu     sync.Mutex
	slots  int
	record Record
}

func newRecorder(target qhid.Target, slots int) *recorder {
	return &recorder{slots: slots, record: emptyRecord(target)}
}

func emptyRecord(target qhid.Target) Record {
	return Record{Target: target, Requests: make(map[qhid.Request]int), Keys: make(map[string]int)}
}

// begin takes a slot for the run and returns its number, or false where no slot is free.
func (r *recorder) begin(run Run) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record.Running >= r.slots {
		r.record.Shed++
		return 0, false
	}
	number := r.record.Ran
	r.record.Ran++
	r.record.Running++
	r.record.Peak = max(r.record.Peak, r.record.Running)
	r.record.Requests[run.Request]++
	if run.Key != "" {
		r.record.Keys[run.Key]++
	}
	if len(r.record.Runs) < maxRuns {
		r.record.Runs = append(r.record.Runs, run)
	}
	return number, true
}

func (r *recorder) end(number int, cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Running--
	if !cancelled {
		return
	}
	r.record.Cancelled++
	if number < len(r.record.Runs) {
		r.record.Runs[number].Cancelled = true
	}
}

func (r *recorder) shed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Shed++
}

func (r *recorder) connected(more int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Connections += more
	r.record.Most = max(r.record.Most, r.record.Connections)
}

func (r *recorder) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record.Running
}

func (r *recorder) copy() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record
	record.Requests = maps.Clone(record.Requests)
	record.Keys = maps.Clone(record.Keys)
	record.Runs = append([]Run{}, record.Runs...)
	return record
}
