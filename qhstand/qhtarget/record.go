package qhtarget

import (
	"maps"
	"sync"

	"quetzalhaven.dev/qhid"
)

// maxExecutions bounds Record.Executions. The counters have no bound.
const maxExecutions = 100_000

// Execution is one call whose execution has started.
type Execution struct {
	Request qhid.Request `json:"request"`
	Key     string       `json:"key,omitempty"`
	Method  string       `json:"method"`
	Path    string       `json:"path"`
	// Cancelled is set if the caller disconnected or the deadline passed during
	// the execution.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Record holds the counters of a target and its first executions.
type Record struct {
	Target qhid.Target `json:"target"`
	// Executed counts the calls whose execution has started.
	Executed int `json:"ran"`
	// Shed counts the calls that were rejected without execution.
	Shed int `json:"shed"`
	// Cancelled counts the executions that ended because the caller disconnected
	// or the deadline passed.
	Cancelled int `json:"cancelled"`
	// Running is the current number of executions, PeakRunning its maximum.
	Running     int `json:"running"`
	PeakRunning int `json:"peak"`
	// Connections is the current number of open connections, PeakConnections its
	// maximum.
	Connections     int `json:"connections"`
	PeakConnections int `json:"most"`
	// ExecutionsByRequest and ExecutionsByKey count executions by request ID and
	// by idempotency key.
	ExecutionsByRequest map[qhid.Request]int `json:"requests"`
	ExecutionsByKey     map[string]int       `json:"keys"`
	// Executions has the first executions, up to maxExecutions, in the order in
	// which they started.
	Executions []Execution `json:"runs"`
}

// recorder assigns slots to calls and keeps the Record. It is safe for
// concurrent use.
type recorder struct {
	mu     sync.Mutex
	slots  int
	record Record
}

func newRecorder(target qhid.Target, slots int) *recorder {
	return &recorder{slots: slots, record: newRecord(target)}
}

func newRecord(target qhid.Target) Record {
	return Record{Target: target, ExecutionsByRequest: make(map[qhid.Request]int), ExecutionsByKey: make(map[string]int)}
}

// start acquires a slot and records the execution. It returns the index of the
// execution, or false if no slot is free; the call then counts as shed.
func (r *recorder) start(execution Execution) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record.Running >= r.slots {
		r.record.Shed++
		return 0, false
	}
	index := r.record.Executed
	r.record.Executed++
	r.record.Running++
	r.record.PeakRunning = max(r.record.PeakRunning, r.record.Running)
	r.record.ExecutionsByRequest[execution.Request]++
	if execution.Key != "" {
		r.record.ExecutionsByKey[execution.Key]++
	}
	if len(r.record.Executions) < maxExecutions {
		r.record.Executions = append(r.record.Executions, execution)
	}
	return index, true
}

// finish releases the slot of the execution with the index.
func (r *recorder) finish(index int, cancelled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Running--
	if !cancelled {
		return
	}
	r.record.Cancelled++
	if index < len(r.record.Executions) {
		r.record.Executions[index].Cancelled = true
	}
}

func (r *recorder) countShed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Shed++
}

func (r *recorder) addConnections(delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Connections += delta
	r.record.PeakConnections = max(r.record.PeakConnections, r.record.Connections)
}

func (r *recorder) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record.Running
}

func (r *recorder) snapshot() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record
	record.ExecutionsByRequest = maps.Clone(record.ExecutionsByRequest)
	record.ExecutionsByKey = maps.Clone(record.ExecutionsByKey)
	record.Executions = append([]Execution{}, record.Executions...)
	return record
}
