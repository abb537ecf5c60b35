package qhproxy

import (
	"context"
	"io"
	"sync"
	"time"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmemory"
)

const (
	// maxReadAheadTime is how long a body in chunks may take to end until its rest is
	// streamed.
	maxReadAheadTime = 50 * time.Millisecond
	// readAheadStep is the size in bytes of one read.
	readAheadStep = 4 << 10
)

// readAhead reads a body of unknown length before the call is sent, up to
// maxBufferedRequest. The rest of a body that does not end in time is streamed.
type readAhead struct {
	source io.Reader
	// stopped ends when no more bytes arrive because the proxy stops.
	stopped <-chan struct{}
	// held is the charge of what was read.
	held *qhmemory.Charge
	// ended is closed when the body has ended, failed or reached the limit.
	ended chan struct{}

	mu sync.Mutex
	// arrived is closed and replaced when bytes arrive.
	arrived chan struct{}
	buffer  []byte
	// taken is the number of bytes of buffer that Read has returned.
	taken int
	// err is io.EOF or the error with which source ended; nil at the limit.
	err error
}

// startReadAhead starts reading.
func startReadAhead(group *qhgroup.Group, source io.Reader, held *qhmemory.Charge) *readAhead {
	a := &readAhead{source: source, held: held, stopped: group.Context().Done(), ended: make(chan struct{}), arrived: make(chan struct{})}
	group.Go(func(context.Context) { a.run() })
	return a
}

func (a *readAhead) run() {
	defer close(a.ended)
	step := make([]byte, readAheadStep)
	for {
		n, err := a.source.Read(step)
		a.mu.Lock()
		a.buffer, a.err = append(a.buffer, step[:n]...), err
		size, capacity := len(a.buffer), cap(a.buffer)
		close(a.arrived)
		a.arrived = make(chan struct{})
		a.mu.Unlock()
		a.held.SetSlowly(streamCost + qhid.Bytes(capacity)) // the read fails if the caller is disconnected for it
		if err == io.EOF {                                  //nolint:errorlint // readers return io.EOF itself
			a.held.Settle() // otherwise it stays pending
		}
		if err != nil || size > maxBufferedRequest {
			return
		}
	}
}

// complete returns the whole body, or false if it does not end in time and within the
// limit.
func (a *readAhead) complete() ([]byte, bool) {
	timer := time.NewTimer(maxReadAheadTime)
	defer timer.Stop()
	select {
	case <-a.ended:
	case <-timer.C:
		return nil, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.buffer, a.err == io.EOF && len(a.buffer) <= maxBufferedRequest //nolint:errorlint // readers return io.EOF itself
}

// Read returns what was read ahead, and then what the source has.
func (a *readAhead) Read(p []byte) (int, error) {
	for {
		n, ended, arrived := a.take(p)
		if n > 0 {
			return n, nil
		}
		if ended {
			return a.readSource(p)
		}
		select {
		case <-arrived:
		case <-a.ended:
		case <-a.stopped:
			return 0, context.Canceled
		}
	}
}

// take copies bytes that Read has not returned. It also returns whether no more arrive,
// and a channel that is closed when more have.
func (a *readAhead) take(p []byte) (n int, ended bool, arrived <-chan struct{}) {
	select {
	case <-a.ended:
		ended = true
	default:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	n = copy(p, a.buffer[a.taken:])
	a.taken += n
	return n, ended, a.arrived
}

func (a *readAhead) readSource(p []byte) (int, error) {
	a.mu.Lock()
	err := a.err
	a.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := a.source.Read(p)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		a.held.Settle() // otherwise it stays pending
	}
	return n, err
}
