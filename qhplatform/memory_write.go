package qhplatform

import (
	"context"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// write is one conditional write.
type write struct {
	op  Operation
	key Key
	// value is nil for a delete.
	value []byte
	// at is the revision that the object has to have; 0 for none.
	at Revision
}

func (m *Memory) create(ctx context.Context, key Key, value []byte) (Revision, error) {
	return m.write(ctx, write{op: OpCreate, key: key, value: value})
}

func (m *Memory) update(ctx context.Context, key Key, value []byte, at Revision) (Revision, error) {
	if at == 0 {
		return 0, qherr.New(qherr.BadInput, nil, "create it instead", "an update of %s without a revision", key)
	}
	return m.write(ctx, write{op: OpUpdate, key: key, value: value, at: at})
}

func (m *Memory) delete(ctx context.Context, key Key, at Revision) error {
	if at == 0 {
		return qherr.New(qherr.BadInput, nil, "read its revision first", "a delete of %s without a revision", key)
	}
	_, err := m.write(ctx, write{op: OpDelete, key: key, at: at})
	return err
}

func (m *Memory) write(ctx context.Context, w write) (Revision, error) {
	if err := w.check(); err != nil {
		return 0, err
	}
	if w.op != OpDelete {
		w.value = append([]byte{}, w.value...)
	}
	start := time.Now()
	faults, err := m.admit(ctx, w.op, w.key)
	if qherr.Is(err, qherr.Unknown) && !faults.Hang {
		m.landLate(w, time.Duration(faults.Delay)-time.Since(start))
	}
	if err != nil {
		return 0, err
	}
	revision, lost, err := m.apply(w)
	if lost {
		return 0, lostAnswer(nil, w.op, w.key)
	}
	return revision, err
}

func (w write) check() error {
	if err := w.key.Check(); err != nil {
		return err
	}
	return checkValue(w.key, w.value)
}

// conflict is the error of a write whose object is at another revision.
func (w write) conflict(revision Revision) error {
	switch {
	case w.at == 0:
		return qherr.New(qherr.Conflict, nil, "read it again", "object %s exists at revision %d", w.key, revision)
	case revision == 0:
		return qherr.New(qherr.Conflict, nil, "read it again", "object %s does not exist", w.key)
	default:
		return qherr.New(qherr.Conflict, nil, "read it again", "object %s is at revision %d, not %d", w.key, revision, w.at)
	}
}

// apply does the write where its condition holds, and tells whether the answer
// to it is lost.
func (m *Memory) apply(w write) (revision Revision, lost bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost = m.faults.takeLost(w.key)
	object, _ := m.newest(w.key)
	if object.Revision != w.at {
		return 0, lost, w.conflict(object.Revision)
	}
	m.revision++
	m.counts.BytesWritten += qhid.Bytes(len(w.value))
	writes := append(m.writes[w.key], Object{Key: w.key, Value: w.value, Revision: m.revision})
	m.writes[w.key] = writes[max(0, len(writes)-keptWrites):]
	m.wake()
	return m.revision, lost, nil
}

// landLate lets a delayed write take effect after its caller has gone.
func (m *Memory) landLate(w write, rest time.Duration) {
	time.AfterFunc(max(0, rest), func() { _, _, _ = m.apply(w) })
}

// admit counts a call and holds or refuses it as the faults say, which it returns.
func (m *Memory) admit(ctx context.Context, op Operation, key Key) (Faults, error) {
	faults, err := m.enter(op)
	if err != nil || !faults.bite(key) {
		return faults, err
	}
	if faults.Down {
		return faults, qherr.New(qherr.Unavailable, nil, "try again when it is back", "the platform is down")
	}
	if faults.Hang {
		<-ctx.Done()
		return faults, abandoned(ctx, op, key)
	}
	if faults.Delay == 0 || qhgroup.Sleep(ctx, time.Duration(faults.Delay)) {
		return faults, nil
	}
	return faults, abandoned(ctx, op, key)
}

// enter counts a call and refuses it above the rate.
func (m *Memory) enter(op Operation) (Faults, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.counts.add(op, now, &m.current)
	if !m.limiter.AllowN(now, 1) {
		m.counts.Refused++
		return Faults{}, tooMany()
	}
	return m.faults, nil
}

// overRate is the cause of a call that was refused above the rate.
type overRate struct{}

// Error says why the call was refused.
func (overRate) Error() string { return "too many calls" }

func tooMany() error {
	return qherr.New(qherr.Unavailable, overRate{}, "call it less often", "the platform refuses calls above its rate")
}

// abandoned is the error of a call whose caller went away.
func abandoned(ctx context.Context, op Operation, key Key) error {
	if op.writes() {
		return lostAnswer(ctx.Err(), op, key)
	}
	return qherr.New(qherr.Unavailable, ctx.Err(), "try again", "no answer to %s %s", op, key)
}

func lostAnswer(cause error, op Operation, key Key) error {
	return qherr.New(qherr.Unknown, cause, "read it again to see whether it took effect",
		"the answer to %s %s was lost", op, key)
}
