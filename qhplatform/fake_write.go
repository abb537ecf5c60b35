package qhplatform

import (
	"context"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// conditionalWrite is a create, update or delete with its condition.
type conditionalWrite struct {
	op  Operation
	key Key
	// value is nil for a delete, and the status for OpStatus.
	value []byte
	// expected is the revision that the object must have; 0 if it must not exist.
	expected Revision
}

func (f *Fake) create(ctx context.Context, key Key, value []byte) (Revision, error) {
	return f.write(ctx, conditionalWrite{op: OpCreate, key: key, value: value})
}

func (f *Fake) update(ctx context.Context, key Key, value []byte, revision Revision) (Revision, error) {
	if revision == 0 {
		return 0, qherr.New(qherr.BadInput, nil, "create it instead", "update of %s has no revision", key)
	}
	return f.write(ctx, conditionalWrite{op: OpUpdate, key: key, value: value, expected: revision})
}

func (f *Fake) updateStatus(ctx context.Context, key Key, status []byte, revision Revision) (Revision, error) {
	if revision == 0 {
		return 0, qherr.New(qherr.BadInput, nil, "create it first", "status of %s has no revision", key)
	}
	return f.write(ctx, conditionalWrite{op: OpStatus, key: key, value: status, expected: revision})
}

func (f *Fake) delete(ctx context.Context, key Key, revision Revision) error {
	if revision == 0 {
		return qherr.New(qherr.BadInput, nil, "read its revision first", "delete of %s has no revision", key)
	}
	_, err := f.write(ctx, conditionalWrite{op: OpDelete, key: key, expected: revision})
	return err
}

func (f *Fake) write(ctx context.Context, w conditionalWrite) (Revision, error) {
	if err := w.check(); err != nil {
		return 0, err
	}
	if w.op != OpDelete {
		w.value = append([]byte{}, w.value...)
	}
	start := time.Now()
	faults, err := f.admit(ctx, w.op, w.key)
	if qherr.Is(err, qherr.Unknown) && !faults.Hang {
		f.applyLater(w, time.Duration(faults.Delay)-time.Since(start))
	}
	if err != nil {
		return 0, err
	}
	revision, responseLost, err := f.apply(w)
	if responseLost {
		return 0, lostResponseError(nil, w.op, w.key)
	}
	return revision, err
}

func (w conditionalWrite) check() error {
	if err := w.key.Check(); err != nil {
		return err
	}
	return checkValue(w.key, w.value)
}

// conflictError returns the error of a write whose object has another revision.
func (w conditionalWrite) conflictError(revision Revision) error {
	switch {
	case w.expected == 0:
		return qherr.New(qherr.Conflict, nil, "read it again", "object %s exists at revision %d", w.key, revision)
	case revision == 0:
		return qherr.New(qherr.Conflict, nil, "read it again", "object %s does not exist", w.key)
	default:
		return qherr.New(qherr.Conflict, nil, "read it again", "object %s is at revision %d, not %d", w.key, revision, w.expected)
	}
}

// apply performs the write if its condition holds, and reports whether its response
// is lost.
func (f *Fake) apply(w conditionalWrite) (revision Revision, responseLost bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	responseLost = f.faults.loseResponse(w.key)
	object, _ := f.newest(w.key)
	if object.Revision != w.expected {
		return 0, responseLost, w.conflictError(object.Revision)
	}
	f.revision++
	f.counts.BytesWritten += qhid.Bytes(len(w.value))
	next := Object{Key: w.key, Value: w.value, Status: object.Status, Revision: f.revision}
	if w.op == OpStatus {
		next.Value, next.Status = object.Value, w.value
	}
	writes := append(f.history[w.key], next)
	f.history[w.key] = writes[max(0, len(writes)-maxHistory):]
	f.notifyLocked()
	return f.revision, responseLost, nil
}

// applyLater applies a delayed write whose caller has gone.
func (f *Fake) applyLater(w conditionalWrite, delay time.Duration) {
	time.AfterFunc(max(0, delay), func() { _, _, _ = f.apply(w) })
}

// admit counts a call and delays or refuses it according to the faults, which it
// returns.
func (f *Fake) admit(ctx context.Context, op Operation, key Key) (Faults, error) {
	faults, err := f.countCall(op)
	if err != nil || !faults.matches(key) {
		return faults, err
	}
	if faults.Down {
		return faults, qherr.New(qherr.Unavailable, nil, "try again when it is back", "the platform is down")
	}
	if faults.Hang {
		<-ctx.Done()
		return faults, cancelledError(ctx, op, key)
	}
	if faults.Delay == 0 || qhgroup.Sleep(ctx, time.Duration(faults.Delay)) {
		return faults, nil
	}
	return faults, cancelledError(ctx, op, key)
}

// countCall counts a call and refuses it if it is above the rate limit.
func (f *Fake) countCall(op Operation) (Faults, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.counts.add(op, now, &f.currentSecond)
	if !f.limiter.AllowN(now, 1) {
		f.counts.Refused++
		return Faults{}, newRateLimitError()
	}
	return f.faults, nil
}

// rateLimitError is the cause of the error of a call above the rate limit.
type rateLimitError struct{}

// Error implements error.
func (rateLimitError) Error() string { return "too many calls" }

func newRateLimitError() error {
	return qherr.New(qherr.Unavailable, rateLimitError{}, "call it less often", "the platform's rate limit is exceeded")
}

// cancelledError returns the error of a call whose context ended.
func cancelledError(ctx context.Context, op Operation, key Key) error {
	if op.isWrite() {
		return lostResponseError(ctx.Err(), op, key)
	}
	return qherr.New(qherr.Unavailable, ctx.Err(), "try again", "no response from the platform to %s %s", op, key)
}

func lostResponseError(cause error, op Operation, key Key) error {
	return qherr.New(qherr.Unknown, cause, "read it again to see whether it took effect",
		"the platform's response to %s %s was lost", op, key)
}
